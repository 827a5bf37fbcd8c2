package budgeter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/budgeter"
)

// TestArrivalHeader guards against arrivals that change on their way between two daemons, and against malformed headers that
// are taken for first arrivals.
func TestArrivalHeader(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		kind budgeter.Kind
		age  time.Duration
	}{
		{budgeter.First, 0},
		{budgeter.First, time.Second},
		{budgeter.Nested, 0},
		{budgeter.Retry, 1500 * time.Millisecond},
		{budgeter.Caused, time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.kind, c.age), func(t *testing.T) {
			is := is.New(t)
			kind, started, err := budgeter.ParseArrival(budgeter.EncodeArrival(c.kind, now.Add(-c.age), now), now)
			is.NoErr(err)
			is.Equal(kind, c.kind)
			is.Equal(now.Sub(started), c.age)
		})
	}
	for _, value := range []string{"retry", "retry;", "retry;x", "retry;-1", "third;1", ";1"} {
		t.Run(value, func(t *testing.T) {
			_, _, err := budgeter.ParseArrival(value, now)
			is.New(t).True(err != nil)
		})
	}
}
