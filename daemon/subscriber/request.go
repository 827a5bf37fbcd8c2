package subscriber

import (
	"context"
	"fmt"
	"time"

	"bluebellhoist/core/wire"
)

// Request sends a claim, release or finish and returns its verdict.
//
// After ErrDisconnected or the end of ctx the request may or may not have been carried out.
func (s *Subscriber) Request(ctx context.Context, frame wire.Frame) (wire.Verdict, error) {
	n := s.session.Load()
	if n == nil {
		return wire.Verdict{}, ErrDisconnected
	}
	id, answer, err := n.register()
	if err != nil {
		return wire.Verdict{}, err
	}
	defer n.forget(id)
	frame.ID = id
	start := time.Now()
	select {
	case n.outgoing <- frame:
	case <-n.ctx.Done():
		return wire.Verdict{}, ErrDisconnected
	case <-ctx.Done():
		return wire.Verdict{}, ctx.Err()
	}
	select {
	case reply, ok := <-answer:
		return verdict(reply, ok)
	case <-ctx.Done():
		n.suspect(start)
		return wire.Verdict{}, ctx.Err()
	}
}

// suspect ends the session if nothing arrived on it since a request that was not answered within AnswerLimit. A
// controller answers sooner even when it has no leader, so it is frozen or the connection is silent.
func (n *session) suspect(start time.Time) {
	if time.Since(start) >= AnswerLimit && n.received.Load() < start.UnixNano() {
		n.cancel()
	}
}

func verdict(reply wire.Frame, ok bool) (wire.Verdict, error) {
	if !ok {
		return wire.Verdict{}, ErrDisconnected
	}
	if reply.Verdict == nil {
		return wire.Verdict{}, fmt.Errorf("%w: %s", ErrRefused, reply.Error)
	}
	return *reply.Verdict, nil
}

// register returns a number for a request and the channel for its answer.
func (n *session) register() (uint64, chan wire.Frame, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return 0, nil, ErrDisconnected
	}
	n.last++
	answer := make(chan wire.Frame, 1)
	n.pending[n.last] = answer
	return n.last, answer, nil
}

func (n *session) forget(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pending, id)
}
