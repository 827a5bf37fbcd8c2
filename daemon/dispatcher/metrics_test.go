package dispatcher_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/dispatcher"
)

// TestAttemptMetrics guards against calls that leave the failure domain but are not counted as such in the metrics.
func TestAttemptMetrics(t *testing.T) {
	for _, c := range []struct{ domain, want string }{{"buk", "own"}, {"jung", "other"}} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			routes := oneRoute(true, 1)
			routes[0].Parts = []wire.Part{{Service: "b", Weight: 1}}
			snapshot := newSnapshot(t, routes)
			result := answered
			result.Answer = &courier.Answer{Status: 200, Body: []byte("12345")}
			d := dispatcher.New(
				dispatcher.WithSnapshot(func() *compiler.Snapshot { return snapshot }),
				dispatcher.WithPick(func(string, []string) (wire.Member, func(dispatcher.Outcome), error) {
					return wire.Member{Name: "self", Domain: c.domain}, func(dispatcher.Outcome) {}, nil
				}),
				dispatcher.WithLocalDelivery("self", func(context.Context, deliverer.Call) deliverer.Result { return result }),
				dispatcher.WithDomain("buk"),
			)
			is.Equal(d.Handle(t.Context(), newRequest("/r/x")).Status, 200)
			var text bytes.Buffer
			metrics.WritePrometheus(&text, false)
			is.True(strings.Contains(text.String(), `bluebell_route_bytes_total{service="b",domain="`+c.want+`"} 5`))
		})
	}
}
