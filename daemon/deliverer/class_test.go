package deliverer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/limiter"
)

// acquiredClass sends a request of another daemon to a deliverer and returns the class in which it waits for a slot.
func acquiredClass(t *testing.T, r *http.Request) (limiter.Class, int) {
	t.Helper()
	var got limiter.Class
	f := newFixture(t, reply(http.StatusOK))
	f.Deliverer = deliverer.New(
		deliverer.WithUpstream(func() (wire.Upstream, bool) { return f.upstream, true }),
		deliverer.WithAcquire(func(_ context.Context, class limiter.Class, _ time.Time) (func(deliverer.SlotOutcome), error) {
			got = class
			return nil, limiter.ErrFull
		}),
	)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return got, w.Code
}

// peerRequest returns the request for a call as another daemon receives it.
func peerRequest(c deliverer.Call) *http.Request {
	packed := c.Pack()
	r := httptest.NewRequest(packed.Method, packed.Target, nil)
	r.Header = packed.Header
	return r
}

// TestClassBetweenDaemons guards against a call that loses its place on the way to another daemon.
func TestClassBetweenDaemons(t *testing.T) {
	for _, class := range []limiter.Class{
		{}, {Rank: 1}, {Rank: 2}, {Rank: 3}, {Rank: 7}, {Rank: -5}, {Rank: 1 << 50}, {Rank: 0, Nested: true}, {Rank: 7, Nested: true},
	} {
		t.Run(class.String(), func(t *testing.T) {
			c := newCall(true)
			c.Class = class
			got, _ := acquiredClass(t, peerRequest(c))
			is.New(t).Equal(got, class)
		})
	}
	t.Run("malformed rank", func(t *testing.T) {
		r := peerRequest(newCall(true))
		r.Header.Set("Bluebell-Rank", "x")
		_, status := acquiredClass(t, r)
		is.New(t).Equal(status, http.StatusBadRequest)
	})
}

// TestClassOfEarlierBuilds guards against calls that builds with and without ranks refuse or misplace.
func TestClassOfEarlierBuilds(t *testing.T) {
	for _, c := range []struct {
		class limiter.Class
		name  string // as builds without ranks write and read it
		want  limiter.Class
	}{
		{limiter.Class{Rank: 1}, "urgent", limiter.Class{Rank: limiter.UrgentRank}},
		{limiter.Class{Rank: 2}, "normal", limiter.Class{Rank: limiter.NormalRank}},
		{limiter.Class{Rank: 7, Nested: true}, "bulk", limiter.Class{Rank: limiter.BulkRank}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			call := newCall(true)
			call.Class = c.class
			r := peerRequest(call)
			fields := strings.Split(r.Header.Get("Bluebell-Order"), ";")
			is.Equal(len(fields), 7)
			is.Equal(fields[1], c.name)
			r.Header.Del("Bluebell-Rank") // builds without ranks do not send it
			got, _ := acquiredClass(t, r)
			is.Equal(got, c.want)
		})
	}
}
