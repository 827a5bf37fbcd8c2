package gossiper

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// answerTimeout bounds Answer while Run is not running.
const answerTimeout = 2 * time.Second

// farExchanges is the number of exchanges of which one is with a member of any failure domain.
const farExchanges = 4

// unsettledChanges is the number of changes in an exchange from which the next one follows soon. While a whole failure
// domain starts, exchanges tell its members of each other in a tenth of the bytes of pushes.
const unsettledChanges = 8

// Answer takes a message of an exchange that another daemon started and returns the reply.
func (g *Gossiper) Answer(msg wire.Gossip) wire.Gossip {
	reply := make(chan wire.Gossip, 1)
	g.do(func() { reply <- g.answer(msg) })
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case r := <-reply:
		return r
	case <-g.done:
	case <-timer.C:
	}
	return wire.Gossip{Kind: kindSync}
}

func (g *Gossiper) answer(msg wire.Gossip) wire.Gossip {
	r := wire.Gossip{Kind: kindSync, From: g.self.Name}
	if msg.Kind == kindSums {
		r.Members, r.Sums = differing(g.table, msg.Sums)
		return r
	}
	g.accuse(g.merge(msg, time.Now()).accused)
	g.countExchange(msg.From)
	return r
}

// tryJoin contacts a seed from time to time until one has answered, and while no other member is known. The time between
// two attempts doubles up to probeInterval.
func (g *Gossiper) tryJoin(ctx context.Context, now time.Time, exchanges chan<- struct{}) {
	if g.synced && len(g.peers(1, nil)) > 0 {
		g.joinWait = tick
		return
	}
	if g.syncing || now.Before(g.nextJoin) {
		return
	}
	g.nextJoin = now.Add(g.joinWait)
	g.joinWait = min(2*g.joinWait, probeInterval)
	g.join(ctx, exchanges)
}

// join contacts seeds, and members forgotten after a stall, until one has answered.
func (g *Gossiper) join(ctx context.Context, exchanges chan<- struct{}) {
	candidates := slices.DeleteFunc(slices.Concat(g.seeds, g.rejoin), func(a netip.AddrPort) bool { return a == g.self.Addr })
	if len(candidates) == 0 || g.self.State == wire.Left {
		return
	}
	to := candidates[g.rand.IntN(len(candidates))]
	g.seq++
	g.sendTo(target{addr: to}, wire.Gossip{Kind: kindPing, Seq: g.seq}, g.self)
	g.startExchange(ctx, to, joinTimeout, exchanges)
}

// countExchange notes that the partner of an exchange has been told all queued entries.
func (g *Gossiper) countExchange(partner string) {
	if g.knownNear(partner) {
		g.queue.told(g.table)
	}
}

// partner returns the address of a random reachable member, mostly of the own failure domain.
func (g *Gossiper) partner() netip.AddrPort {
	if g.unsettled || g.rand.IntN(farExchanges) > 0 {
		for _, e := range g.peers(1, g.near) {
			return e.Addr
		}
	}
	for _, e := range g.peers(1, nil) {
		return e.Addr
	}
	return netip.AddrPort{}
}

// startExchange exchanges state with one daemon on its own goroutine, which reports its end on exchanges.
//
// The first message holds only checksums. The answer holds the other side's entries in the buckets that differ, and a
// second message returns what the other side lacks. Two equal tables cost about 1 KB at 1,200 members, two full tables
// more than 150 KB each.
func (g *Gossiper) startExchange(ctx context.Context, to netip.AddrPort, limit time.Duration, exchanges chan<- struct{}) {
	if g.exchange == nil || g.syncing || !to.IsValid() {
		return
	}
	g.syncing = true
	msg := wire.Gossip{Kind: kindSums, From: g.self.Name, Sums: sums(g.table, bucketCount(len(g.table.list)))}
	go func() {
		defer func() { exchanges <- struct{}{} }()
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		if err := g.runExchange(ctx, to, msg); err != nil {
			g.log.Debug("exchange failed", "to", to, "error", err)
		}
	}()
}

func (g *Gossiper) runExchange(ctx context.Context, to netip.AddrPort, msg wire.Gossip) error {
	answer, err := g.exchange(ctx, to, msg)
	if err != nil || answer.From == "" {
		return err
	}
	lacking := make(chan []wire.Member, 1)
	g.do(func() {
		lacking <- lacked(g.table, msg.Sums, answer)
		res := g.merge(answer, time.Now())
		g.accuse(res.accused)
		g.countExchange(answer.From)
		g.unsettled = res.changed >= unsettledChanges || res.changed > 0 && len(g.peers(1, g.near)) == 0
		g.synced, g.rejoin = true, nil
	})
	back := wire.Gossip{Kind: kindSync, From: msg.From}
	select {
	case back.Members = <-lacking:
	case <-ctx.Done():
		return ctx.Err()
	}
	if len(back.Members) == 0 {
		return nil
	}
	_, err = g.exchange(ctx, to, back)
	return err
}
