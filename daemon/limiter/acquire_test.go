package limiter_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/limiter"
)

// TestAcquireBefore guards against calls that are refused although a slot is free because their latest start has passed.
// Calls that would have to wait are then refused immediately.
func TestAcquireBefore(t *testing.T) {
	is := is.New(t)
	l := limiter.New(limiter.WithSlots(1))
	past := time.Now().Add(-time.Second)
	done, err := l.AcquireBefore(context.Background(), "normal", past)
	is.NoErr(err)
	_, err = l.AcquireBefore(context.Background(), "normal", past)
	is.True(errors.Is(err, limiter.ErrDeadline))
	done(limiter.OK)
	_, err = l.AcquireBefore(context.Background(), "normal", past)
	is.NoErr(err)
}

// TestWithoutSlowStart guards against a simultaneous restart after which all calls arrive while only a quarter of the
// slots is available.
func TestWithoutSlowStart(t *testing.T) {
	is := is.New(t)
	l := limiter.New(limiter.WithoutSlowStart())
	l.SetSlots(18)
	is.Equal(l.Limit(), 18)
	l.SetSlots(0)
	l.SetSlots(6)
	is.Equal(l.Limit(), 6)
}
