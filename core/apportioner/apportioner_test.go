package apportioner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBound guards against a validity and a capacity that together permit more calls than the bound, or leave a part of it unused.
func TestBound(t *testing.T) {
	bound := Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	for _, rate := range []float64{1, 5, 20, 50, 250, 570, 100_000} {
		for _, burst := range []float64{1, rate, 10 * rate} {
			for _, voters := range []int{1, 3, 5, 10} {
				t.Run(fmt.Sprint(rate, burst, voters), func(t *testing.T) {
					is := is.New(t)
					limit := Limit{Rate: rate, Burst: burst}
					validity := bound.Validity(limit, voters)
					is.True(validity > 100*time.Millisecond && validity <= MaxValidity)
					calls := rate*(bound.Window+validity).Seconds() + bound.Capacity(limit, voters) + float64(voters)
					allowed := (rate*bound.Window.Seconds()+burst)*(1+bound.Overage) + bound.Slack
					is.True(calls <= allowed)
					is.True(calls > allowed-1.01)
				})
			}
		}
	}
}

// TestNoSpare guards against tokens that are valid although the bound leaves nothing for them.
func TestNoSpare(t *testing.T) {
	is := is.New(t)
	bound := Bound{Window: 5 * time.Second, Slack: 3}
	is.Equal(bound.Validity(Limit{Rate: 5, Burst: 7}, 3), time.Duration(0))
	is.Equal(bound.Capacity(Limit{Rate: 5, Burst: 7}, 3), 7.0)
	is.Equal(bound.Validity(Limit{Burst: 7}, 3), time.Duration(0))
}
