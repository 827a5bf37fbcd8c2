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
	c := s.session.Load()
	if c == nil {
		return wire.Verdict{}, ErrDisconnected
	}
	id, answer, err := c.register()
	if err != nil {
		return wire.Verdict{}, err
	}
	defer c.forget(id)
	frame.ID = id
	start := time.Now()
	select {
	case c.outgoing <- frame:
	case <-c.ctx.Done():
		return wire.Verdict{}, ErrDisconnected
	case <-ctx.Done():
		return wire.Verdict{}, ctx.Err()
	}
	select {
	case reply, ok := <-answer:
		return verdict(reply, ok)
	case <-ctx.Done():
		c.suspect(start)
		return wire.Verdict{}, ctx.Err()
	}
}

// suspect ends the session if nothing arrived on it since a request that was not answered within AnswerLimit. A
// controller answers sooner even when it has no leader, so it is frozen or the connection is silent.
func (c *session) suspect(start time.Time) {
	if time.Since(start) >= AnswerLimit && c.received.Load() < start.UnixNano() {
		c.cancel()
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
func (c *session) register() (uint64, chan wire.Frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, nil, ErrDisconnected
	}
	c.last++
	answer := make(chan wire.Frame, 1)
	c.pending[c.last] = answer
	return c.last, answer, nil
}

func (c *session) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
