package router_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/router"
)

// event is a step of the queueing model.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is a set of upstreams, each with 4 slots and a queue, called by several daemons.
type model struct {
	now    time.Time
	events events
	random *rand.Rand
	busy   map[string]int
	queue  map[string][]func()
	mean   map[string]time.Duration
}

func (m *model) after(d time.Duration, run func()) {
	heap.Push(&m.events, event{m.now.Add(d), run})
}

// serve runs done when the upstream has processed a call, with its load.
func (m *model) serve(name string, done func(load int)) {
	start := func() {
		m.after(time.Duration(m.random.ExpFloat64()*float64(m.mean[name])), func() {
			m.busy[name]--
			load := m.busy[name] + len(m.queue[name])
			if waiting := m.queue[name]; len(waiting) > 0 {
				m.queue[name] = waiting[1:]
				waiting[0]()
			}
			done(load)
		})
	}
	if m.busy[name] < 4 {
		m.busy[name]++
		start()
		return
	}
	m.queue[name] = append(m.queue[name], func() { m.busy[name]++; start() })
}

// simulate returns the sorted latencies of calls after the warm-up and the calls by member. Eight upstreams take from
// 2 to 40 ms per call; together they serve 6,475 calls/s.
func simulate(daemons int, rate float64, calls int, random bool) ([]time.Duration, map[string]int) {
	m := &model{
		now: time.Now(), random: rand.New(rand.NewPCG(3, 4)),
		busy: make(map[string]int), queue: make(map[string][]func()), mean: make(map[string]time.Duration),
	}
	var members []wire.Member
	for i, ms := range []int{2, 2, 4, 8, 8, 16, 32, 40} {
		name := fmt.Sprint(i)
		members = append(members, member(name, func(w *wire.Member) { w.Slots = 4 }))
		m.mean[name] = time.Duration(ms) * time.Millisecond
	}
	var routers []*router.Router
	for range daemons {
		routers = append(routers, router.New(
			router.WithMembers(func() []wire.Member { return members }),
			router.WithDomain("buk"),
			router.WithRandom(m.random.IntN),
			router.WithClock(func() time.Time { return m.now }),
		))
	}
	var latencies []time.Duration
	counts := make(map[string]int)
	made := 0
	var arrive func()
	arrive = func() {
		made++
		if made < calls {
			m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		warm := made > calls/5
		name, done := fmt.Sprint(m.random.IntN(len(members))), func(router.Outcome) {}
		if !random {
			var w wire.Member
			w, done, _ = routers[m.random.IntN(daemons)].Pick("seller", nil)
			name = w.Name
		}
		start := m.now
		m.serve(name, func(load int) {
			d := m.now.Sub(start)
			done(router.Outcome{Kind: router.OK, Latency: d, Load: load})
			if warm {
				latencies = append(latencies, d)
				counts[name]++
			}
		})
	}
	m.after(0, arrive)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	slices.Sort(latencies)
	return latencies, counts
}

// TestQueueing guards against a score that gives slow upstreams so much work that the tail grows.
func TestQueueing(t *testing.T) {
	for _, daemons := range []int{1, 10} {
		for _, rate := range []float64{500, 1000, 3000, 5000} {
			t.Run(fmt.Sprintf("%d daemons %v calls per s", daemons, rate), func(t *testing.T) {
				p2c, shares := simulate(daemons, rate, 20000, false)
				blind, _ := simulate(daemons, rate, 20000, true)
				at := func(sorted []time.Duration, q float64) time.Duration { return sorted[int(q*float64(len(sorted)))] }
				t.Logf("p50 %v, random %v; p99 %v, random %v; calls %v", at(p2c, .5), at(blind, .5), at(p2c, .99), at(blind, .99), shares)
				is := is.New(t)
				is.True(at(p2c, .99) <= at(blind, .99))
				is.True(shares["0"] > shares["2"] && shares["2"] > shares["3"] && shares["3"] > shares["5"] && shares["5"] > shares["7"]) // faster ones get more
			})
		}
	}
}
