// Package claimer requests, releases and finishes claims, and records departures, over the daemon's session with a controller.
package claimer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellhoist/core/wire"
)

var (
	// ErrUnanswered reports that a request got no verdict before its context ended.
	ErrUnanswered = errors.New("no verdict received")
	// ErrPending reports that releases and finishes were not delivered before the context of a drain ended.
	ErrPending = errors.New("claim updates not delivered")
)

const (
	defaultRequestTimeout = time.Second // a lost request gets no verdict, so it must time out before the call does
	defaultQueueLimit     = 4096        // updates; about 6 MiB with stored responses of 1 KiB
	maxInFlight           = 32          // updates sent concurrently; the group commit of the controller writes them with one disk sync
	minBackoff            = 20 * time.Millisecond
	maxBackoff            = time.Second
)

// Claimer requests claims and delivers updates of claims, that is their releases and finishes.
type Claimer struct {
	request        func(context.Context, wire.Frame) (wire.Verdict, error)
	requestTimeout time.Duration
	queueLimit     int
	dropped        *metrics.Counter

	mu      sync.Mutex
	queue   []wire.Frame
	pending int           // updates that are queued or being sent
	drained chan struct{} // closed when pending reaches 0; nil unless a drain is waiting
	wake    chan struct{}
}

// Option configures a Claimer.
type Option func(*Claimer)

// WithRequest sets the function that sends a frame and returns the verdict.
func WithRequest(request func(context.Context, wire.Frame) (wire.Verdict, error)) Option {
	return func(c *Claimer) { c.request = request }
}

// WithQueue sets how many updates may wait for delivery. Further updates are dropped.
func WithQueue(limit int) Option {
	return func(c *Claimer) { c.queueLimit = limit }
}

// WithMetrics sets the metrics set. The default is the global set.
func WithMetrics(set *metrics.Set) Option {
	return func(c *Claimer) { c.dropped = set.GetOrCreateCounter(droppedMetric) }
}

const droppedMetric = "bluebell_claim_updates_dropped_total"

// New returns a Claimer.
func New(opts ...Option) *Claimer {
	c := &Claimer{requestTimeout: defaultRequestTimeout, queueLimit: defaultQueueLimit, wake: make(chan struct{}, 1)}
	c.request = func(context.Context, wire.Frame) (wire.Verdict, error) {
		return wire.Verdict{}, errors.New("no session")
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.dropped == nil {
		c.dropped = metrics.GetOrCreateCounter(droppedMetric)
	}
	return c
}

// Claim requests the claim and retries until there is a verdict or ctx ends.
//
// All requests carry the same attempt ID, so a retry after a lost verdict gets the same verdict. After an error the
// caller must release the claim, because a request may still be in transit.
func (c *Claimer) Claim(ctx context.Context, claim wire.Claim) (wire.Verdict, error) {
	return c.requestWithRetry(ctx, wire.Frame{Claim: &claim})
}

// Release gives up a claim whose call was not sent. It does not wait for delivery.
func (c *Claimer) Release(claim wire.Claim) {
	c.enqueue(wire.Frame{Release: &claim})
}

// Finish stores the response of the call that holds the claim. It does not wait for delivery.
func (c *Claimer) Finish(claim wire.Claim) {
	c.enqueue(wire.Frame{Finish: &claim})
}

// Leave records the departure of the local upstream in the replicated log. It retries until that is done or ctx ends.
func (c *Claimer) Leave(ctx context.Context, gone wire.Departure) error {
	_, err := c.requestWithRetry(ctx, wire.Frame{Leave: &gone})
	return err
}

// Run delivers updates until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	done := make(chan struct{})
	inFlight := 0
	for {
		for inFlight < maxInFlight {
			frame, ok := c.dequeue()
			if !ok {
				break
			}
			inFlight++
			go func() {
				defer func() { done <- struct{}{} }()
				if _, err := c.requestWithRetry(ctx, frame); err == nil {
					c.markDelivered()
				}
			}()
		}
		select {
		case <-c.wake:
		case <-done:
			inFlight--
		case <-ctx.Done():
			for ; inFlight > 0; inFlight-- {
				<-done
			}
			return context.Cause(ctx)
		}
	}
}

// Drain waits until all updates are acknowledged. Run must still be running.
func (c *Claimer) Drain(ctx context.Context) error {
	c.mu.Lock()
	if c.pending == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.drained == nil {
		c.drained = make(chan struct{})
	}
	drained := c.drained
	c.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %d left: %v", ErrPending, c.Pending(), context.Cause(ctx))
	}
}

// Pending returns the number of updates that are not acknowledged.
func (c *Claimer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// enqueue adds an update, or drops it if the queue is full. The key of a dropped update stays in state running, so its
// call is reported as unknown and never runs twice.
func (c *Claimer) enqueue(frame wire.Frame) {
	c.mu.Lock()
	if c.pending >= c.queueLimit {
		c.mu.Unlock()
		c.dropped.Inc()
		return
	}
	c.queue = append(c.queue, frame)
	c.pending++
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Claimer) dequeue() (wire.Frame, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return wire.Frame{}, false
	}
	frame := c.queue[0]
	c.queue[0] = wire.Frame{}
	c.queue = c.queue[1:]
	return frame, true
}

func (c *Claimer) markDelivered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}

// requestWithRetry sends the frame with exponential backoff until there is a verdict or ctx ends.
func (c *Claimer) requestWithRetry(ctx context.Context, frame wire.Frame) (wire.Verdict, error) {
	backoff := minBackoff
	for {
		verdict, err := c.requestOnce(ctx, frame)
		if err == nil && verdict.State != "" {
			return verdict, nil
		}
		if err == nil {
			err = errors.New("verdict without a state")
		}
		// Half of the backoff is random, so that daemons that lost the same controller do not retry in lockstep.
		timer := time.NewTimer(backoff/2 + rand.N(backoff/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return wire.Verdict{}, fmt.Errorf("%w: %v", ErrUnanswered, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Claimer) requestOnce(ctx context.Context, frame wire.Frame) (wire.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, c.requestTimeout)
	defer cancel()
	return c.request(ctx, frame)
}
