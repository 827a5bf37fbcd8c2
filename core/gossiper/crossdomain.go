package gossiper

import (
	"net/netip"
	"slices"

	"bluebellhoist/core/wire"
)

// crossDomainCopies is the number of members in each other failure domain to which a change is sent. With a sixth of the
// VMs down, all three chosen members are down for one change in 200, and it then spreads only with the next exchange.
const crossDomainCopies = 3

// target is the destination of a datagram. The failure domain is empty if it is unknown.
type target struct {
	addr   netip.AddrPort
	domain string
}

func (e *entry) target() target {
	return target{e.Addr, e.Domain}
}

// replyTarget returns the target for the reply to a datagram.
func (g *Gossiper) replyTarget(d datagram) target {
	if e, ok := g.table.byName[d.msg.From]; ok {
		return target{d.from, e.Domain}
	}
	return target{addr: d.from}
}

// crossDomainUpdates holds the entries that this member sends to other failure domains: its own entry, and those of
// members that its own probes found suspect. All other entries spread only within a failure domain.
type crossDomainUpdates struct {
	updates []*crossDomainUpdate
}

// crossDomainUpdate is the name of an entry and the number of times it was sent to each failure domain.
type crossDomainUpdate struct {
	name          string
	sentPerDomain map[string]int
}

// add queues the entry of name and resets its send counts.
func (c *crossDomainUpdates) add(name string) {
	c.updates = slices.DeleteFunc(c.updates, func(u *crossDomainUpdate) bool { return u.name == name })
	c.updates = append(c.updates, &crossDomainUpdate{name: name, sentPerDomain: map[string]int{}})
}

// prune removes updates about members that are no longer suspect. The own entry stays, since another failure domain may be
// discovered later.
func (c *crossDomainUpdates) prune(t *table, self string) {
	c.updates = slices.DeleteFunc(c.updates, func(u *crossDomainUpdate) bool {
		e, ok := t.byName[u.name]
		return u.name != self && (!ok || e.State != wire.Suspect)
	})
}

// due reports whether an entry has been sent fewer than crossDomainCopies times to a failure domain.
func (c *crossDomainUpdates) due(domain string) bool {
	return slices.ContainsFunc(c.updates, func(u *crossDomainUpdate) bool { return u.sentPerDomain[domain] < crossDomainCopies })
}

// take returns the entries in first and those due for a failure domain, as far as they fit into room bytes, and counts
// them as sent.
func (c *crossDomainUpdates) take(t *table, room int, domain string, first ...*entry) []wire.Member {
	taken := takeFitting(&room, first)
	for _, u := range c.updates {
		e, ok := t.byName[u.name]
		if !ok || u.sentPerDomain[domain] >= crossDomainCopies {
			continue
		}
		if !slices.Contains(first, e) {
			if e.encodedSize > room {
				continue
			}
			room -= e.encodedSize
			taken = append(taken, e.Member)
		}
		u.sentPerDomain[domain]++
	}
	return taken
}

// domainMembers holds the reachable members of one other failure domain.
type domainMembers struct {
	domain  string
	members []*entry
}

// otherDomains returns the reachable members of other failure domains, grouped by domain.
func (g *Gossiper) otherDomains() []domainMembers {
	var domains []domainMembers
	positions := map[string]int{}
	for _, e := range g.table.list {
		if e == g.self || g.sameDomain(e) || !e.reachable() {
			continue
		}
		i, ok := positions[e.Domain]
		if !ok {
			i = len(domains)
			positions[e.Domain] = i
			domains = append(domains, domainMembers{domain: e.Domain})
		}
		domains[i].members = append(domains[i].members, e)
	}
	return domains
}

// pushToOtherDomains sends the due updates to one random member of each other failure domain.
func (g *Gossiper) pushToOtherDomains() {
	g.crossDomain.prune(g.table, g.self.Name)
	for _, d := range g.otherDomains() {
		if g.crossDomain.due(d.domain) {
			e := d.members[g.rand.IntN(len(d.members))]
			g.sendTo(e.target(), wire.Gossip{Kind: kindPush})
		}
	}
}

// onePerDomain returns a random member of each other failure domain. A new member that knows one member per domain can
// announce itself to all domains before its first exchange.
func (g *Gossiper) onePerDomain() []*entry {
	var entries []*entry
	for _, d := range g.otherDomains() {
		entries = append(entries, d.members[g.rand.IntN(len(d.members))])
	}
	return entries
}

// isDomainMember reports whether name is a known member of the own failure domain.
func (g *Gossiper) isDomainMember(name string) bool {
	e, ok := g.table.byName[name]
	return ok && g.sameDomain(e)
}

// sameDomain reports whether a member belongs to the own failure domain.
func (g *Gossiper) sameDomain(e *entry) bool {
	return e.Domain == g.self.Domain
}

// otherDomain reports whether a member belongs to another failure domain.
func (g *Gossiper) otherDomain(e *entry) bool {
	return !g.sameDomain(e)
}
