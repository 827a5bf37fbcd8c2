package gossiper

import (
	"net/netip"
	"slices"

	"bluebellhoist/core/wire"
)

// outboundCopies is how many members of each other failure domain are told of a change. With a sixth of the VMs down, one
// change in 200 reaches none of them and waits for an exchange.
const outboundCopies = 3

// target is where a datagram goes. The failure domain is empty if it is not known.
type target struct {
	addr   netip.AddrPort
	domain string
}

func (e *entry) target() target {
	return target{e.Addr, e.Domain}
}

// sender returns where the answer to a datagram goes.
func (g *Gossiper) sender(d datagram) target {
	if e, ok := g.table.byName[d.msg.From]; ok {
		return target{d.from, e.Domain}
	}
	return target{addr: d.from}
}

// outbound holds the entries that this member tells other failure domains: its own, and those of members that it was the
// first to suspect. A failure domain spreads all others among its own members.
type outbound struct {
	notices []*notice
}

// notice is one entry and how many members of each failure domain were told.
type notice struct {
	name string
	told map[string]int
}

// add starts telling the entry of name anew.
func (o *outbound) add(name string) {
	o.notices = slices.DeleteFunc(o.notices, func(n *notice) bool { return n.name == name })
	o.notices = append(o.notices, &notice{name: name, told: map[string]int{}})
}

// prune drops notices of suspicions that have ended. The own entry stays, since a failure domain may be found later.
func (o *outbound) prune(t *table, self string) {
	o.notices = slices.DeleteFunc(o.notices, func(n *notice) bool {
		e, ok := t.byName[n.name]
		return n.name != self && (!ok || e.State != wire.Suspect)
	})
}

// due reports whether too few members of a failure domain were told of an entry.
func (o *outbound) due(domain string) bool {
	return slices.ContainsFunc(o.notices, func(n *notice) bool { return n.told[domain] < outboundCopies })
}

// take returns first and the entries to be told to a failure domain that fit into room bytes, and counts them as told.
func (o *outbound) take(t *table, room int, domain string, first ...*entry) []wire.Member {
	taken := fit(&room, first)
	for _, n := range o.notices {
		e, ok := t.byName[n.name]
		if !ok || n.told[domain] >= outboundCopies {
			continue
		}
		if !slices.Contains(first, e) {
			if e.size > room {
				continue
			}
			room -= e.size
			taken = append(taken, e.Member)
		}
		n.told[domain]++
	}
	return taken
}

// domainMembers is the reachable members of another failure domain.
type domainMembers struct {
	domain  string
	members []*entry
}

// otherDomains returns the reachable members of other failure domains.
func (g *Gossiper) otherDomains() []domainMembers {
	var all []domainMembers
	at := map[string]int{}
	for _, e := range g.table.list {
		if e == g.self || g.near(e) || !e.reachable() {
			continue
		}
		i, ok := at[e.Domain]
		if !ok {
			i = len(all)
			at[e.Domain] = i
			all = append(all, domainMembers{domain: e.Domain})
		}
		all[i].members = append(all[i].members, e)
	}
	return all
}

// tellOtherDomains sends what other failure domains must be told to one random member of each.
func (g *Gossiper) tellOtherDomains() {
	g.outbound.prune(g.table, g.self.Name)
	for _, f := range g.otherDomains() {
		if g.outbound.due(f.domain) {
			e := f.members[g.rand.IntN(len(f.members))]
			g.sendTo(e.target(), wire.Gossip{Kind: kindPush})
		}
	}
}

// onePerDomain returns a random member of each other failure domain. A newcomer that knows one of each can tell all of
// itself before it has exchanged tables.
func (g *Gossiper) onePerDomain() []*entry {
	var all []*entry
	for _, f := range g.otherDomains() {
		all = append(all, f.members[g.rand.IntN(len(f.members))])
	}
	return all
}

// knownNear reports whether a member of that name is known in the own failure domain.
func (g *Gossiper) knownNear(name string) bool {
	e, ok := g.table.byName[name]
	return ok && g.near(e)
}

// near reports whether a member belongs to the own failure domain.
func (g *Gossiper) near(e *entry) bool {
	return e.Domain == g.self.Domain
}
