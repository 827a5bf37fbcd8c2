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

// session answers requests after it has lost the first ones: it leaves even ones unanswered and fails odd ones.
type session struct {
	mu     sync.Mutex
	lose   int
	frames []wire.Frame
	most   int // requests at one time
	now    int
}

func (s *session) request(ctx context.Context, frame wire.Frame) (wire.Verdict, error) {
	s.mu.Lock()
	s.frames = append(s.frames, frame)
	n := len(s.frames)
	s.now++
	s.most = max(s.most, s.now)
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.now--; s.mu.Unlock() }()
	time.Sleep(time.Millisecond)
	if n > s.lose {
		return wire.Verdict{State: "granted"}, nil
	}
	if n%2 == 0 {
		<-ctx.Done()
	}
	return wire.Verdict{}, errors.New("session lost")
}

// TestClaimRepeats guards against giving up on a claim while time is left, and against a repeat under another attempt.
func TestClaimRepeats(t *testing.T) {
	for lose, want := range map[int]error{0: nil, 2: nil, 1000: claimer.ErrUnanswered} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &session{lose: lose}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			verdict, err := claimer.New(claimer.WithRequest(s.request)).Claim(ctx, wire.Claim{Key: "k", Attempt: "a"})
			is.True(errors.Is(err, want))
			is.Equal(verdict.State == "granted", want == nil)
			is.Equal(ctx.Err() == nil, want == nil)
			is.True(len(s.frames) > min(lose, 3)) // a try without an answer ends before the call
			for _, frame := range s.frames {
				is.Equal(frame.Claim.Attempt, "a")
			}
		})
	}
}

// TestUpdatesDelivered guards against losing releases and finishes while the session is away, and against a drain that
// ends before they are answered.
func TestUpdatesDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &session{lose: 50}
		c := claimer.New(claimer.WithRequest(s.request))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- c.Run(ctx) }()
		for i := range 100 {
			c.Release(wire.Claim{Key: fmt.Sprint("r", i)})
			c.Finish(wire.Claim{Key: fmt.Sprint("f", i)})
		}
		short, stop := context.WithTimeout(t.Context(), time.Millisecond)
		defer stop()
		is.True(errors.Is(c.Drain(short), claimer.ErrPending))
		is.NoErr(c.Drain(t.Context()))
		is.Equal(c.Pending(), 0)
		keys := map[string]bool{}
		for _, frame := range s.frames {
			claim := cmp.Or(frame.Release, frame.Finish)
			keys[claim.Key] = true
		}
		is.Equal(len(keys), 200)
		is.Equal(len(s.frames), 250) // each is delivered until it is answered, and no longer
		is.True(s.most > 1 && s.most <= 32)
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}

// TestQueueBounded guards against a queue that grows without limit while there is no session.
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
