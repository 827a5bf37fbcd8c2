package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"bluebellhoist/daemon/forwarder"
)

// TestFrozenMember guards against safe calls that wait for their deadline at a frozen member, whose kernel still
// acknowledges data. It also guards against discarding slow responses and against running a call twice without need.
func TestFrozenMember(t *testing.T) {
	const frozen = time.Hour
	cases := []struct {
		name, method  string
		first, second time.Duration // delay of the response of each member
		status        int
		took          time.Duration
		picks         int
	}{
		{"safe call", "GET", frozen, 0, 200, time.Second, 2},
		{"other call", "POST", frozen, 0, 504, 10 * time.Second, 1},
		{"both slow", "GET", 3 * time.Second, 4 * time.Second, 200, 3 * time.Second, 2},
		{"second is faster", "GET", 3 * time.Second, time.Second, 200, 2 * time.Second, 2},
		{"fast", "GET", 900 * time.Millisecond, 0, 200, 900 * time.Millisecond, 1},
	}
	for _, c := range cases {
		run(t, c.name, 0, func(m *mesh) {
			ingress := m.newIngress().Ingress()
			for _, delay := range []time.Duration{c.first, c.second} {
				m.addMember(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					select {
					case <-time.After(delay):
						ingress.ServeHTTP(w, r)
					case <-r.Context().Done():
					}
				}))
			}
			m.upstream(func(http.ResponseWriter, *http.Request) {})
			started := time.Now()
			resp, _, err := m.call(c.method, "stock", "")
			m.expect(resp, err, c.status, map[int]string{504: "unknown"}[c.status])
			m.is.Equal(time.Since(started).Round(100*time.Millisecond), c.took)
			m.is.Equal(m.picks, c.picks)
		})
	}
}

// TestRefusedHedge guards against a call whose first attempt may have run and is told not to have run, since a second one at
// the same time was refused.
func TestRefusedHedge(t *testing.T) {
	for status, outcome := range map[int]string{503: "not-run", 400: "not-run"} {
		run(t, fmt.Sprint(status), 0, func(m *mesh) {
			m.addMember(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(2 * time.Second): // longer than the delay of the second attempt
				case <-r.Context().Done():
				}
				panic(http.ErrAbortHandler)
			}))
			m.addMember(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(forwarder.HeaderOutcome, outcome)
				w.WriteHeader(status)
			}))
			resp, _, err := m.call("GET", "stock", "")
			m.is.NoErr(err)
			m.is.Equal(resp.Header.Get(forwarder.HeaderOutcome), "unknown")
		})
	}
}
