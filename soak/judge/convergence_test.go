package judge_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/soak/judge"
)

// TestConvergence guards against late changes that are passed over, and against reports of those that faults allow.
func TestConvergence(t *testing.T) {
	const limit = 2 * time.Second
	cases := []struct {
		name   string
		faults []string
		stops  []string
		delay  time.Duration
		late   int
	}{
		{"in time", nil, nil, limit, 0},
		{"late", nil, nil, limit + time.Second, 1},
		{"late, one controller cut off", []string{"c1"}, nil, limit + time.Second, 1},
		{"late, a failure domain with a controller cut off", []string{"z2"}, nil, limit + time.Second, 1},
		{"two controllers cut off", []string{"c1", "c2"}, nil, limit + time.Second, 0},
		{"one controller cut off, another one stopped", []string{"c1"}, []string{"c2"}, limit + time.Second, 0},
		{"all controllers killed", []string{"c"}, nil, limit + time.Second, 0},
		{"daemon paused", []string{"d1"}, nil, limit + time.Second, 0},
		{"failure domain of the daemon cut off", []string{"z1"}, nil, limit + time.Second, 0},
		{"daemon stopped", nil, []string{"d1"}, limit + time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := judge.New()
				for _, name := range c.faults {
					checker.RecordFault(name)
				}
				for _, name := range c.stops {
					checker.RecordPlannedStop(name)
				}
				checker.RecordChange(judge.Change{Mark: "a", Version: 5, AckedAt: time.Now()})
				time.Sleep(c.delay)
				checker.RecordVersion("d1", 4, time.Now())
				checker.RecordVersion("d1", 4, time.Now())
				late := checker.Convergence(limit, judge.Domains{"c1": "z1", "c2": "z2", "c3": "z3"}, judge.Domains{"d1": "z1"})
				is.New(t).Equal(len(late), c.late)
			})
		})
	}
}
