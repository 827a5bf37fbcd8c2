package claimer_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/claimer"
)

// session is a fake session that fails the first requests: even ones get no verdict, odd ones an error. It grants all
// later ones.
type session struct {
	mu          sync.Mutex
	failFirst   int
	frames      []wire.Frame
	maxInFlight int // highest number of concurrent requests
	inFlight    int
}

func (s *session) request(ctx context.Context, frame wire.Frame) (wire.Verdict, error) {
	s.mu.Lock()
	s.frames = append(s.frames, frame)
	n := len(s.frames)
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.inFlight--; s.mu.Unlock() }()
	time.Sleep(time.Millisecond)
	if n > s.failFirst {
		return wire.Verdict{State: "granted"}, nil
	}
	if n%2 == 0 {
		<-ctx.Done()
	}
	return wire.Verdict{}, errors.New("session lost")
}

// TestClaimRepeats guards against giving up on a claim while time is left, and against retrying with another attempt
// ID.
func TestClaimRepeats(t *testing.T) {
	for lose, want := range map[int]error{0: nil, 2: nil, 1000: claimer.ErrUnanswered} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &session{failFirst: lose}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			verdict, err := claimer.New(claimer.WithRequest(s.request)).Claim(ctx, wire.Claim{Key: "k", Attempt: "a"})
			is.True(errors.Is(err, want))
			is.Equal(verdict.State == "granted", want == nil)
			is.Equal(ctx.Err() == nil, want == nil)
			is.True(len(s.frames) > min(lose, 3)) // a request without a verdict times out before the call
			for _, frame := range s.frames {
				is.Equal(frame.Claim.Attempt, "a")
			}
		})
	}
}

// TestUpdatesDelivered guards against losing updates while the session is interrupted, and against a drain that ends
// before all updates are acknowledged.
func TestUpdatesDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &session{failFirst: 50}
		c := claimer.New(claimer.WithRequest(s.request))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- c.Run(ctx) }()
		for i := range 100 {
			c.Release(wire.Claim{Key: fmt.Sprint("r", i)})
			c.Finish(wire.Claim{Key: fmt.Sprint("f", i)})
		}
		shortCtx, stop := context.WithTimeout(t.Context(), time.Millisecond)
		defer stop()
		is.True(errors.Is(c.Drain(shortCtx), claimer.ErrPending))
		is.NoErr(c.Drain(t.Context()))
		is.Equal(c.Pending(), 0)
		keys := map[string]bool{}
		for _, frame := range s.frames {
			claim := cmp.Or(frame.Release, frame.Finish)
			keys[claim.Key] = true
		}
		is.Equal(len(keys), 200)
		is.Equal(len(s.frames), 250) // each update is retried until it is acknowledged, and not after that
		is.True(s.maxInFlight > 1 && s.maxInFlight <= 32)
		cancel()
		is.True(errors.Is(<-done, context.Canceled))
	})
}

// TestQueueBounded guards against a queue that grows without bound while there is no session.
func TestQueueBounded(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	c := claimer.New(claimer.WithQueue(10), claimer.WithMetrics(set))
	for range 25 {
		c.Release(wire.Claim{})
	}
	is.Equal(c.Pending(), 10)
	is.Equal(set.GetOrCreateCounter("bluebell_claim_updates_dropped_total").Get(), uint64(15))
}
