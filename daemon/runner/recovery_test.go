package runner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/claimer"
)

// TestAwaitLog guards against a daemon that keeps its upstream from a failure domain which is cut off, or that announces it before
// controllers which restart at the same time have elected a leader.
func TestAwaitLog(t *testing.T) {
	cases := []struct {
		name             string
		told, remembered bool
		want             time.Duration
	}{
		{"controllers answer", true, false, 0},
		{"no controller, remembered", false, true, time.Second},
		{"no controller, nobody remembers", false, false, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &Runner{log: hclog.NewNullLogger()}
				began := time.Now()
				is.NoErr(r.awaitLog(t.Context(), closedIf(c.told), closedIf(c.remembered)))
				is.Equal(time.Since(began), c.want)
			})
		})
	}
	t.Run("stopped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(500*time.Millisecond, cancel)
			r := &Runner{log: hclog.NewNullLogger()}
			is.New(t).True(errors.Is(r.awaitLog(ctx, closedIf(false), closedIf(false)), context.Canceled))
		})
	})
}

// closedIf returns a channel that is closed if closed is set.
func closedIf(closed bool) <-chan struct{} {
	c := make(chan struct{})
	if closed {
		close(c)
	}
	return c
}

// TestRecordDeparture guards against a leave that is acknowledged although no controller has answered, and against an answer
// that comes after the upstream has given up.
func TestRecordDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &Runner{claimer: claimer.New(claimer.WithRequest(func(ctx context.Context, _ wire.Frame) (wire.Verdict, error) {
			<-ctx.Done()
			return wire.Verdict{}, ctx.Err()
		}))}
		began := time.Now()
		is.True(r.recordDeparture(t.Context(), wire.Departure{Start: 1}) != nil)
		is.True(time.Since(began) < time.Second)
	})
}
