package budgeter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/budgeter"
)

// newDaemons returns the budgets of daemons that share the limits.
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

// TestShared guards against daemons that together repeat more calls than the limits allow in any window. It plays
// daemons with calls at random that each want to repeat every call.
func TestShared(t *testing.T) {
	limits := budgeter.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 64}
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			now := time.Unix(1000, 0)
			const daemons = 12
			all := newDaemons(daemons, limits, func() time.Time { return now })
			var calls, repeats []time.Time
			for range 20_000 {
				now = now.Add(time.Duration(random.IntN(4)) * time.Millisecond)
				if random.IntN(2000) == 0 {
					now = now.Add(time.Duration(random.IntN(15)) * time.Second)
				}
				b := all[random.IntN(daemons)]
				b.Count("s")
				calls = append(calls, now)
				if b.Take("s") {
					repeats = append(repeats, now)
				}
				// The bound counts the calls of the window or of one that began up to a window earlier.
				within := float64(since(repeats, now.Add(-limits.Window)))
				if allowed := limits.Ratio*float64(since(calls, now.Add(-limits.Window))) + limits.Slack; within > allowed {
					t.Fatalf("%v repeats in a window, allowed %v", within, allowed)
				}
			}
			is.New(t).True(len(repeats) > 100) // the run did work
		})
	}
}

func since(times []time.Time, from time.Time) (count int) {
	for i := len(times) - 1; i >= 0 && times[i].After(from); i-- {
		count++
	}
	return count
}

// TestNested guards against repeats that multiply along a chain of calls: each run of a call to p makes calls to s, and
// those that a repeated run makes count as repeats at s, although nothing tells them from others.
func TestNested(t *testing.T) {
	limits := budgeter.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	const (
		daemons = 12
		fanout  = 2
		share   = 70 // of 100 runs make calls
	)
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			now := time.Unix(1000, 0)
			all := newDaemons(daemons, limits, func() time.Time { return now })
			var calls, repeats []time.Time
			// Every call wants to be sent again, as when an upstream rejects most of them.
			callS := func(repeated bool) {
				b := all[random.IntN(daemons)]
				b.Count("s")
				calls = append(calls, now)
				if repeated {
					repeats = append(repeats, now)
				}
				if b.Take("s") {
					repeats = append(repeats, now)
				}
			}
			run := func(repeated bool) {
				if random.IntN(100) < share {
					for range fanout {
						callS(repeated)
					}
				}
			}
			for range 8000 {
				now = now.Add(time.Duration(random.IntN(16)) * time.Millisecond)
				b := all[random.IntN(daemons)]
				b.Count("p")
				run(false)
				if b.Take("p") {
					run(true)
				}
				from := now.Add(-limits.Window)
				if got, allowed := float64(since(repeats, from)), limits.Ratio*float64(since(calls, from))+limits.Slack; got > allowed {
					t.Fatalf("%v repeats in a window, allowed %v", got, allowed)
				}
			}
			is.New(t).True(len(repeats) > 100)
		})
	}
}

// TestServices guards against a failing service that spends the repeats of others, and against an allowance that is
// divided by fewer daemons once some cannot be seen.
func TestServices(t *testing.T) {
	is := is.New(t)
	members := 8
	b := budgeter.New(
		budgeter.WithLimits(func() budgeter.Limits { return budgeter.Limits{Window: 10 * time.Second, Slack: 64} }),
		budgeter.WithMembers(func() int { return members }),
		budgeter.WithClock(func() time.Time { return time.Unix(1000, 0) }),
	)
	taken := 0
	for b.Take("a") {
		taken++
	}
	is.Equal(taken, 2) // a quarter of 64, divided by 8
	members = 1
	is.True(!b.Take("a"))
	is.True(b.Take("b"))
}
