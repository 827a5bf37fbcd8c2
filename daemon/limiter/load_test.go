package limiter_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/limiter"
)

const (
	loadSlots       = 18
	loadServiceTime = 50 * ms // mean; service times are uniform between 0.5 and 1.5 times the mean
	loadCalls       = 10_000
	loadDeadline    = time.Second
	nestedShare     = 0.3 // calls that running calls make
	returnShare     = 0.5 // callers that return once after a refusal
	returnAfter     = 100 * ms
)

// load describes the calls to one upstream.
type load struct {
	name     string
	factor   float64               // arrivals in multiples of what the slots serve
	patience map[int]time.Duration // by rank: how long calls may wait for a slot
}

// group is the calls of one rank that are nested or not.
type group struct {
	rank   int
	nested bool
}

// result counts the calls of one group.
type result struct {
	calls, served, refusals, late int // late are the refusals that were not immediate
}

func (r result) share() float64 {
	return float64(r.served) / float64(max(r.calls, 1))
}

// simulate sends the load to a limiter and returns the results by group.
func simulate(t *testing.T, l load, seed uint64) map[group]*result {
	results := map[group]*result{}
	ranks := []int{}
	for rank := range l.patience {
		ranks = append(ranks, rank)
		results[group{rank, false}], results[group{rank, true}] = &result{}, &result{}
	}
	slices.Sort(ranks)
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		slots := limiter.New(limiter.WithSlots(loadSlots))
		perCall := time.Duration(float64(loadServiceTime) / loadSlots / l.factor)
		var mu sync.Mutex
		var callers sync.WaitGroup
		for range loadCalls {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(perCall)))
			g := group{ranks[random.IntN(len(ranks))], random.Float64() < nestedShare}
			tries := 1
			if random.Float64() < returnShare {
				tries = 2
			}
			serviceTime := time.Duration((0.5 + random.Float64()) * float64(loadServiceTime))
			r := results[g]
			r.calls++
			callers.Go(func() {
				for range tries {
					began := time.Now()
					err := callSlots(slots, g, began.Add(l.patience[g.rank]), began.Add(loadDeadline), serviceTime)
					mu.Lock()
					switch {
					case err == nil:
						r.served++
					case time.Since(began) > 0:
						r.refusals++
						r.late++
					default:
						r.refusals++
					}
					mu.Unlock()
					if err == nil {
						return
					}
					time.Sleep(returnAfter)
				}
			})
		}
		callers.Wait()
	})
	return results
}

// callSlots makes one call that may wait until latest.
func callSlots(slots *limiter.Limiter, g group, latest, deadline time.Time, serviceTime time.Duration) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if g.nested {
		latest = deadline.Add(-loadServiceTime)
	}
	done, err := slots.AcquireBefore(ctx, limiter.Class{Rank: g.rank, Nested: g.nested}, latest)
	if err != nil {
		return err
	}
	time.Sleep(serviceTime)
	done(limiter.OK)
	return nil
}

func samePatience(d time.Duration, ranks ...int) map[int]time.Duration {
	patience := map[int]time.Duration{}
	for _, rank := range ranks {
		patience[rank] = d
	}
	return patience
}

// TestOrder guards against less urgent calls that are served more often than more urgent ones, against a rank that starves,
// and against refusing calls of running calls while new calls are served.
func TestOrder(t *testing.T) {
	for _, factor := range []float64{1.3, 2} {
		for _, l := range []load{
			{"usual ranks", factor, samePatience(90*ms, 0, 1, 2, 7)},
			{"far apart", factor, samePatience(90*ms, -1000, 0, 1<<40, 1<<50)},
			{"urgent calls cannot wait", factor, map[int]time.Duration{0: -5 * ms, 1: 20 * ms, 2: 90 * ms, 7: 500 * ms}},
			{"many ranks", factor, samePatience(90*ms, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)},
		} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s, %.1f, seed %d", l.name, factor, seed), func(t *testing.T) {
					t.Parallel()
					checkOrder(t, simulate(t, l, seed))
				})
			}
		}
	}
}

// moreOften reports whether the share served of a is above that of b by more than chance explains: three standard deviations
// of the difference, if both had the same share.
func moreOften(a, b result) bool {
	p := float64(a.served+b.served) / float64(a.calls+b.calls)
	deviation := math.Sqrt(p * (1 - p) * (1/float64(a.calls) + 1/float64(b.calls)))
	return a.share() > b.share()+3*deviation
}

func checkOrder(t *testing.T, results map[group]*result) {
	is := is.New(t)
	var ranks []int
	var all, nested result
	for g, r := range results {
		all.calls, all.served = all.calls+r.calls, all.served+r.served
		if g.nested {
			nested.calls, nested.served = nested.calls+r.calls, nested.served+r.served
			continue
		}
		ranks = append(ranks, g.rank)
	}
	slices.Sort(ranks)
	report := fmt.Sprintf("all %.3f, nested %.3f", all.share(), nested.share())
	for _, rank := range ranks {
		r := results[group{rank, false}]
		report += fmt.Sprintf(", rank %d %.3f (%d of %d refusals late)", rank, r.share(), r.late, r.refusals)
	}
	t.Log(report)
	before := nested
	for _, rank := range ranks {
		r := *results[group{rank, false}]
		is.True(!moreOften(r, before))        // not served more often than a more urgent rank
		is.True(r.share() >= all.share()/4.0) // does not starve
		before = r
	}
	is.Equal(nested.served, nested.calls)
}
