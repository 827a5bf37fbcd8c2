package budgeter_test

import (
	"strconv"
	"testing"
	"time"

	"bluebellhoist/daemon/budgeter"
)

// BenchmarkBegin measures the admission of a first arrival, and of a retry that is refused.
func BenchmarkBegin(b *testing.B) {
	for _, kind := range []budgeter.Kind{budgeter.First, budgeter.Retry} {
		b.Run(kind.String(), func(b *testing.B) {
			bu := budgeter.New()
			for i := 0; b.Loop(); i++ {
				end, err := bu.Begin(budgeter.Arrival{ID: strconv.Itoa(i), Service: "s", Route: "r", Kind: kind, TimeLeft: time.Millisecond})
				if err == nil {
					end(true)
				}
			}
		})
	}
}
