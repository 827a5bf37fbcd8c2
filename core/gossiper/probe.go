package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// Message kinds.
const (
	kindPing  = "ping"
	kindAck   = "ack"
	kindRelay = "relay" // asks the receiver to ping the target on behalf of the sender
	kindPush  = "push"  // carries updates and needs no reply
	kindSums  = "sums"  // starts an exchange: asks for the entries in buckets whose checksums differ
	kindSync  = "sync"  // carries entries of an exchange
)

// probe is the probe in progress.
type probe struct {
	name     string
	seq      uint64
	sentAt   time.Time
	indirect bool
}

// relayedPing is a ping sent on behalf of another member.
type relayedPing struct {
	requester target
	seq       uint64
	sentAt    time.Time
}

// receive handles one datagram.
func (g *Gossiper) receive(d datagram) {
	now := time.Now()
	d.msg.Members = slices.DeleteFunc(d.msg.Members, g.unknownSuspect)
	res := g.merge(d.msg, now)
	defer g.requestRefutation(res.reportedDead)
	switch d.msg.Kind {
	case kindPing:
		first := append(res.staleAtSender, g.self)
		if res.senderOutdated {
			first = append(first, g.onePerDomain()...)
		}
		g.sendTo(g.replyTarget(d), wire.Gossip{Kind: kindAck, Seq: d.msg.Seq, Age: g.knownFor(d.msg.From, now)}, first...)
	case kindRelay:
		g.handleRelay(d, now)
	case kindAck:
		g.handleAck(d)
	}
	if len(res.staleAtSender) > 0 && d.msg.Kind != kindPing {
		g.sendTo(g.replyTarget(d), wire.Gossip{Kind: kindPush}, res.staleAtSender...)
	}
}

// unknownSuspect reports whether an entry from a datagram is a suspicion of a member that is not known here. The member may
// have expired here while the sender was frozen in the middle of sending. If it is alive, its refutation makes it known.
func (g *Gossiper) unknownSuspect(m wire.Member) bool {
	_, known := g.table.byName[m.Name]
	return !known && m.State == wire.Suspect
}

func (g *Gossiper) handleAck(d datagram) {
	if r, ok := g.relayedPings[d.msg.Seq]; ok {
		delete(g.relayedPings, d.msg.Seq)
		// From remains the name of the probed member, since the requester checks it.
		g.sendTo(r.requester, wire.Gossip{Kind: kindAck, From: d.msg.From, Seq: r.seq})
		return
	}
	g.recordAge(d.msg.Age)
	if g.probe != nil && g.probe.seq == d.msg.Seq && g.probe.name == d.msg.From {
		g.probe = nil
	}
	if g.pendingLeave != nil {
		g.pendingLeave.recordAck(d.msg)
	}
	g.recordRoundAck(d.msg)
}

func (g *Gossiper) handleRelay(d datagram, now time.Time) {
	if !d.msg.Target.IsValid() {
		return
	}
	g.seq++
	g.relayedPings[g.seq] = relayedPing{g.replyTarget(d), d.msg.Seq, now}
	g.sendTo(target{addr: d.msg.Target}, wire.Gossip{Kind: kindPing, Seq: g.seq}, g.self)
}

// startProbe pings the next member of the round and discards relayed pings that have timed out.
func (g *Gossiper) startProbe(now time.Time) {
	for seq, r := range g.relayedPings {
		if now.Sub(r.sentAt) > suspicionTimeout {
			delete(g.relayedPings, seq)
		}
	}
	e := g.nextProbeTarget()
	if e == nil || g.self.State == wire.Left {
		return
	}
	g.seq++
	g.probe = &probe{name: e.Name, seq: g.seq, sentAt: now}
	g.ping(e)
}

// ping sends a ping with the last sequence number to e. If e is not alive here, it includes the entry that e must refute.
func (g *Gossiper) ping(e *entry) {
	first := []*entry{g.self}
	if e.State != wire.Alive {
		first = append(first, e)
	}
	g.sendTo(e.target(), wire.Gossip{Kind: kindPing, Seq: g.seq}, first...)
}

// startIndirectProbe resends an unacknowledged ping and asks other members to relay pings.
func (g *Gossiper) startIndirectProbe(now time.Time) {
	if g.probe == nil || g.probe.indirect || now.Sub(g.probe.sentAt) < directTimeout {
		return
	}
	g.probe.indirect = true
	e, ok := g.table.byName[g.probe.name]
	if !ok {
		return
	}
	g.sendTo(e.target(), wire.Gossip{Kind: kindPing, Seq: g.probe.seq}, g.self, e)
	for _, r := range g.peers(indirectProbes, func(o *entry) bool { return o != e }) {
		g.sendTo(r.target(), wire.Gossip{Kind: kindRelay, Seq: g.probe.seq, Target: e.Addr}, g.self)
	}
}

// endProbe marks the probed member as suspect if no ack has arrived.
func (g *Gossiper) endProbe(now time.Time) {
	p := g.probe
	g.probe = nil
	if p == nil || now.Sub(p.sentAt) < probeInterval-tickInterval {
		return
	}
	e, ok := g.table.byName[p.name]
	if !ok || !e.reachable() {
		return
	}
	g.suspect(e, now)
	g.crossDomain.add(e.Name)
	g.ping(e)
}

// pingSuspects pings suspects again, since their refutation may have been lost. Without this, members declare others dead
// at 20% datagram loss.
func (g *Gossiper) pingSuspects(now time.Time) {
	if g.self.State == wire.Left {
		return
	}
	due := g.peers(maxSuspectPings, func(e *entry) bool {
		return e.State == wire.Suspect && now.Sub(e.stateSince) >= suspectPingDelay && now.Sub(e.lastPing) >= suspectPingInterval
	})
	for _, e := range due {
		e.lastPing = now
		g.seq++
		g.ping(e)
	}
}

// nextProbeTarget returns members reported dead first, then all members in an order that is shuffled for each round.
func (g *Gossiper) nextProbeTarget() *entry {
	for _, names := range []*[]string{&g.priorityProbes, &g.probeRound} {
		if e := g.popReachable(names); e != nil {
			return e
		}
	}
	for _, e := range g.peers(len(g.table.list), nil) {
		g.probeRound = append(g.probeRound, e.Name)
	}
	return g.popReachable(&g.probeRound)
}

func (g *Gossiper) popReachable(names *[]string) *entry {
	for len(*names) > 0 {
		e, ok := g.table.byName[(*names)[0]]
		*names = slices.Delete(*names, 0, 1)
		if ok && e != g.self && e.reachable() {
			return e
		}
	}
	return nil
}

// reconnect pings one random dead member and one random seed that is not a reachable member, so that the two sides of a
// partition find each other again.
func (g *Gossiper) reconnect() {
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
