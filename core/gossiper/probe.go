package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// Kinds of a message.
const (
	kindPing  = "ping"
	kindAck   = "ack"
	kindRelay = "relay" // asks the receiver to ping the target for the sender
	kindPush  = "push"
	kindSums  = "sums" // asks for the entries in buckets whose checksums differ
	kindSync  = "sync"
)

// probe is the check of one member that is under way.
type probe struct {
	name     string
	seq      uint64
	sent     time.Time
	indirect bool
}

// relay is a ping sent on behalf of another member.
type relay struct {
	to   target
	seq  uint64
	sent time.Time
}

// receive handles one datagram.
func (g *Gossiper) receive(d datagram) {
	now := time.Now()
	res := g.merge(d.msg, now)
	defer g.accuse(res.accused)
	switch d.msg.Kind {
	case kindPing:
		first := append(res.stale, g.self)
		if res.newcomer {
			first = append(first, g.onePerDomain()...)
		}
		g.sendTo(g.sender(d), wire.Gossip{Kind: kindAck, Seq: d.msg.Seq}, first...)
	case kindRelay:
		g.relay(d, now)
	case kindAck:
		g.ack(d)
	}
	if len(res.stale) > 0 && d.msg.Kind != kindPing {
		g.sendTo(g.sender(d), wire.Gossip{Kind: kindPush}, res.stale...)
	}
}

func (g *Gossiper) ack(d datagram) {
	if r, ok := g.relayed[d.msg.Seq]; ok {
		delete(g.relayed, d.msg.Seq)
		// From stays the name of the probed member: the requester checks it.
		g.sendTo(r.to, wire.Gossip{Kind: kindAck, From: d.msg.From, Seq: r.seq})
		return
	}
	if g.probe != nil && g.probe.seq == d.msg.Seq && g.probe.name == d.msg.From {
		g.probe = nil
	}
	if g.leaving != nil {
		g.leaving.confirm(d.msg)
	}
}

func (g *Gossiper) relay(d datagram, now time.Time) {
	if !d.msg.Target.IsValid() {
		return
	}
	g.seq++
	g.relayed[g.seq] = relay{g.sender(d), d.msg.Seq, now}
	g.sendTo(target{addr: d.msg.Target}, wire.Gossip{Kind: kindPing, Seq: g.seq}, g.self)
}

// startProbe pings the next member of the round.
func (g *Gossiper) startProbe(now time.Time) {
	for seq, r := range g.relayed {
		if now.Sub(r.sent) > suspicion {
			delete(g.relayed, seq)
		}
	}
	e := g.nextTarget()
	if e == nil || g.self.State == wire.Left {
		return
	}
	g.seq++
	g.probe = &probe{name: e.Name, seq: g.seq, sent: now}
	g.ping(e)
}

// ping sends the current probe to e, with what e has to refute.
func (g *Gossiper) ping(e *entry) {
	first := []*entry{g.self}
	if e.State != wire.Alive {
		first = append(first, e)
	}
	g.sendTo(e.target(), wire.Gossip{Kind: kindPing, Seq: g.seq}, first...)
}

// checkProbe repeats an unanswered ping and asks other members to ping as well.
func (g *Gossiper) checkProbe(now time.Time) {
	if g.probe == nil || g.probe.indirect || now.Sub(g.probe.sent) < directTimeout {
		return
	}
	g.probe.indirect = true
	e, ok := g.table.byName[g.probe.name]
	if !ok {
		return
	}
	g.sendTo(e.target(), wire.Gossip{Kind: kindPing, Seq: g.probe.seq}, g.self, e)
	for _, r := range g.peers(relays, func(o *entry) bool { return o != e }) {
		g.sendTo(r.target(), wire.Gossip{Kind: kindRelay, Seq: g.probe.seq, Target: e.Addr}, g.self)
	}
}

// endProbe suspects the probed member if no ack came.
func (g *Gossiper) endProbe(now time.Time) {
	p := g.probe
	g.probe = nil
	if p == nil || now.Sub(p.sent) < probeInterval-tick {
		return
	}
	e, ok := g.table.byName[p.name]
	if !ok || !e.reachable() {
		return
	}
	g.suspect(e, now)
	g.outbound.add(e.Name)
	g.ping(e)
}

// confirm pings suspects whose refutation may have been lost on its way here. Without it a loss of 20 % of the datagrams
// made single members declare others dead.
func (g *Gossiper) confirm(now time.Time) {
	if g.self.State == wire.Left {
		return
	}
	due := g.peers(confirmLimit, func(e *entry) bool {
		return e.State == wire.Suspect && now.Sub(e.at) >= confirmAfter && now.Sub(e.pinged) >= confirmInterval
	})
	for _, e := range due {
		e.pinged = now
		g.seq++
		g.ping(e)
	}
}

// nextTarget returns accused members first, then the members in a random order that is new for each round.
func (g *Gossiper) nextTarget() *entry {
	for _, names := range []*[]string{&g.accused, &g.order} {
		if e := g.pop(names); e != nil {
			return e
		}
	}
	for _, e := range g.peers(len(g.table.list), nil) {
		g.order = append(g.order, e.Name)
	}
	return g.pop(&g.order)
}

func (g *Gossiper) pop(names *[]string) *entry {
	for len(*names) > 0 {
		e, ok := g.table.byName[(*names)[0]]
		*names = slices.Delete(*names, 0, 1)
		if ok && e != g.self && e.reachable() {
			return e
		}
	}
	return nil
}

// retry pings one random dead member and one seed that is not a reachable member, so that partitions heal.
func (g *Gossiper) retry() {
	if g.self.State == wire.Left {
		return
	}
	var dead []*entry
	known := map[netip.AddrPort]bool{g.self.Addr: true}
	for _, e := range g.table.list {
		if e.State == wire.Dead {
			dead = append(dead, e)
		}
		if e.reachable() {
			known[e.Addr] = true
		}
	}
	if len(dead) > 0 {
		e := dead[g.rand.IntN(len(dead))]
		g.seq++
		g.ping(e)
	}
	seeds := slices.DeleteFunc(slices.Clone(g.seeds), func(a netip.AddrPort) bool { return known[a] })
	if len(seeds) > 0 {
		g.seq++
		g.sendTo(target{addr: seeds[g.rand.IntN(len(seeds))]}, wire.Gossip{Kind: kindPing, Seq: g.seq}, g.self)
	}
}
