package gossiper

import (
	"context"
	"fmt"
	"net/netip"
	"slices"

	"bluebellhoist/core/wire"
)

const (
	// recoveryTicks bounds the wait for the seeds after a start to 1 s, less than the usual time between two reports of
	// an upstream. It counts ticks, since a process that is frozen meanwhile has not waited.
	recoveryTicks = 5
	// confirmTicks bounds the wait for confirmations. Upstreams wait for the answer to a leave for about a second.
	confirmTicks = 4
	// confirmFanout is the number of members other than seeds that are asked to confirm in each tick.
	confirmFanout = 4
)

// round is a series of pings with the own entry to all seeds, repeated in each tick until a majority of them has acknowledged
// it or its ticks are used up.
//
// A change that a majority of the seeds has acknowledged is known to at least one of those that answer a later round.
type round struct {
	seeds    []netip.AddrPort
	required int                       // seeds that must acknowledge, or members if there are no seeds
	pings    map[uint64]netip.AddrPort // addresses by sequence number
	acked    map[netip.AddrPort]bool
	ticks    int                  // ticks until the round ends
	others   bool                 // pings members other than seeds as well
	end      func(confirmed bool) // called once at the end
}

// Recovered returns a channel that is closed once the own departure is known, if a member still remembers one: after a
// majority of the seeds has answered, or after recoveryTicks.
func (g *Gossiper) Recovered() <-chan struct{} {
	return g.recovered
}

// Confirm returns once a majority of the seeds holds the own entry as it is after all previous updates. Without seeds,
// leaveQuorum members or all reachable ones suffice. If these do not answer in time, any other member suffices, and a member
// that knows no other one needs no confirmation.
func (g *Gossiper) Confirm(ctx context.Context) error {
	confirmed := make(chan bool, 1)
	g.enqueueAction(func() { g.startConfirmation(confirmed) })
	select {
	case ok := <-confirmed:
		if !ok {
			return ErrUnconfirmed
		}
		return nil
	case <-g.done:
		return fmt.Errorf("%w: gossiper has stopped", ErrUnconfirmed)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnconfirmed, context.Cause(ctx))
	}
}

func (g *Gossiper) startConfirmation(confirmed chan<- bool) {
	r := g.newRound(confirmTicks, func(ok bool) { confirmed <- ok })
	r.others = true
	reachable := len(g.peers(len(g.table.list), nil))
	if len(r.seeds) == 0 {
		r.required = min(leaveQuorum, reachable)
	}
	if reachable == 0 {
		r.required = 0
	}
	g.startRound(r)
}

// startRecovery asks the seeds for the departure that the own entry had before a restart.
func (g *Gossiper) startRecovery() {
	g.startRound(g.newRound(recoveryTicks, func(confirmed bool) {
		if !confirmed {
			g.log.Warn("a majority of the seeds has not answered", "timeout", recoveryTicks*tickInterval)
		}
		g.publish() // whoever waits for the recovery sees the departure in Members
		close(g.recovered)
	}))
}

func (g *Gossiper) newRound(ticks int, end func(bool)) *round {
	seeds := slices.DeleteFunc(slices.Clone(g.seeds), func(a netip.AddrPort) bool { return a == g.self.Addr })
	required := 0
	if len(seeds) > 0 {
		required = len(seeds)/2 + 1
	}
	return &round{
		seeds: seeds, required: required, pings: map[uint64]netip.AddrPort{}, acked: map[netip.AddrPort]bool{}, ticks: ticks, end: end,
	}
}

func (g *Gossiper) startRound(r *round) {
	g.rounds = append(g.rounds, r)
	g.pingRound(r)
	g.endRounds() // a round that requires no acknowledgement
}

// continueRounds counts a tick, ends the rounds that are out of time and repeats the pings of the others.
func (g *Gossiper) continueRounds() {
	for _, r := range g.rounds {
		r.ticks--
	}
	g.endRounds()
	for _, r := range g.rounds {
		g.pingRound(r)
	}
}

// pingRound pings the seeds that have not acknowledged a round and, if it includes them, some other members.
func (g *Gossiper) pingRound(r *round) {
	for _, addr := range r.seeds {
		if !r.acked[addr] {
			g.pingInRound(r, target{addr: addr})
		}
	}
	if !r.others {
		return
	}
	for _, e := range g.peers(confirmFanout, func(e *entry) bool { return !r.acked[e.Addr] && !slices.Contains(r.seeds, e.Addr) }) {
		g.pingInRound(r, e.target())
	}
}

func (g *Gossiper) pingInRound(r *round, to target) {
	g.seq++
	r.pings[g.seq] = to.addr
	g.sendTo(to, wire.Gossip{Kind: kindPing, Seq: g.seq}, g.self)
}

func (g *Gossiper) recordRoundAck(ack wire.Gossip) {
	for _, r := range g.rounds {
		if addr, ok := r.pings[ack.Seq]; ok {
			r.acked[addr] = true
		}
	}
	g.endRounds()
}

// endRounds ends the rounds that are complete or out of time.
func (g *Gossiper) endRounds() {
	g.rounds = slices.DeleteFunc(g.rounds, func(r *round) bool {
		complete := r.complete()
		if !complete && r.ticks > 0 {
			return false
		}
		r.end(complete || r.others && len(r.acked) > 0)
		return true
	})
}

// complete reports whether the required seeds, or members if there are no seeds, have acknowledged the round.
func (r *round) complete() bool {
	acked := len(r.acked)
	if len(r.seeds) > 0 {
		acked = 0
		for _, addr := range r.seeds {
			if r.acked[addr] {
				acked++
			}
		}
	}
	return acked >= r.required
}
