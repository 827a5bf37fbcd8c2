// Package waiter waits for a duration or until a context is done.
package waiter

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or returns the error of ctx if ctx is done by then.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SleepCompleted calls Sleep and reports whether it waited for all of d, that is, whether ctx is not done.
func SleepCompleted(ctx context.Context, d time.Duration) bool {
	return Sleep(ctx, d) == nil
}
