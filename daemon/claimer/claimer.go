// Package claimer requests, releases and finishes claims over the daemon's session.
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
	// ErrUnanswered reports a claim that got no answer before its context ended.
	ErrUnanswered = errors.New("claim unanswered")
	// ErrPending reports releases and finishes that were not delivered before a drain ended.
	ErrPending = errors.New("claim updates not delivered")
)

const (
	defaultTry   = time.Second // a session that lost a request answers nothing, so a try must end before the call does
	defaultQueue = 4096        // about 6 MiB with stored answers of 1 KiB
	window       = 32          // updates sent at once; the controller's group commit lets them share a sync
	firstPause   = 20 * time.Millisecond
	lastPause    = time.Second
)

// Claimer asks for claims and delivers their releases and finishes.
type Claimer struct {
	request func(context.Context, wire.Frame) (wire.Verdict, error)
	try     time.Duration
	limit   int
	dropped *metrics.Counter

	mu      sync.Mutex
	queue   []wire.Frame
	pending int           // queued or being sent
	idle    chan struct{} // closed when pending reaches 0; nil without a drain
	wake    chan struct{}
}

// Option configures a Claimer.
type Option func(*Claimer)

// WithRequest sets the function that sends a frame and returns the verdict.
func WithRequest(request func(context.Context, wire.Frame) (wire.Verdict, error)) Option {
	return func(c *Claimer) { c.request = request }
}

// WithQueue sets how many releases and finishes may wait for delivery.
func WithQueue(limit int) Option {
	return func(c *Claimer) { c.limit = limit }
}

// WithMetrics sets the set that receives the metrics.
func WithMetrics(set *metrics.Set) Option {
	return func(c *Claimer) { c.dropped = set.GetOrCreateCounter(droppedMetric) }
}

const droppedMetric = "bluebell_claim_updates_dropped_total"

// New returns a Claimer.
func New(opts ...Option) *Claimer {
	c := &Claimer{try: defaultTry, limit: defaultQueue, wake: make(chan struct{}, 1)}
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

// Claim asks for the claim until it is answered or ctx ends.
//
// Each try carries the same attempt, so a repeat after a lost answer gets the same verdict. After an error the caller
// must release the claim, since a request may still be on its way.
func (c *Claimer) Claim(ctx context.Context, claim wire.Claim) (wire.Verdict, error) {
	return c.ask(ctx, wire.Frame{Claim: &claim})
}

// Release gives up a claim whose call was not sent. It does not wait for the answer.
func (c *Claimer) Release(claim wire.Claim) {
	c.enqueue(wire.Frame{Release: &claim})
}

// Finish stores the answer of the call that holds the claim. It does not wait for the answer.
func (c *Claimer) Finish(claim wire.Claim) {
	c.enqueue(wire.Frame{Finish: &claim})
}

// Run delivers releases and finishes until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	ended := make(chan struct{})
	sending := 0
	for {
		for sending < window {
			frame, ok := c.next()
			if !ok {
				break
			}
			sending++
			go func() {
				defer func() { ended <- struct{}{} }()
				if _, err := c.ask(ctx, frame); err == nil {
					c.delivered()
				}
			}()
		}
		select {
		case <-c.wake:
		case <-ended:
			sending--
		case <-ctx.Done():
			for ; sending > 0; sending-- {
				<-ended
			}
			return context.Cause(ctx)
		}
	}
}

// Drain waits until every release and finish is answered. Run must still be running.
func (c *Claimer) Drain(ctx context.Context) error {
	c.mu.Lock()
	if c.pending == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %d left: %v", ErrPending, c.Pending(), context.Cause(ctx))
	}
}

// Pending returns the number of releases and finishes that are not answered yet.
func (c *Claimer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// enqueue adds a frame, or drops it when the queue is full. The key of a dropped update stays in state running, so its
// call is reported as unknown and never runs twice.
func (c *Claimer) enqueue(frame wire.Frame) {
	c.mu.Lock()
	if c.pending >= c.limit {
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

func (c *Claimer) next() (wire.Frame, bool) {
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

func (c *Claimer) delivered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// ask sends the frame until it is answered or ctx ends.
func (c *Claimer) ask(ctx context.Context, frame wire.Frame) (wire.Verdict, error) {
	pause := firstPause
	for {
		verdict, err := c.askOnce(ctx, frame)
		if err == nil && verdict.State != "" {
			return verdict, nil
		}
		if err == nil {
			err = errors.New("verdict without a state")
		}
		// Half of the pause is random, so that daemons that lost the same controller do not ask in step.
		timer := time.NewTimer(pause/2 + rand.N(pause/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return wire.Verdict{}, fmt.Errorf("%w: %v", ErrUnanswered, err)
		}
		pause = min(2*pause, lastPause)
	}
}

func (c *Claimer) askOnce(ctx context.Context, frame wire.Frame) (wire.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, c.try)
	defer cancel()
	return c.request(ctx, frame)
}
