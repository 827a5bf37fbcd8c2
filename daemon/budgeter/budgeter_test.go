package budgeter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/budgeter"
)

// newDaemons returns the budgeters of daemons that share the limits.
func newDaemons(count int, limits budgeter.Limits, now func() time.Time) (all []*budgeter.Budgeter) {
	for range count {
		all = append(all, budgeter.New(
			budgeter.WithLimits(func() budgeter.Limits { return limits }),
			budgeter.WithMembers(func() int { return count }),
			budgeter.WithClock(now),
		))
	}
	return all
}

// TestShared guards against daemons that together make more retries than the limits allow in any window. It simulates
// daemons that make calls at random times and try to retry every call.
func TestShared(t *testing.T) {
	limits := budgeter.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 64}
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			now := time.Unix(1000, 0)
			const daemons = 12
			all := newDaemons(daemons, limits, func() time.Time { return now })
			var calls, retries []time.Time
			for range 20_000 {
				now = now.Add(time.Duration(random.IntN(4)) * time.Millisecond)
				if random.IntN(2000) == 0 {
					now = now.Add(time.Duration(random.IntN(15)) * time.Second)
				}
				b := all[random.IntN(daemons)]
				b.CountCall("s")
				calls = append(calls, now)
				if b.AllowRetry("s") {
					retries = append(retries, now)
				}
				// The bound includes all calls in the window that ends now.
				got := float64(countSince(retries, now.Add(-limits.Window)))
				if allowed := limits.Ratio*float64(countSince(calls, now.Add(-limits.Window))) + limits.Slack; got > allowed {
					t.Fatalf("%v retries in a window, allowed %v", got, allowed)
				}
			}
			is.New(t).True(len(retries) > 100) // the simulation made retries
		})
	}
}

func countSince(times []time.Time, start time.Time) (count int) {
	for i := len(times) - 1; i >= 0 && times[i].After(start); i-- {
		count++
	}
	return count
}

// TestNested guards against retries that multiply along a chain of calls. Each run of a call to p makes calls to s. The
// calls of a retried run count as retries at s, although they cannot be distinguished from other calls.
func TestNested(t *testing.T) {
	limits := budgeter.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	const (
		daemons        = 12
		fanout         = 2
		callingPercent = 70 // percentage of runs that make calls
	)
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			now := time.Unix(1000, 0)
			all := newDaemons(daemons, limits, func() time.Time { return now })
			var calls, retries []time.Time
			// Every call is to be retried, as when an upstream refuses most calls.
			callService := func(retried bool) {
				b := all[random.IntN(daemons)]
				b.CountCall("s")
				calls = append(calls, now)
				if retried {
					retries = append(retries, now)
				}
				if b.AllowRetry("s") {
					retries = append(retries, now)
				}
			}
			runCall := func(retried bool) {
				if random.IntN(100) < callingPercent {
					for range fanout {
						callService(retried)
					}
				}
			}
			for range 8000 {
				now = now.Add(time.Duration(random.IntN(16)) * time.Millisecond)
				b := all[random.IntN(daemons)]
				b.CountCall("p")
				runCall(false)
				if b.AllowRetry("p") {
					runCall(true)
				}
				start := now.Add(-limits.Window)
				if got, allowed := float64(countSince(retries, start)), limits.Ratio*float64(countSince(calls, start))+limits.Slack; got > allowed {
					t.Fatalf("%v retries in a window, allowed %v", got, allowed)
				}
			}
			is.New(t).True(len(retries) > 100)
		})
	}
}

// TestServices guards against a failing service that uses up the retry budget of other services, and against slack that
// is shared by fewer daemons once some are no longer visible.
func TestServices(t *testing.T) {
	is := is.New(t)
	members := 8
	b := budgeter.New(
		budgeter.WithLimits(func() budgeter.Limits { return budgeter.Limits{Window: 10 * time.Second, Slack: 64} }),
		budgeter.WithMembers(func() int { return members }),
		budgeter.WithClock(func() time.Time { return time.Unix(1000, 0) }),
	)
	allowed := 0
	for b.AllowRetry("a") {
		allowed++
	}
	is.Equal(allowed, 2) // a quarter of 64, divided by 8
	members = 1
	is.True(!b.AllowRetry("a"))
	is.True(b.AllowRetry("b"))
}
