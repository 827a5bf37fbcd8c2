package limiter

import (
	"context"
	"fmt"
	"time"
)

// Drain refuses new calls and returns when no call is left. Queued calls may still start during the grace period and
// are refused after it. Drain returns an error if ctx ends or SetSlots begins a cold start first. The limiter keeps
// refusing new calls until a cold start.
func (l *Limiter) Drain(ctx context.Context) error {
	drained := l.startDrain()
	grace := time.NewTimer(l.grace)
	defer grace.Stop()
	for {
		select {
		case <-drained:
			l.mu.Lock()
			defer l.mu.Unlock()
			if !l.draining {
				return fmt.Errorf("%w: a new upstream was announced", ErrDraining)
			}
			return nil
		case <-grace.C:
			l.mu.Lock()
			if l.draining {
				l.refuseQueued(ErrDraining)
			}
			l.mu.Unlock()
		case <-ctx.Done():
			return fmt.Errorf("%w: %d calls left: %w", ErrDraining, l.Load(), ctx.Err())
		}
	}
}

// startDrain marks the limiter as draining and returns a channel that is closed when no call is left or a cold start
// begins.
func (l *Limiter) startDrain() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	if l.drained == nil {
		l.drained = make(chan struct{})
	}
	drained := l.drained
	if l.load.Load() == 0 {
		l.wakeDrain()
	}
	return drained
}

// wakeDrain ends the wait of Drain. The lock must be held.
func (l *Limiter) wakeDrain() {
	if l.drained != nil {
		close(l.drained)
		l.drained = nil
	}
}
