package forwarder

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// ErrCallsInFlight reports that calls were still in flight when the context of a drain ended.
var ErrCallsInFlight = errors.New("calls in flight")

// callTracker counts the calls in flight, so that a drain can wait for them.
type callTracker struct {
	mu       sync.Mutex
	active   int
	draining bool
	idle     chan struct{} // closed when active reaches 0; nil unless a drain is waiting
}

// begin counts a call and reports whether the daemon is draining.
func (t *callTracker) begin() (draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
	return t.draining
}

func (t *callTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.active == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

func (t *callTracker) drain(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	if t.active == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %v", ErrCallsInFlight, context.Cause(ctx))
	}
}
