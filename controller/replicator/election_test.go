package replicator

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestCommonStart guards against nodes that start together, split the votes and wait for long before the next election:
// each cluster of three must have a leader within a second.
func TestCommonStart(t *testing.T) {
	const clusters, limit = 60, 20 // ticks
	var elapsedTicks []int
	for seed := range uint64(clusters) {
		s := newSim(t, 3, seed)
		s.faultsOff = true
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
		startStep, termBefore := s.now, s.maxTerm()
		for !s.hasLeaderAfter(termBefore) {
			s.run(1)
		}
		elapsedTicks = append(elapsedTicks, (s.now-startStep)/stepsPerTick)
	}
	slices.Sort(elapsedTicks)
	t.Logf("ticks until there is a leader: median %d, p90 %d, max %d", elapsedTicks[clusters/2], elapsedTicks[clusters*9/10], elapsedTicks[clusters-1])
	is.New(t).True(elapsedTicks[clusters-1] <= limit)
}

// hasLeaderAfter reports whether a node leads in a term greater than after.
func (s *sim) hasLeaderAfter(after uint64) bool {
	return slices.ContainsFunc(s.nodes, func(n *simNode) bool {
		return n.core != nil && n.core.role == leader && n.core.term > after
	})
}
