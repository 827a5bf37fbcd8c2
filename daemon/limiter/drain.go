package limiter

import (
	"context"
	"fmt"
	"time"
)

// Drain refuses new calls and returns when none is in progress. Queued calls still start during the grace period and
// are refused after it. Drain returns an error if ctx ends or Resize begins a cold start before that. The limiter goes
// on refusing new calls until such a start.
func (l *Limiter) Drain(ctx context.Context) error {
	idle := l.drain()
	grace := time.NewTimer(l.grace)
	defer grace.Stop()
	for {
		select {
		case <-idle:
			l.mu.Lock()
			defer l.mu.Unlock()
			if !l.draining {
				return fmt.Errorf("%w: a new upstream was announced", ErrDraining)
			}
			return nil
		case <-grace.C:
			l.mu.Lock()
			if l.draining {
				l.refuse(ErrDraining)
			}
			l.mu.Unlock()
		case <-ctx.Done():
			return fmt.Errorf("%w: %d calls left: %w", ErrDraining, l.Load(), ctx.Err())
		}
	}
}

// drain marks the limiter and returns a channel that is closed when no call is left.
func (l *Limiter) drain() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	idle := l.idle
	if l.load.Load() == 0 {
		l.wake()
	}
	return idle
}

// wake ends the wait of Drain. The lock must be held.
func (l *Limiter) wake() {
	if l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
}
