package runner

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/dispatcher"
)

// TestPlanStop guards against a stopping daemon that takes calls which it cannot finish before it is killed, and against
// one that leaves before callers can have moved away although there is time.
func TestPlanStop(t *testing.T) {
	cases := []struct {
		name   string
		grace  time.Duration
		routes bool
	}{
		{"usual grace", 6 * time.Second, true},
		{"short grace", 3 * time.Second, true},
		{"hardly any", 100 * time.Millisecond, true},
		{"long grace", time.Minute, true},
		{"none told", 0, true},
		{"services only", 6 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			plan := planStop(c.grace, c.routes)
			is.True(c.grace == 0 || plan.end < c.grace) // it ends by itself
			is.True(plan.refuse <= plan.end/2)          // calls that are taken have half of the time
			is.True(plan.leave <= plan.refuse)          // nothing is taken for an upstream that has left for good
			is.Equal(plan.leave == awayTime, c.routes && plan.refuse >= awayTime)
		})
	}
}

// TestRefusing guards against calls that a daemon takes although it ends soon.
func TestRefusing(t *testing.T) {
	is := is.New(t)
	r := &Runner{dispatcher: dispatcher.New()}
	r.refusing.Store(true)
	a := r.handle(context.Background(), &courier.Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.True(a.Header.Get("Retry-After") != "")
	is.Equal(r.calls.Load(), int64(0))
}
