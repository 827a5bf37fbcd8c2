package gossiper

import (
	"context"
	"fmt"
	"time"

	"bluebellhoist/core/wire"
)

// leaveRequest is a planned stop that waits for acknowledgements by other members.
type leaveRequest struct {
	pingSeqs map[uint64]bool
	acked    map[string]bool
	required int
	waiters  []chan struct{}
}

// Leave marks this member as left and returns once leaveQuorum members, or all alive members if there are fewer, have
// acknowledged it.
func (g *Gossiper) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	done := make(chan struct{})
	g.enqueueAction(func() { g.startLeave(done) })
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
		m.Incarnation++
		g.store(g.self, m, time.Now())
		g.publish()
		g.queueSelf()
	}
	g.probe = nil
	if g.pendingLeave != nil {
		g.pendingLeave.waiters = append(g.pendingLeave.waiters, done)
		return
	}
	alive := len(g.peers(leaveQuorum, func(e *entry) bool { return e.State == wire.Alive }))
	g.pendingLeave = &leaveRequest{pingSeqs: map[uint64]bool{}, acked: map[string]bool{}, required: alive, waiters: []chan struct{}{done}}
	g.announceLeave()
}

// announceLeave sends the left entry to random members that have not acknowledged it. It uses pings, since they are
// acknowledged.
func (g *Gossiper) announceLeave() {
	l := g.pendingLeave
	if l == nil {
		return
	}
	if len(l.acked) >= l.required {
		for _, done := range l.waiters {
			close(done)
		}
		g.pendingLeave = nil
		return
	}
	for _, e := range g.peers(leaveFanout, func(e *entry) bool { return !l.acked[e.Name] }) {
		g.seq++
		l.pingSeqs[g.seq] = true
		g.sendTo(e.target(), wire.Gossip{Kind: kindPing, Seq: g.seq}, g.self)
	}
}

func (l *leaveRequest) recordAck(ack wire.Gossip) {
	if l.pingSeqs[ack.Seq] {
		l.acked[ack.From] = true
	}
}
