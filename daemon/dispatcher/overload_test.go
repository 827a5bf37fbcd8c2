package dispatcher_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/dispatcher"
	"bluebellhoist/daemon/limiter"
)

// Load of TestOverload: a constant rate that exceeds the capacity of the slots by about 40%.
const (
	loadSlots         = 18
	loadServiceTime   = 125 * time.Millisecond // mean service time; service times are uniform between 0.5 and 1.5 times the mean
	loadRate          = 200                    // calls per second; the slots serve 144
	loadTarget        = 300 * time.Millisecond
	loadCallerTimeout = 800 * time.Millisecond
	loadCalls         = 6000
)

// tally counts the results of the callers.
type tally struct {
	mu                   sync.Mutex
	inTime, late, served int
}

// simulateOverload sends calls whose callers retry once, after the given Retry-After, and returns their results.
func simulateOverload(t *testing.T) *tally {
	arrivals, serviceTimes := rand.New(rand.NewPCG(5, 6)), rand.New(rand.NewPCG(7, 8))
	slots := limiter.New(limiter.WithSlots(loadSlots))
	routes := oneRoute(true, 2)
	routes[0].Target, routes[0].Rank = loadTarget, 2
	snapshot := newSnapshot(t, routes)
	var mu sync.Mutex
	serviceTime := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration((0.5 + serviceTimes.Float64()) * float64(loadServiceTime))
	}
	d := dispatcher.New(
		dispatcher.WithSnapshot(func() *compiler.Snapshot { return snapshot }),
		dispatcher.WithPick(func(_ string, skip []string) (wire.Member, func(dispatcher.Outcome), error) {
			if len(skip) > 0 {
				return wire.Member{}, nil, limiter.ErrFull
			}
			return wire.Member{Name: "self"}, func(dispatcher.Outcome) {}, nil
		}),
		dispatcher.WithLocalDelivery("self", func(ctx context.Context, c deliverer.Call) deliverer.Result {
			class, latest := c.Admission(time.Now(), loadServiceTime)
			done, err := slots.AcquireBefore(ctx, class, latest)
			if err != nil {
				return deliverer.Result{Outcome: deliverer.NotRun, Reason: err.Error()}
			}
			time.Sleep(serviceTime())
			done(limiter.OK)
			return deliverer.Result{Outcome: deliverer.Answered, Sent: true, Answer: &courier.Answer{Status: 200, Header: http.Header{}}}
		}),
	)
	got := &tally{}
	var callers sync.WaitGroup
	for range loadCalls {
		time.Sleep(time.Duration(arrivals.ExpFloat64() / loadRate * float64(time.Second)))
		callers.Go(func() { got.call(d) })
	}
	callers.Wait()
	return got
}

// call simulates one caller. It retries once, after the given Retry-After but at most a third of its remaining time.
func (g *tally) call(d *dispatcher.Dispatcher) {
	began := time.Now()
	for range 2 {
		left := loadCallerTimeout - time.Since(began)
		request := newRequest("/r/x")
		request.Header.Set(courier.DefaultHeaderNames().Deadline, strconv.FormatInt(left.Milliseconds(), 10))
		answer := d.Handle(context.Background(), request)
		took := time.Since(began)
		if answer.Status == http.StatusOK {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.served++
			if took <= loadTarget {
				g.inTime++
			} else {
				g.late++
			}
			return
		}
		seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		if err != nil {
			return
		}
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), (loadCallerTimeout-took)/3))
	}
}

// TestOverload guards against slots that are spent on calls that can no longer be answered in time while others could
// be. At least 90% of the capacity must serve calls in time, and at least 95% of it must be used.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got := simulateOverload(t)
		capacity := float64(loadSlots) / loadServiceTime.Seconds() / loadRate // share of the calls that the slots can serve
		t.Logf("of %d calls: %d in time, %d late; capacity %.2f", loadCalls, got.inTime, got.late, capacity)
		is.True(float64(got.inTime) >= 0.9*capacity*loadCalls)
		is.True(float64(got.served) >= 0.95*capacity*loadCalls)
	})
}
