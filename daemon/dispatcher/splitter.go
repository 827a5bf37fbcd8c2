package dispatcher

import (
	"slices"
	"sync"

	"bluebellhoist/core/wire"
)

// splitter distributes the calls of one route among its services by smooth weighted round-robin.
type splitter struct {
	mu      sync.Mutex
	parts   []wire.Part
	credits []float64 // the sum of the weights may exceed the integers
}

// splitter returns the splitter of a route and resets it if the parts of the route have changed.
func (d *Dispatcher) splitter(route *wire.Route) *splitter {
	v, ok := d.splitters.Load(route.Name)
	if !ok {
		v, _ = d.splitters.LoadOrStore(route.Name, &splitter{})
	}
	s := v.(*splitter)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.parts, route.Parts) {
		s.parts, s.credits = route.Parts, make([]float64, len(route.Parts))
	}
	return s
}

// next returns the service of the next call: the one whose number of calls is furthest below its weight.
func (s *splitter) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, total := 0, 0.0
	for i, p := range s.parts {
		s.credits[i] += float64(p.Weight)
		total += float64(p.Weight)
		if p.Weight > 0 && (s.parts[best].Weight == 0 || s.credits[i] > s.credits[best]) {
			best = i
		}
	}
	s.credits[best] -= total
	return s.parts[best].Service
}
