package dispatcher

import (
	"sync"
	"time"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/deliverer"
)

const (
	// patienceWindow is the time over which the longest patience on a route is known.
	patienceWindow = 30 * time.Second
	// waitedLeast is the part of the longest patience that a caller must lack to count as one that has waited before. It is
	// less than returnPart, after which refused callers come back, and more than the spread among new ones.
	waitedLeast = 0.9 * returnPart
)

// longest holds the longest patience of the callers on one route in the present window and in the one before.
type longest struct {
	mu            sync.Mutex
	began         time.Time
	present, past time.Duration
}

// note takes the patience of one caller and returns the longest one.
func (l *longest) note(patience time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := now.Sub(l.began); age >= patienceWindow {
		l.past = l.present
		if age >= 2*patienceWindow {
			l.past = 0
		}
		l.began, l.present = now, 0
	}
	l.present = max(l.present, patience)
	return max(l.present, l.past)
}

// waited returns how long a caller has probably waited before this attempt: callers tell how long they will still wait, and
// one that was refused and comes back has less time than others on the same route.
func (d *Dispatcher) waited(route *wire.Route, patience time.Duration, now time.Time) time.Duration {
	v, ok := d.patiences.Load(route.Name)
	if !ok {
		v, _ = d.patiences.LoadOrStore(route.Name, &longest{})
	}
	most := v.(*longest).note(patience, now)
	if waited := most - patience; waited >= time.Duration(waitedLeast*float64(most)) {
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
