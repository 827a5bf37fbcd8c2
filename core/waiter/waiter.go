// Package waiter waits for a time span or the end of a context.
package waiter

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or returns the error of ctx if that ends first.
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

// Slept is Sleep for callers that only need to know whether ctx goes on.
func Slept(ctx context.Context, d time.Duration) bool {
	return Sleep(ctx, d) == nil
}
