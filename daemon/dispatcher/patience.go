package dispatcher

import (
	"slices"
	"sync"
	"time"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/deliverer"
)

const (
	// recentCallers is the number of callers on a route by whom the patience of a new one is judged.
	recentCallers = 64
	// judgeEvery is the number of calls after which it is judged again.
	judgeEvery = 16
	// newShare is the part of these callers that wait no longer. A few that wait much longer than others so change nothing.
	newShare = 0.9
	// waitedLeast is the part of that patience that a caller must lack to count as one that has waited before. It is less
	// than returnPart, after which refused callers come back, and more than the spread among new ones.
	waitedLeast = 0.9 * returnPart
)

// patience follows how long new callers on one route wait.
type patience struct {
	mu     sync.Mutex
	recent [recentCallers]time.Duration
	count  int
	usual  time.Duration
}

// note takes how long one caller waits and returns how long new ones do.
func (p *patience) note(wait time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recent[p.count%recentCallers] = wait
	p.count++
	if p.count <= judgeEvery || p.count%judgeEvery == 0 {
		sorted := slices.Sorted(slices.Values(p.recent[:min(p.count, recentCallers)]))
		p.usual = sorted[int(newShare*float64(len(sorted)-1))]
	}
	return p.usual
}

// waited returns how long a caller has probably waited before this attempt: callers tell how long they will still wait, and
// one that was refused and comes back has less time than new ones on the same route.
func (d *Dispatcher) waited(route *wire.Route, left time.Duration) time.Duration {
	v, ok := d.patiences.Load(route.Name)
	if !ok {
		v, _ = d.patiences.LoadOrStore(route.Name, &patience{})
	}
	usual := v.(*patience).note(left)
	if waited := usual - left; waited >= time.Duration(waitedLeast*float64(usual)) {
		return waited
	}
	return 0
}

// urgency sets class and target of an order. The time that the caller has waited before counts.
func (c *call) urgency(order *deliverer.Order) {
	order.Class = c.class()
	// A call whose first attempt was lost has cost a run already, so it may wait beyond its target.
	if c.route.Target > 0 && c.arrivals == 0 {
		order.Target, order.Again = c.started.Add(c.route.Target-c.waited), c.waited > 0
	}
}
