package deliverer

import (
	"sync"
	"time"
)

// durationWeight is the weight of one call in the mean duration of its route.
const durationWeight = 1.0 / 16

// durations holds the mean duration of calls at the local upstream by route.
type durations struct {
	byRoute sync.Map // *meanDuration by route
}

// meanDuration is an exponentially weighted moving average.
type meanDuration struct {
	mu   sync.Mutex
	mean float64
}

func (d *durations) observe(route string, took time.Duration) {
	v, ok := d.byRoute.Load(route)
	if !ok {
		v, _ = d.byRoute.LoadOrStore(route, &meanDuration{mean: float64(took)})
	}
	m := v.(*meanDuration)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mean += durationWeight * (float64(took) - m.mean)
}

// mean returns the mean duration of calls on a route, or zero before the first call.
func (d *durations) mean(route string) time.Duration {
	v, ok := d.byRoute.Load(route)
	if !ok {
		return 0
	}
	m := v.(*meanDuration)
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.mean)
}
