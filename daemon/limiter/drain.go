package limiter

import (
	"context"
	"fmt"
	"time"
)

// Drain refuses new calls and returns when none is in progress. Queued calls still start during the grace period and
// are refused after it. Drain returns an error if ctx ends first; the limiter then goes on refusing new calls.
func (l *Limiter) Drain(ctx context.Context) error {
	idle := l.drain()
	grace := time.NewTimer(l.grace)
	defer grace.Stop()
	for {
		select {
		case <-idle:
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
	if l.load.Load() == 0 {
		idle := make(chan struct{})
		close(idle)
		return idle
	}
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	return l.idle
}
