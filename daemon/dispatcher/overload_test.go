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

// Load of TestOverload: 40 in 100 calls more than the upstream has slots for, over a time in which nothing gets better.
const (
	loadSlots    = 18
	loadRun      = 125 * time.Millisecond // mean; runs take half to one and a half times as long
	loadRate     = 200                    // calls a second; the slots serve 144
	loadTarget   = 300 * time.Millisecond
	loadPatience = 800 * time.Millisecond
	loadCalls    = 6000
)

// tally counts what callers got.
type tally struct {
	mu                   sync.Mutex
	inTime, late, served int
}

// overload sends calls whose callers come back once, as told, and returns what they got.
func overload(t *testing.T) *tally {
	arrivals, runs := rand.New(rand.NewPCG(5, 6)), rand.New(rand.NewPCG(7, 8))
	slots := limiter.New(limiter.WithSlots(loadSlots))
	routes := route(true, 2)
	routes[0].Target, routes[0].Rank = loadTarget, 2
	snapshot := snapshotOf(t, routes)
	var mu sync.Mutex
	runTime := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration((0.5 + runs.Float64()) * float64(loadRun))
	}
	d := dispatcher.New(
		dispatcher.WithSnapshot(func() *compiler.Snapshot { return snapshot }),
		dispatcher.WithPick(func(_ string, asked []string) (wire.Member, func(dispatcher.Outcome), error) {
			if len(asked) > 0 {
				return wire.Member{}, nil, limiter.ErrFull
			}
			return wire.Member{Name: "self"}, func(dispatcher.Outcome) {}, nil
		}),
		dispatcher.WithLocal("self", func(ctx context.Context, o deliverer.Order) deliverer.Result {
			class, latest := o.Place(time.Now(), loadRun)
			done, err := slots.AcquireBefore(ctx, class, latest)
			if err != nil {
				return deliverer.Result{Outcome: deliverer.NotRun, Reason: err.Error()}
			}
			time.Sleep(runTime())
			done(limiter.OK)
			return deliverer.Result{Outcome: deliverer.Answered, Arrived: true, Answer: &courier.Answer{Status: 200, Header: http.Header{}}}
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

// call is one caller: it comes back once, after the time it was told but at most a third of its own.
func (g *tally) call(d *dispatcher.Dispatcher) {
	began := time.Now()
	for range 2 {
		left := loadPatience - time.Since(began)
		request := call("/r/x")
		request.Header.Set(courier.DefaultNames().Deadline, strconv.FormatInt(left.Milliseconds(), 10))
		a := d.Handle(context.Background(), request)
		took := time.Since(began)
		if a.Status == http.StatusOK {
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
		seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		if err != nil {
			return
		}
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), (loadPatience-took)/3))
	}
}

// TestOverload guards against slots that go to calls which can no longer be answered in time, while others could be: of
// what the slots can serve, nine in ten must be in time, and none of the slots may stay idle for that.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got := overload(t)
		capacity := float64(loadSlots) / loadRun.Seconds() / loadRate // part of the calls that the slots can serve
		t.Logf("of %d calls: %d in time, %d late; capacity %.2f", loadCalls, got.inTime, got.late, capacity)
		is.True(float64(got.inTime) >= 0.9*capacity*loadCalls)
		is.True(float64(got.served) >= 0.95*capacity*loadCalls)
	})
}
