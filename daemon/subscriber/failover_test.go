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

// TestMoves guards against a daemon that stays with a controller from which it cannot get new versions.
func TestMoves(t *testing.T) {
	const converge = 14 * time.Second // time allowed for a change to take effect on all daemons
	cases := []struct {
		name   string
		within time.Duration
		serve  func(*fakeSession)
	}{
		{"stale controller", converge, func(p *fakeSession) {
			p.receive()
			p.send(fullFrame(5, "a"))
			p.sendHeartbeats(wire.Heartbeat{Version: 5})
		}},
		{"silent connection", converge, func(p *fakeSession) {
			p.receive()
			p.send(fullFrame(5, "a"))
			p.drain()
		}},
		{"planned stop", time.Second, func(p *fakeSession) {
			p.receive()
			p.send(fullFrame(5, "a"))
			p.send(wire.Frame{Bye: true})
			p.drain()
		}},
		{"refused barrier", time.Second, func(p *fakeSession) {
			p.receive()
			p.send(wire.Frame{Error: "no majority"})
			p.drain()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInFakeTime(t, func(ctx context.Context, t *testing.T) {
				fakes := map[netip.AddrPort]*fakeController{
					localController.Addr: newFakeController(ctx, t, c.serve),
					remoteController.Addr: newFakeController(ctx, t, func(p *fakeSession) {
						p.receive()
						p.send(fullFrame(6, "a"))
						p.drain()
					}),
				}
				s := startSubscriber(ctx, t, fakes)
				time.Sleep(c.within)
				synctest.Wait()
				assertVersion(t, s, 6)
			})
		})
	}
}

// TestFewControllersLeft guards against a daemon that spends the time allowed for a change on dialing dead controllers: when
// its own and 8 others of 12 die at once, a majority of the voters may still be alive.
func TestFewControllersLeft(t *testing.T) {
	runInFakeTime(t, func(ctx context.Context, t *testing.T) {
		serve := func(version uint64) *fakeController {
			return newFakeController(ctx, t, func(p *fakeSession) {
				p.receive()
				p.send(fullFrame(version, "a"))
				p.drain() // no heartbeats
			})
		}
		dying, alive := serve(5), serve(6)
		controllers := []subscriber.Controller{localController, remoteController}
		for port := range uint16(8) {
			addr := netip.AddrPortFrom(localController.Addr.Addr(), 100+port)
			controllers = append(controllers, subscriber.Controller{Addr: addr, Domain: "here"})
		}
		died := false
		s := startSubscriber(ctx, t, nil, subscriber.WithControllers(controllers...),
			subscriber.WithDial(func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
				switch {
				case addr == remoteController.Addr:
					return alive.dial(ctx)
				case !died:
					died = true
					return dying.dial(ctx)
				}
				<-ctx.Done() // packets to a dead VM are dropped
				return nil, ctx.Err()
			}))
		time.Sleep(14 * time.Second) // time allowed for a change to take effect on all daemons
		synctest.Wait()
		assertVersion(t, s, 6)
	})
}

// TestFrozenController guards against claims that wait until the receive timeout ends the session with a frozen
// controller.
func TestFrozenController(t *testing.T) {
	runInFakeTime(t, func(ctx context.Context, t *testing.T) {
		fakes := map[netip.AddrPort]*fakeController{
			localController.Addr: newFakeController(ctx, t, func(p *fakeSession) { p.drain() }),
			remoteController.Addr: newFakeController(ctx, t, func(p *fakeSession) {
				for frame, ok := p.receive(); ok; frame, ok = p.receive() {
					if frame.Claim != nil {
						p.send(wire.Frame{ID: frame.ID, Verdict: &wire.Verdict{State: "granted"}})
					}
				}
			}),
		}
		s := startSubscriber(ctx, t, fakes)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		for {
			attemptCtx, cancel := context.WithTimeout(ctx, time.Second)
			_, err := s.Request(attemptCtx, wire.Frame{Claim: &wire.Claim{}})
			cancel()
			if err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.New(t).True(time.Since(began) < 3*time.Second) // longest time allowed for a claim
	})
}
