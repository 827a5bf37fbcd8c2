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

// Answer takes the entries of another daemon and returns the known ones.
func (g *Gossiper) Answer(msg wire.Gossip) wire.Gossip {
	answer := make(chan wire.Gossip, 1)
	g.do(func() {
		v := g.merge(msg, time.Now())
		g.accuse(v.accused)
		answer <- g.state()
	})
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case a := <-answer:
		return a
	case <-g.done:
	case <-timer.C:
	}
	return wire.Gossip{Kind: kindSync}
}

func (g *Gossiper) state() wire.Gossip {
	return wire.Gossip{Kind: kindSync, From: g.self.Name, Members: g.table.members()}
}

// join contacts seeds, and members forgotten after a stall, until one has answered.
func (g *Gossiper) join(ctx context.Context, exchanges chan<- struct{}) {
	candidates := slices.DeleteFunc(slices.Concat(g.seeds, g.rejoin), func(a netip.AddrPort) bool { return a == g.self.Addr })
	if len(candidates) == 0 || g.self.State == Left {
		return
	}
	to := candidates[g.rand.IntN(len(candidates))]
	g.seq++
	g.sendTo(to, wire.Gossip{Kind: kindPing, Seq: g.seq}, g.self)
	g.startExchange(ctx, to, exchanges)
}

// partner returns the address of a random reachable member.
func (g *Gossiper) partner() netip.AddrPort {
	for _, e := range g.peers(1, nil) {
		return e.Addr
	}
	return netip.AddrPort{}
}

// startExchange exchanges the full state with one daemon on its own goroutine, which reports its end on exchanges.
func (g *Gossiper) startExchange(ctx context.Context, to netip.AddrPort, exchanges chan<- struct{}) {
	if g.exchange == nil || g.syncing || !to.IsValid() {
		return
	}
	g.syncing = true
	msg := g.state()
	go func() {
		defer func() { exchanges <- struct{}{} }()
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		answer, err := g.exchange(ctx, to, msg)
		if err != nil {
			g.log.Debug("exchange failed", "to", to, "error", err)
			return
		}
		g.do(func() {
			g.accuse(g.merge(answer, time.Now()).accused)
			g.synced = g.synced || len(answer.Members) > 0
			if g.synced {
				g.rejoin = nil
			}
		})
	}()
}
