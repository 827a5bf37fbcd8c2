package subscriber_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/subscriber"
)

// beating serves a snapshot and then beats of a controller with a majority. It counts its sessions.
func beating(version uint64, sessions *atomic.Int32) func(*peer) {
	return func(p *peer) {
		sessions.Add(1)
		if frame, ok := p.next(); ok && frame.Hello != nil && frame.Hello.Held < version {
			p.send(full(version, "a"))
		}
		p.beat(wire.Beat{Version: version, Fresh: true})
	}
}

// TestReferral guards against a whole snapshot from another failure domain for each daemon that starts, and against a daemon
// without any configuration because the controller it is referred to is down.
func TestReferral(t *testing.T) {
	// refers sends daemons to near, unless they say that they were there.
	refers := func(p *peer) {
		frame, ok := p.next()
		if !ok || frame.Hello == nil || frame.Hello.Stay {
			p.send(full(6, "a"))
			p.drain()
			return
		}
		p.send(wire.Frame{Refer: &wire.Refer{Addr: near.Addr, Domain: near.Domain}})
		p.drain()
	}
	for _, c := range []struct {
		name string
		up   bool
		want uint64
	}{{"near one is up", true, 5}, {"near one is down", false, 6}} {
		t.Run(c.name, func(t *testing.T) {
			scenario(t, func(ctx context.Context, t *testing.T) {
				fakes := map[netip.AddrPort]*controller{far.Addr: newController(ctx, t, refers)}
				if c.up {
					fakes[near.Addr] = newController(ctx, t, beating(5, new(atomic.Int32)))
				}
				unknown := subscriber.Controller{Addr: far.Addr} // settings tell no failure domain
				s := start(ctx, t, fakes, subscriber.WithControllers(unknown))
				time.Sleep(time.Second)
				synctest.Wait()
				assertHeld(t, s, c.want)
			})
		})
	}
}

// TestReturn guards against a daemon that stays with a controller of another failure domain for good, and against one that
// goes to and fro while the near controller ends its sessions.
func TestReturn(t *testing.T) {
	cases := []struct {
		name        string
		near        func(sessions *atomic.Int32) func(*peer)
		least, most int32 // sessions with the near controller in 25 s
	}{
		{"near one works", func(n *atomic.Int32) func(*peer) { return beating(5, n) }, 1, 1},
		{"near one fails", func(n *atomic.Int32) func(*peer) { return func(*peer) { n.Add(1) } }, 2, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			scenario(t, func(ctx context.Context, t *testing.T) {
				var sessions atomic.Int32
				var known atomic.Bool
				fakes := map[netip.AddrPort]*controller{
					near.Addr: newController(ctx, t, c.near(&sessions)),
					far.Addr:  newController(ctx, t, beating(5, new(atomic.Int32))),
				}
				s := start(ctx, t, fakes, subscriber.WithControllers(far), subscriber.WithSource(func() []subscriber.Controller {
					if known.Load() {
						return []subscriber.Controller{near}
					}
					return nil
				}))
				time.Sleep(3 * time.Second)
				known.Store(true)
				time.Sleep(25 * time.Second)
				synctest.Wait()
				is := is.New(t)
				assertHeld(t, s, 5)
				is.True(sessions.Load() >= c.least)
				is.True(sessions.Load() <= c.most)
			})
		})
	}
}
