package planner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/soak/planner"
)

var shape = planner.Shape{
	Controllers: []string{"c1", "c2", "c3"}, Daemons: []string{"d1", "d2", "d3", "d4"}, Domains: []string{"a", "b", "c"},
	Duration: 40 * time.Second,
}

// TestPlan guards against plans that differ between runs of a seed, run over their end, or lose more disks than are
// borne.
func TestPlan(t *testing.T) {
	seen := map[planner.Kind]bool{}
	for seed := range uint64(60) {
		is := is.New(t)
		steps := planner.Plan(seed, shape)
		is.Equal(steps, planner.Plan(seed, shape))
		is.True(len(steps) > 10)
		for i, s := range steps {
			seen[s.Kind] = true
			is.True(s.At >= 0 && s.At+s.For <= shape.Duration)
			for _, before := range steps[:i] {
				is.True(s.Kind != planner.Wipe || before.Kind != planner.Wipe || s.At >= before.At+before.For+8*time.Second)
				sameProcess := s.Kind == planner.Kill && before.Kind == planner.Kill && s.Name == before.Name
				is.True(!sameProcess || s.At >= before.At+before.For)
			}
		}
	}
	is.New(t).Equal(len(seen), 18)
}
