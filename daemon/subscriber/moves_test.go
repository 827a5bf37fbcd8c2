package subscriber_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/subscriber"
)

// TestMoves guards against a proxy that stays with a controller that cannot bring it new versions.
func TestMoves(t *testing.T) {
	const converge = 14 * time.Second // the time allowed for a change to be in force everywhere
	cases := []struct {
		name   string
		within time.Duration
		serve  func(*peer)
	}{
		{"stale controller", converge, func(p *peer) {
			p.next()
			p.send(full(5, "a"))
			p.beat(wire.Beat{Version: 5})
		}},
		{"silent connection", converge, func(p *peer) {
			p.next()
			p.send(full(5, "a"))
			p.drain()
		}},
		{"planned stop", time.Second, func(p *peer) {
			p.next()
			p.send(full(5, "a"))
			p.send(wire.Frame{Bye: true})
			p.drain()
		}},
		{"refused barrier", time.Second, func(p *peer) {
			p.next()
			p.send(wire.Frame{Error: "no majority"})
			p.drain()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			scenario(t, func(ctx context.Context, t *testing.T) {
				fakes := map[netip.AddrPort]*controller{
					near.Addr: newController(ctx, t, c.serve),
					far.Addr: newController(ctx, t, func(p *peer) {
						p.next()
						p.send(full(6, "a"))
						p.drain()
					}),
				}
				s := start(ctx, t, fakes)
				time.Sleep(c.within)
				synctest.Wait()
				assertHeld(t, s, 6)
			})
		})
	}
}

// TestFewControllersLeft guards against a daemon that spends the time for a change on controllers that have died with
// its own: 9 of 12, after which a majority of the voters may still be there.
func TestFewControllersLeft(t *testing.T) {
	scenario(t, func(ctx context.Context, t *testing.T) {
		serve := func(version uint64) *controller {
			return newController(ctx, t, func(p *peer) {
				p.next()
				p.send(full(version, "a"))
				p.drain() // no beats
			})
		}
		dying, alive := serve(5), serve(6)
		controllers := []subscriber.Controller{near, far}
		for port := range uint16(8) {
			addr := netip.AddrPortFrom(near.Addr.Addr(), 100+port)
			controllers = append(controllers, subscriber.Controller{Addr: addr, Domain: "here"})
		}
		died := false
		s := start(ctx, t, nil, subscriber.WithControllers(controllers...),
			subscriber.WithDial(func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
				switch {
				case addr == far.Addr:
					return alive.dial(ctx)
				case !died:
					died = true
					return dying.dial(ctx)
				}
				<-ctx.Done() // packets to a VM that has died vanish
				return nil, ctx.Err()
			}))
		time.Sleep(14 * time.Second) // the time allowed for a change to be in force everywhere
		synctest.Wait()
		assertHeld(t, s, 6)
	})
}

// TestFrozenController guards against claims that wait for the silence limit of a session.
func TestFrozenController(t *testing.T) {
	scenario(t, func(ctx context.Context, t *testing.T) {
		fakes := map[netip.AddrPort]*controller{
			near.Addr: newController(ctx, t, func(p *peer) { p.drain() }),
			far.Addr: newController(ctx, t, func(p *peer) {
				for frame, ok := p.next(); ok; frame, ok = p.next() {
					if frame.Claim != nil {
						p.send(wire.Frame{ID: frame.ID, Verdict: &wire.Verdict{State: "granted"}})
					}
				}
			}),
		}
		s := start(ctx, t, fakes)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		for {
			try, cancel := context.WithTimeout(ctx, time.Second)
			_, err := s.Request(try, wire.Frame{Claim: &wire.Claim{}})
			cancel()
			if err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.New(t).True(time.Since(began) < 3*time.Second) // the longest wait for a claim
	})
}
