package announcer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

// TestRun guards against an upstream that stops before its daemon has ended the calls to it, and against a failed leave
// request that is not reported.
func TestRun(t *testing.T) {
	for _, tt := range []struct {
		name   string
		status int
		fails  bool
	}{
		{"answered", http.StatusNoContent, false},
		{"refused", http.StatusInternalServerError, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			var seen []string
			daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				seen = append(seen, r.Method+" "+r.URL.RequestURI()+" "+string(body))
				cancel()
				if r.Method == http.MethodDelete {
					w.WriteHeader(tt.status)
				}
			}))
			defer daemon.Close()
			a := New(
				WithDaemon(netip.MustParseAddrPort(daemon.Listener.Addr().String())),
				WithUpstream(wire.Upstream{Service: "seller", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 2, Conns: 3}),
			)
			is.Equal(a.Run(ctx) != nil, tt.fails)
			is.Equal(seen, []string{
				`PUT /v1/upstream {"address":"127.0.0.1:1","conns":3,"id":"","service":"seller","slots":2,"start":0,"seq":1}`,
				"DELETE /v1/upstream?start=0&seq=2 ",
			})
		})
	}
}
