package forwarder

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// ErrBusy reports calls that were still in progress when a drain ended.
var ErrBusy = errors.New("calls in progress")

// gate counts the calls in progress.
type gate struct {
	mu       sync.Mutex
	active   int
	draining bool
	idle     chan struct{} // closed when active reaches 0; nil without a drain
}

// enter counts a call and reports whether the daemon is draining.
func (g *gate) enter() (draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active++
	return g.draining
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.active == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

func (g *gate) drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	if g.active == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %v", ErrBusy, context.Cause(ctx))
	}
}
