package spender

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/carrier"
	"bluebellhoist/core/wire"
)

// newTestSpender returns a spender whose asks go to asked.
func newTestSpender(asked chan wire.Quota) *Spender {
	started := time.Now()
	return New("b",
		WithClock(func() time.Duration { return time.Since(started) }),
		WithBound(func() Bound { return Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20} }),
		WithControllers(func() []netip.AddrPort { return []netip.AddrPort{controllerAddr(0)} }),
		WithSend(func(_ netip.AddrPort, msg wire.Quota) error {
			asked <- msg
			return nil
		}),
	)
}

// answerAsk delivers an allotment of the given number of tokens for an ask.
func answerAsk(s *Spender, ask wire.Quota, count int) {
	s.Deliver(controllerAddr(0), wire.Quota{Kind: carrier.Allot, Seq: ask.Seq, Voters: 3, Items: []wire.QuotaItem{{Tenant: "t", Count: count}}})
}

// TestTake guards against calls that do not wait for their token, wait for ever, or go on after they are refused.
func TestTake(t *testing.T) {
	t.Run("answered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			asked := make(chan wire.Quota, 10)
			s := newTestSpender(asked)
			go func() {
				ask := <-asked
				time.Sleep(3 * ms)
				answerAsk(s, ask, 1)
			}()
			started := time.Now()
			release, err := s.Take(t.Context(), "t", testLimit)
			is.NoErr(err)
			is.Equal(time.Since(started), 3*ms)
			release(false)
			release, err = s.Take(t.Context(), "t", testLimit) // the released token
			is.NoErr(err)
			release(true)
			is.Equal(len(asked), 0)
		})
	})
	t.Run("not answered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestSpender(make(chan wire.Quota, 10))
			started := time.Now()
			_, err := s.Take(t.Context(), "t", testLimit)
			is.True(errors.Is(err, ErrUnavailable))
			is.Equal(time.Since(started), answerTime)
		})
	})
	t.Run("caller leaves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			asked := make(chan wire.Quota, 10)
			s := newTestSpender(asked)
			ctx, cancel := context.WithTimeout(t.Context(), 10*ms)
			defer cancel()
			_, err := s.Take(ctx, "t", testLimit)
			is.True(errors.Is(err, context.DeadlineExceeded))
			answerAsk(s, <-asked, 1)
			_, err = s.Take(t.Context(), "t", testLimit) // the token that the first call did not use
			is.NoErr(err)
		})
	})
}

// BenchmarkTake measures a call that finds a token.
func BenchmarkTake(b *testing.B) {
	s := newTestSpender(make(chan wire.Quota, 10))
	s.ledger.tenant(0, "t").tokens.add(1<<40, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		release, err := s.Take(b.Context(), "t", testLimit)
		if err != nil {
			b.Fatal(err)
		}
		release(true)
	}
}
