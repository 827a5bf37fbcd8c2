package deliverer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/deliverer"
)

// TestPlace guards against calls that wait although they cannot be answered in time any more, against callers that came back
// and are refused although they still can be, and against late ones that go before others.
func TestPlace(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name             string
		target, deadline time.Duration // from now; no target if 0
		usual            time.Duration
		again            bool
		class            string
		latest           time.Duration
	}{
		{"no target", 0, 800 * ms, 100 * ms, false, "normal", 700 * ms},
		{"new", 600 * ms, 1500 * ms, 200 * ms, false, "normal", 260 * ms},
		{"new, nothing known", 600 * ms, 1500 * ms, 0, false, "normal", 600 * ms},
		{"new, deadline first", 600 * ms, 300 * ms, 100 * ms, false, "normal", 300 * ms},
		{"new, takes too long", 300 * ms, 800 * ms, 200 * ms, false, "normal", -40 * ms}, // a free slot only
		{"came back early", 500 * ms, 1200 * ms, 200 * ms, true, "normal", 160 * ms},
		{"came back, can be in time", 300 * ms, 1200 * ms, 200 * ms, true, "normal", 100 * ms},
		{"came back, cannot be in time", 140 * ms, 640 * ms, 150 * ms, true, deliverer.Late, 80 * ms},
		{"came back after its target", -20 * ms, 480 * ms, 150 * ms, true, deliverer.Late, 60 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := deliverer.Order{Class: "normal", Deadline: now.Add(tt.deadline), Again: tt.again}
			if tt.target != 0 {
				o.Target = now.Add(tt.target)
			}
			class, latest := o.Place(now, tt.usual)
			is.Equal(class, tt.class)
			is.Equal(latest.Sub(now), tt.latest)
		})
	}
}
