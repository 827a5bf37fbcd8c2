package deliverer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/deliverer"
)

// TestPlace guards against calls that wait although they can no longer be answered in time, against retrying callers
// that are refused although they can be answered in time, and against late calls that are served before others.
func TestPlace(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name             string
		target, deadline time.Duration // from now; no target if 0
		meanDuration     time.Duration
		callerRetry      bool
		class            string
		latest           time.Duration
	}{
		{"no target", 0, 800 * ms, 100 * ms, false, "normal", 700 * ms},
		{"new", 600 * ms, 1500 * ms, 200 * ms, false, "normal", 260 * ms},
		{"new, no known duration", 600 * ms, 1500 * ms, 0, false, "normal", 600 * ms},
		{"new, deadline before target", 600 * ms, 300 * ms, 100 * ms, false, "normal", 300 * ms},
		{"new, takes too long", 300 * ms, 800 * ms, 200 * ms, false, "normal", -40 * ms}, // gets only a free slot
		{"retries early", 500 * ms, 1200 * ms, 200 * ms, true, "normal", 160 * ms},
		{"retries, can be in time", 300 * ms, 1200 * ms, 200 * ms, true, "normal", 100 * ms},
		{"retries, cannot be in time", 140 * ms, 640 * ms, 150 * ms, true, deliverer.LateClass, 80 * ms},
		{"retries after its target", -20 * ms, 480 * ms, 150 * ms, true, deliverer.LateClass, 60 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := deliverer.Call{Class: "normal", Deadline: now.Add(tt.deadline), CallerRetry: tt.callerRetry}
			if tt.target != 0 {
				c.Target = now.Add(tt.target)
			}
			class, latest := c.Admission(now, tt.meanDuration)
			is.Equal(class, tt.class)
			is.Equal(latest.Sub(now), tt.latest)
		})
	}
}
