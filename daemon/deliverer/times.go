package deliverer

import (
	"sync"
	"time"
)

// timesWeight is the weight of one call in the usual time of its kind.
const timesWeight = 1.0 / 16

// times holds how long calls of each kind usually take at the local upstream.
type times struct {
	byKind sync.Map // of *usual by kind
}

type usual struct {
	mu   sync.Mutex
	mean float64
}

func (t *times) add(kind string, took time.Duration) {
	v, ok := t.byKind.Load(kind)
	if !ok {
		v, _ = t.byKind.LoadOrStore(kind, &usual{mean: float64(took)})
	}
	u := v.(*usual)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mean += timesWeight * (float64(took) - u.mean)
}

// usual returns the usual time, or zero before the first call.
func (t *times) usual(kind string) time.Duration {
	v, ok := t.byKind.Load(kind)
	if !ok {
		return 0
	}
	u := v.(*usual)
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.mean)
}
