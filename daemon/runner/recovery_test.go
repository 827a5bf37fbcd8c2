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
	"bluebellhoist/daemon/subscriber"
)

// TestAwaitLog guards against a daemon that never announces its upstream while no controller can be reached, or that does so
// before controllers which restart at the same time have elected a leader.
func TestAwaitLog(t *testing.T) {
	t.Run("no controller", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := &Runner{log: hclog.NewNullLogger(), subscriber: subscriber.New()}
			began := time.Now()
			is.NoErr(r.awaitLog(t.Context()))
			is.Equal(time.Since(began), 5*time.Second)
		})
	})
	t.Run("stopped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(time.Second, cancel)
			r := &Runner{log: hclog.NewNullLogger(), subscriber: subscriber.New()}
			is.New(t).True(errors.Is(r.awaitLog(ctx), context.Canceled))
		})
	})
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
