package dispatcher_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/dispatcher"
	"bluebellhoist/daemon/limiter"
)

// TestClass guards against ranks that share a place in the order, and against calls of running calls that lose theirs, at the
// first attempt or at a later one.
func TestClass(t *testing.T) {
	cases := []struct {
		name string
		rank int
		kind budgeter.Kind
		want limiter.Class
	}{
		{"rank 0", 0, budgeter.First, limiter.Class{}},
		{"rank 1", 1, budgeter.First, limiter.Class{Rank: 1}},
		{"far away", 1_000_000, budgeter.First, limiter.Class{Rank: 1_000_000}},
		{"of a running call", 7, budgeter.Nested, limiter.Class{Rank: 7, Nested: true}},
		{"of the run of a retry", 7, budgeter.Caused, limiter.Class{Rank: 7, Nested: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			routes := oneRoute(true, 2)
			routes[0].Rank = c.rank
			snapshot := newSnapshot(t, routes)
			var got []limiter.Class
			d := dispatcher.New(
				dispatcher.WithSnapshot(func() *compiler.Snapshot { return snapshot }),
				dispatcher.WithPick(func(string, []string) (wire.Member, func(dispatcher.Outcome), error) {
					return wire.Member{Name: "self"}, func(dispatcher.Outcome) {}, nil
				}),
				dispatcher.WithStartCall(func(string, string) (budgeter.Kind, error) { return c.kind, nil }),
				dispatcher.WithLocalDelivery("self", func(_ context.Context, call deliverer.Call) deliverer.Result {
					got = append(got, call.Class)
					return failed
				}),
			)
			d.Handle(context.Background(), newRequest("/r/x"))
			is.Equal(got, []limiter.Class{c.want, c.want})
		})
	}
}
