package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/soak/planner"
)

var topology = planner.Topology{
	Controllers: []string{"c1", "c2", "c3"}, Daemons: []string{"d1", "d2", "d3", "d4"}, Domains: []string{"a", "b", "c"},
	Duration: 40 * time.Second,
}

// TestPlan guards against plans that differ between two soaks of a seed, exceed their duration, kill a process that is
// already down, or lose the data of more controllers at a time than the cluster tolerates.
func TestPlan(t *testing.T) {
	seen := map[planner.Kind]bool{}
	for seed := range uint64(60) {
		is := is.New(t)
		steps := planner.Plan(seed, topology)
		is.Equal(steps, planner.Plan(seed, topology))
		is.True(len(steps) > 10)
		for i, s := range steps {
			seen[s.Kind] = true
			is.True(s.Start >= 0 && s.Start+s.Duration <= topology.Duration)
			for _, earlier := range steps[:i] {
				is.True(s.Kind != planner.Wipe || earlier.Kind != planner.Wipe || s.Start >= earlier.Start+earlier.Duration+8*time.Second)
				sameProcess := s.Kind == planner.Kill && earlier.Kind == planner.Kill && s.Target == earlier.Target
				is.True(!sameProcess || s.Start >= earlier.Start+earlier.Duration)
			}
		}
	}
	is.New(t).Equal(len(seen), 18)
}

// TestGone guards against plans that lose more than one controller and the data of another one at a time, or that do so without a
// successor.
func TestGone(t *testing.T) {
	withSuccessor := topology
	withSuccessor.Controllers = append([]string{"c4"}, topology.Controllers...)
	for seed := range uint64(60) {
		is := is.New(t)
		steps := planner.Plan(seed, withSuccessor)
		gone := steps[0]
		is.Equal(gone.Kind, planner.Gone)
		is.True(gone.Target != gone.Other && gone.Other != "")
		for _, s := range steps[1:] {
			is.True(s.Kind != planner.Gone)
			is.True(s.Target == "" || s.Target[0] != 'c' || s.Kind == planner.Hangup || s.Start >= gone.Duration+8*time.Second)
		}
	}
}
