package dispatcher

import (
	"slices"
	"sync"

	"bluebellhoist/core/wire"
)

// share divides the calls of one route among its services by weight, spread evenly in time.
type share struct {
	mu     sync.Mutex
	parts  []wire.Part
	credit []int
}

// share returns the divider of a route.
func (d *Dispatcher) share(route *wire.Route) *share {
	v, ok := d.shares.Load(route.Name)
	if !ok {
		v, _ = d.shares.LoadOrStore(route.Name, &share{})
	}
	s := v.(*share)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.parts, route.Parts) {
		s.parts, s.credit = route.Parts, make([]int, len(route.Parts))
	}
	return s
}

// next returns the service of the next call: the one that is furthest behind its weight.
func (s *share) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, total := 0, 0
	for i, p := range s.parts {
		s.credit[i] += p.Weight
		total += p.Weight
		if p.Weight > 0 && (s.parts[best].Weight == 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	s.credit[best] -= total
	return s.parts[best].Service
}
