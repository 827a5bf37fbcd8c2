package waiter_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/waiter"
)

// TestSleep guards against a wait that continues after its context is done, and against one that reports success although
// its context was done before.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.NoErr(waiter.Sleep(context.Background(), time.Minute))
		is.Equal(time.Since(start), time.Minute)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(errors.Is(waiter.Sleep(ctx, time.Hour), context.DeadlineExceeded))
		is.Equal(time.Since(start), time.Minute+time.Second)
		is.True(!waiter.SleepCompleted(ctx, 0))
	})
}
