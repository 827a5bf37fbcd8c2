package budgeter_test

import (
	"fmt"
	"testing"
	"time"

	"bluebellhoist/daemon/budgeter"
)

// TestLimitOfAllDaemons guards against daemons that keep their own limits and still make more retries together than the limit
// allows in some window.
func TestLimitOfAllDaemons(t *testing.T) {
	limits := budgeter.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	large := budgeter.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 420}
	for _, c := range []meshCase{
		{name: "one VM", backs: 1, rate: 100, failing: 60, maxWait: 500 * time.Millisecond, limits: limits, minRetry: 100},
		{name: "runs of retries make more calls", fronts: 4, backs: 4, rate: 200, backRate: 10, calls: 3, heavy: true, failing: 60, maxWait: 200 * time.Millisecond, limits: limits, minRetry: 100},
		{name: "restarts", fronts: 4, backs: 5, rate: 80, backRate: 80, calls: 1, failing: 60, maxWait: 200 * time.Millisecond, restart: 400 * time.Millisecond, limits: limits},
		{name: "some restarts", fronts: 4, backs: 5, rate: 80, backRate: 80, calls: 1, failing: 60, maxWait: 200 * time.Millisecond, restart: 3 * time.Second, limits: limits, minRetry: 100},
		{name: "halves that are cut off in turn", fronts: 4, backs: 4, rate: 150, backRate: 100, calls: 2, heavy: true, failing: 60, maxWait: 500 * time.Millisecond, cut: 4 * time.Second, limits: limits, minRetry: 100},
		{name: "upstreams out of reach", fronts: 4, backs: 8, rate: 150, backRate: 100, calls: 2, unsent: 50, failing: 80, maxWait: 200 * time.Millisecond, limits: limits, minRetry: 30},
		{name: "long queues", fronts: 1, backs: 4, rate: 150, backRate: 150, calls: 1, failing: 80, maxWait: 3 * time.Second, limits: limits, minRetry: 100},
		{name: "pauses", fronts: 4, backs: 4, rate: 150, backRate: 100, calls: 2, failing: 70, maxWait: time.Second, pause: 7 * time.Second, limits: limits, minRetry: 100},
		{name: "190 VMs with restarts", fronts: 76, backs: 114, rate: 600, backRate: 300, calls: 2, heavy: true, failing: 60, maxWait: time.Second, restart: 100 * time.Millisecond, limits: large, minRetry: 100},
		{name: "1,200 VMs", fronts: 600, backs: 600, rate: 1500, backRate: 1500, calls: 1, failing: 50, maxWait: 200 * time.Millisecond, limits: large, minRetry: 100},
	} {
		seeds := uint64(3)
		if c.fronts+c.backs > 20 {
			seeds = 1
		}
		for seed := range seeds {
			t.Run(fmt.Sprint(c.name, "/", seed), func(t *testing.T) {
				m := newMesh(c, seed)
				m.run(25 * time.Second)
				m.check(t)
			})
		}
	}
}
