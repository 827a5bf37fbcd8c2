package subscriber

import (
	"context"
	"fmt"
	"time"

	"bluebellhoist/core/wire"
)

// Request sends a claim, release or finish to the controller and returns the verdict.
//
// If it returns ErrDisconnected or the error of ctx, the request may or may not have been carried out.
func (s *Subscriber) Request(ctx context.Context, frame wire.Frame) (wire.Verdict, error) {
	c := s.session.Load()
	if c == nil {
		return wire.Verdict{}, ErrDisconnected
	}
	id, answer, err := c.register()
	if err != nil {
		return wire.Verdict{}, err
	}
	defer c.unregister(id)
	frame.ID = id
	sentAt := time.Now()
	select {
	case c.outgoing <- frame:
	case <-c.ctx.Done():
		return wire.Verdict{}, ErrDisconnected
	case <-ctx.Done():
		return wire.Verdict{}, ctx.Err()
	}
	select {
	case reply, ok := <-answer:
		return verdictOf(reply, ok)
	case <-ctx.Done():
		c.closeIfUnresponsive(sentAt)
		return wire.Verdict{}, ctx.Err()
	}
}

// closeIfUnresponsive ends the session if a request has waited for AnswerLimit and no data has arrived since it was sent.
// A controller without a leader answers within AnswerLimit too, so this one is frozen or the connection is broken.
func (c *session) closeIfUnresponsive(sentAt time.Time) {
	if time.Since(sentAt) >= AnswerLimit && c.lastReceived.Load() < sentAt.UnixNano() {
		c.cancel()
	}
}

// verdictOf returns the verdict of a reply. If ok is false, the session ended before the reply arrived.
func verdictOf(reply wire.Frame, ok bool) (wire.Verdict, error) {
	if !ok {
		return wire.Verdict{}, ErrDisconnected
	}
	if reply.Verdict == nil {
		return wire.Verdict{}, fmt.Errorf("%w: %s", ErrRefused, reply.Error)
	}
	return *reply.Verdict, nil
}

// register returns the ID of a new request and the channel that receives its reply.
func (c *session) register() (uint64, chan wire.Frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, nil, ErrDisconnected
	}
	c.lastID++
	answer := make(chan wire.Frame, 1)
	c.pending[c.lastID] = answer
	return c.lastID, answer, nil
}

// unregister drops a request whose reply is no longer awaited.
func (c *session) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
