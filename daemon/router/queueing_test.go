package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/router"
)

// meanServiceTimes are the mean service times of the upstreams in the queueing model. With 4 slots each, the upstreams
// serve 6,475 calls/s.
var meanServiceTimes = []time.Duration{2 * ms, 2 * ms, 4 * ms, 8 * ms, 8 * ms, 16 * ms, 32 * ms, 40 * ms}

// simulate makes 8,000 calls through the given number of daemons, with exponentially distributed interarrival and
// service times. It returns the median and the 99th percentile of the latency without the first fifth of the calls, and
// the number of all calls by upstream. Without daemons each call goes to a random upstream.
func simulate(t *testing.T, daemons int, rate float64) (p50, p99 time.Duration, counts [8]int) {
	const calls = 8000
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 4))
		var members []wire.Member
		var slots [8]chan struct{}
		var load [8]atomic.Int64
		for i := range meanServiceTimes {
			members = append(members, member(fmt.Sprint(i), func(w *wire.Member) { w.Slots = 4 }))
			slots[i] = make(chan struct{}, 4)
		}
		routers := make([]*router.Router, daemons)
		for i := range routers {
			routers[i] = router.New(router.WithMembers(func() []wire.Member { return members }), router.WithRandom(random.IntN))
		}
		latencies := make([]time.Duration, calls)
		var inflight sync.WaitGroup
		for n := range calls {
			i, done := random.IntN(8), func(router.Outcome) {}
			if daemons > 0 {
				m, finish, err := routers[random.IntN(daemons)].Pick("seller", nil)
				is.New(t).NoErr(err)
				i, done = int(m.Name[0]-'0'), finish
			}
			counts[i]++
			serviceTime := time.Duration(random.ExpFloat64() * float64(meanServiceTimes[i]))
			start := time.Now()
			inflight.Go(func() {
				load[i].Add(1)
				slots[i] <- struct{}{}
				time.Sleep(serviceTime)
				<-slots[i]
				latencies[n] = time.Since(start)
				done(router.Outcome{Latency: latencies[n], Load: int(load[i].Add(-1))})
			})
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		}
		inflight.Wait()
		latencies = latencies[calls/5:]
		slices.Sort(latencies)
		p50, p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	})
	return p50, p99, counts
}

// TestQueueing guards against a selection that sends slow upstreams so many calls that the tail latency exceeds that of
// a random selection.
func TestQueueing(t *testing.T) {
	for _, rate := range []float64{1000, 5000} {
		random50, random99, _ := simulate(t, 0, rate)
		t.Logf("%v calls/s, random selection: p50 %v, p99 %v", rate, random50, random99)
		for _, daemons := range []int{1, 10} {
			p50, p99, counts := simulate(t, daemons, rate)
			t.Logf("%v calls/s, %d daemons: p50 %v, p99 %v, calls %v", rate, daemons, p50, p99, counts)
			is := is.New(t)
			is.True(p99 <= random99)
			is.True(counts[0]+counts[1] > 20*(counts[6]+counts[7])) // slow members get few calls, even if both samples are slow
		}
	}
}
