package gossiper

import (
	"context"
	"fmt"
	"time"

	"bluebellhoist/core/wire"
)

// leave is a planned stop that waits for other members to confirm it.
type leave struct {
	seqs      map[uint64]bool
	confirmed map[string]bool
	need      int
	done      []chan struct{}
}

// Leave marks the daemon as left and returns once several members have confirmed it, or all if there are few.
func (g *Gossiper) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	done := make(chan struct{})
	g.do(func() { g.startLeave(done) })
	select {
	case <-done:
		return nil
	case <-g.done:
		return fmt.Errorf("%w: gossiper has stopped", ErrUnconfirmed)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnconfirmed, context.Cause(ctx))
	}
}

func (g *Gossiper) startLeave(done chan struct{}) {
	if g.self.State != wire.Left {
		m := g.self.Member
		m.State, m.Ready = wire.Left, false
		m.Inc++
		g.store(g.self, m, time.Now())
		g.publish()
		g.spreadSelf()
	}
	g.probe = nil
	if g.leaving != nil {
		g.leaving.done = append(g.leaving.done, done)
		return
	}
	alive := len(g.peers(leaveQuorum, func(e *entry) bool { return e.State == wire.Alive }))
	g.leaving = &leave{seqs: map[uint64]bool{}, confirmed: map[string]bool{}, need: alive, done: []chan struct{}{done}}
	g.announceLeave()
}

// announceLeave sends the left entry to random members, in pings so that they confirm it.
func (g *Gossiper) announceLeave() {
	l := g.leaving
	if l == nil {
		return
	}
	if len(l.confirmed) >= l.need {
		for _, done := range l.done {
			close(done)
		}
		g.leaving = nil
		return
	}
	for _, e := range g.peers(leaveFanout, func(e *entry) bool { return !l.confirmed[e.Name] }) {
		g.seq++
		l.seqs[g.seq] = true
		g.sendTo(e.target(), wire.Gossip{Kind: kindPing, Seq: g.seq}, g.self)
	}
}

func (l *leave) confirm(ack wire.Gossip) {
	if l.seqs[ack.Seq] {
		l.confirmed[ack.From] = true
	}
}
