package subscriber_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/subscriber"
)

// TestDepartures guards against a daemon that announces its upstream before it knows the departures, and against one that waits
// for them in vain: a data folder has them, and controllers of older builds have none.
func TestDepartures(t *testing.T) {
	gone := []wire.Departure{{Upstream: wire.HashUpstream("i"), Start: 10, Seq: wire.FinalSeq}}
	cases := []struct {
		name   string
		frames []wire.Frame
		want   []wire.Departure
		known  bool
	}{
		{"none", []wire.Frame{{Gone: &wire.Gone{}}}, nil, true},
		{"one", []wire.Frame{{Gone: &wire.Gone{List: gone}}}, gone, true},
		{"one, then a snapshot", []wire.Frame{{Gone: &wire.Gone{List: gone}}, fullFrame(5, "a")}, gone, true},
		{"older controller", []wire.Frame{fullFrame(5, "a")}, nil, true},
		{"nothing yet", nil, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInFakeTime(t, func(ctx context.Context, t *testing.T) {
				fake := newFakeController(ctx, t, func(p *fakeSession) {
					p.receive()
					for _, frame := range c.frames {
						p.send(frame)
					}
					p.drain()
				})
				var got []wire.Departure
				s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake},
					subscriber.WithDepartures(func(all []wire.Departure) { got = append(got, all...) }))
				synctest.Wait()
				requireRecovered(t, s, c.known)
				is.New(t).Equal(got, c.want)
			})
		})
	}
	t.Run("stored snapshot", func(t *testing.T) {
		folder := t.TempDir()
		runInFakeTime(t, func(ctx context.Context, t *testing.T) {
			fake := newFakeController(ctx, t, func(p *fakeSession) {
				p.receive()
				p.send(fullFrame(5, "a"))
				p.drain()
			})
			startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake}, subscriber.WithFolder(folder))
			synctest.Wait()
		})
		runInFakeTime(t, func(ctx context.Context, t *testing.T) {
			silent := newFakeController(ctx, t, func(p *fakeSession) { p.drain() })
			s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: silent}, subscriber.WithFolder(folder))
			synctest.Wait()
			requireRecovered(t, s, true)
		})
	})
}

// requireRecovered fails the test unless the departures are known as given.
func requireRecovered(t *testing.T, s *subscriber.Subscriber, want bool) {
	t.Helper()
	known := false
	select {
	case <-s.Recovered():
		known = true
	default:
	}
	is.New(t).Equal(known, want)
}
