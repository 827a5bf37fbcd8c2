package replicator

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestCommonStart guards against controllers that start together, split the votes and wait for long before the next try: each
// group of three must have a leader within a second.
func TestCommonStart(t *testing.T) {
	const groups, limit = 60, 20 // ticks
	var took []int
	for seed := range uint64(groups) {
		s := newSim(t, 3, seed)
		s.quiet = true
		for !s.repaired() {
			s.run(stepsPerTick)
		}
		for _, n := range s.nodes {
			n.core = nil
		}
		s.net = nil
		for i := range s.nodes {
			s.start(i)
		}
		began, before := s.now, s.maxTerm()
		for !s.led(before) {
			s.run(1)
		}
		took = append(took, (s.now-began)/stepsPerTick)
	}
	slices.Sort(took)
	t.Logf("ticks until there is a leader: median %d, nine in ten %d, most %d", took[groups/2], took[groups*9/10], took[groups-1])
	is.New(t).True(took[groups-1] <= limit)
}

// led reports whether a node leads in a term after the given one.
func (s *sim) led(after uint64) bool {
	return slices.ContainsFunc(s.nodes, func(n *simNode) bool {
		return n.core != nil && n.core.role == leader && n.core.term > after
	})
}
