package gossiper

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// replyTimeout limits how long HandleExchange blocks when Run is not running.
const replyTimeout = 2 * time.Second

// anyDomainExchangePeriod sets how often exchanges leave the own failure domain. On average one exchange in
// anyDomainExchangePeriod picks its partner from all failure domains; the others stay within the own one.
const anyDomainExchangePeriod = 4

// earlyExchanges is the number of exchanges after a join that go alternately to the own failure domain and to another one. Their
// interval doubles after every second one. Members that start together and join through different seeds know only the
// members of the same seed at first. In a failure domain without a seed they find no difference among themselves.
const earlyExchanges = 6

// unconvergedChanges is the number of changed entries in an exchange at which the next exchange is brought forward. When a
// whole failure domain starts, exchanges spread its members in a tenth of the bytes that pushes need.
const unconvergedChanges = 8

// HandleExchange handles a message of an exchange that another member started and returns the reply.
func (g *Gossiper) HandleExchange(msg wire.Gossip) wire.Gossip {
	reply := make(chan wire.Gossip, 1)
	g.enqueueAction(func() { reply <- g.exchangeReply(msg) })
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case r := <-reply:
		return r
	case <-g.done:
	case <-timer.C:
	}
	return wire.Gossip{Kind: kindSync}
}

func (g *Gossiper) exchangeReply(msg wire.Gossip) wire.Gossip {
	reply := wire.Gossip{Kind: kindSync, From: g.self.Name}
	if msg.Kind == kindSums {
		reply.Members, reply.Sums = differingEntries(g.table, msg.Sums)
		return reply
	}
	g.requestRefutation(g.merge(msg, time.Now()).reportedDead)
	g.recordExchange(msg.From)
	return reply
}

// tryJoin retries join until an exchange succeeds and another member is known. The interval between attempts doubles up to
// probeInterval.
func (g *Gossiper) tryJoin(ctx context.Context, now time.Time, exchangeDone chan<- struct{}) {
	if g.joined && len(g.peers(1, nil)) > 0 {
		g.joinBackoff = tickInterval
		return
	}
	if g.exchangeInFlight || now.Before(g.nextJoin) {
		return
	}
	g.nextJoin = now.Add(g.joinBackoff)
	g.joinBackoff = min(2*g.joinBackoff, probeInterval)
	g.join(ctx, exchangeDone)
}

// join pings a random seed, or a random member removed after a long stall, and starts an exchange with it.
func (g *Gossiper) join(ctx context.Context, exchangeDone chan<- struct{}) {
	candidates := slices.DeleteFunc(slices.Concat(g.seeds, g.rejoinAddrs), func(a netip.AddrPort) bool { return a == g.self.Addr })
	if len(candidates) == 0 || g.self.State == wire.Left {
		return
	}
	to := candidates[g.rand.IntN(len(candidates))]
	g.seq++
	g.sendTo(target{addr: to}, wire.Gossip{Kind: kindPing, Seq: g.seq}, g.self)
	g.startExchange(ctx, to, joinTimeout, exchangeDone)
}

// recordExchange counts the queued entries as sent if the exchange partner belongs to the own failure domain.
func (g *Gossiper) recordExchange(partner string) {
	if g.isDomainMember(partner) {
		g.queue.recordExchange(g.table)
	}
}

// randomPartner returns the address of a random reachable member, usually from the own failure domain.
func (g *Gossiper) randomPartner() netip.AddrPort {
	keep := g.sameDomain
	switch {
	case g.exchanges < earlyExchanges && g.exchanges%2 == 1:
		keep = g.otherDomain
	case g.exchanges >= earlyExchanges && !g.unconverged && g.rand.IntN(anyDomainExchangePeriod) == 0:
		keep = nil
	}
	for _, e := range g.peers(1, keep) {
		return e.Addr
	}
	for _, e := range g.peers(1, nil) {
		return e.Addr
	}
	return netip.AddrPort{}
}

// startExchange starts an anti-entropy exchange with one member in a new goroutine, which signals completion on
// exchangeDone.
//
// The first message contains only bucket checksums. The reply contains the peer's entries from the buckets that differ,
// and a second message returns the entries that the peer lacks. With 1,200 members, comparing two equal tables takes
// about 1 KB; sending two full tables would take more than 150 KB each.
func (g *Gossiper) startExchange(ctx context.Context, to netip.AddrPort, limit time.Duration, exchangeDone chan<- struct{}) {
	if g.exchange == nil || g.exchangeInFlight || !to.IsValid() {
		return
	}
	g.exchangeInFlight = true
	msg := wire.Gossip{Kind: kindSums, From: g.self.Name, Sums: bucketChecksums(g.table, bucketCount(len(g.table.list)))}
	go func() {
		defer func() { exchangeDone <- struct{}{} }()
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		if err := g.runExchange(ctx, to, msg); err != nil {
			g.log.Debug("exchange failed", "to", to, "error", err)
		}
	}()
}

func (g *Gossiper) runExchange(ctx context.Context, to netip.AddrPort, msg wire.Gossip) error {
	reply, err := g.exchange(ctx, to, msg)
	if err != nil || reply.From == "" {
		return err
	}
	missing := make(chan []wire.Member, 1)
	g.enqueueAction(func() {
		missing <- entriesMissingAtPeer(g.table, msg.Sums, reply)
		res := g.merge(reply, time.Now())
		g.requestRefutation(res.reportedDead)
		g.recordExchange(reply.From)
		g.unconverged = res.changed >= unconvergedChanges || res.changed > 0 && len(g.peers(1, g.sameDomain)) == 0
		if !g.joined {
			g.exchanges, g.exchangeInterval = 0, minExchangeInterval
		}
		g.joined, g.rejoinAddrs = true, nil
	})
	missingEntries := wire.Gossip{Kind: kindSync, From: msg.From}
	select {
	case missingEntries.Members = <-missing:
	case <-ctx.Done():
		return ctx.Err()
	}
	if len(missingEntries.Members) == 0 {
		return nil
	}
	_, err = g.exchange(ctx, to, missingEntries)
	return err
}
