package subscriber_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/subscriber"
)

// serveWithHeartbeats returns a session handler that counts its sessions, sends a snapshot to a daemon that lacks it, and
// then sends the heartbeats of a controller with a majority.
func serveWithHeartbeats(version uint64, sessions *atomic.Int32) func(*fakeSession) {
	return func(p *fakeSession) {
		sessions.Add(1)
		if frame, ok := p.receive(); ok && frame.Hello != nil && frame.Hello.Held < version {
			p.send(fullFrame(version, "a"))
		}
		p.sendHeartbeats(wire.Heartbeat{Version: version, Fresh: true})
	}
}

// TestReferral guards against a daemon that loads its first full snapshot from another failure domain, and against one that
// gets no configuration because the controller to which it is referred is down.
func TestReferral(t *testing.T) {
	// referToLocal refers daemons to localController, unless they ask for no referral.
	referToLocal := func(p *fakeSession) {
		frame, ok := p.receive()
		if !ok || frame.Hello == nil || frame.Hello.Stay {
			p.send(fullFrame(6, "a"))
			p.drain()
			return
		}
		p.send(wire.Frame{Refer: &wire.Refer{Addr: localController.Addr, Domain: localController.Domain}})
		p.drain()
	}
	for _, c := range []struct {
		name string
		up   bool
		want uint64
	}{{"local controller is up", true, 5}, {"local controller is down", false, 6}} {
		t.Run(c.name, func(t *testing.T) {
			runInFakeTime(t, func(ctx context.Context, t *testing.T) {
				fakes := map[netip.AddrPort]*fakeController{remoteController.Addr: newFakeController(ctx, t, referToLocal)}
				if c.up {
					fakes[localController.Addr] = newFakeController(ctx, t, serveWithHeartbeats(5, new(atomic.Int32)))
				}
				unknownDomain := subscriber.Controller{Addr: remoteController.Addr} // the settings contain no failure domain
				s := startSubscriber(ctx, t, fakes, subscriber.WithControllers(unknownDomain))
				time.Sleep(time.Second)
				synctest.Wait()
				assertVersion(t, s, c.want)
			})
		})
	}
}

// TestReturn guards against a daemon that never fails back from a controller of another failure domain, and against one that
// alternates between both controllers while the local one keeps ending its sessions.
func TestReturn(t *testing.T) {
	cases := []struct {
		name        string
		serveLocal  func(sessions *atomic.Int32) func(*fakeSession)
		least, most int32 // sessions with the local controller in 25 s
	}{
		{"local controller works", func(n *atomic.Int32) func(*fakeSession) { return serveWithHeartbeats(5, n) }, 1, 1},
		{"local controller fails", func(n *atomic.Int32) func(*fakeSession) { return func(*fakeSession) { n.Add(1) } }, 2, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInFakeTime(t, func(ctx context.Context, t *testing.T) {
				var sessions atomic.Int32
				var discovered atomic.Bool
				fakes := map[netip.AddrPort]*fakeController{
					localController.Addr:  newFakeController(ctx, t, c.serveLocal(&sessions)),
					remoteController.Addr: newFakeController(ctx, t, serveWithHeartbeats(5, new(atomic.Int32))),
				}
				fakes[localController.Addr].serveWatch = func(p *fakeSession) {
					p.sendHeartbeats(wire.Heartbeat{Version: 5, Fresh: true})
				}
				s := startSubscriber(ctx, t, fakes, subscriber.WithControllers(remoteController), subscriber.WithDiscovery(func() []subscriber.Controller {
					if discovered.Load() {
						return []subscriber.Controller{localController}
					}
					return nil
				}))
				time.Sleep(3 * time.Second)
				discovered.Store(true)
				time.Sleep(25 * time.Second)
				synctest.Wait()
				is := is.New(t)
				assertVersion(t, s, 5)
				is.True(sessions.Load() >= c.least)
				is.True(sessions.Load() <= c.most)
			})
		})
	}
}

// TestReferralToStale guards against a daemon that leaves a controller without a majority and is referred back to it, while
// another controller has a newer version.
func TestReferralToStale(t *testing.T) {
	const cutOff = 15 * time.Second // when the local controller loses its majority
	for seed := range uint64(8) {   // both orders of the controllers
		runInFakeTime(t, func(ctx context.Context, t *testing.T) {
			started := time.Now()
			local := func(p *fakeSession) {
				frame, _ := p.receive()
				if frame.Hello != nil && frame.Hello.Held < 5 {
					p.send(fullFrame(5, "a"))
				}
				p.sendEachHeartbeat(func() wire.Heartbeat {
					return wire.Heartbeat{Version: 5, Fresh: time.Since(started) < cutOff}
				})
			}
			var remoteSessions atomic.Int32
			remote := func(p *fakeSession) {
				remoteSessions.Add(1)
				frame, ok := p.receive()
				if !ok || frame.Hello == nil || frame.Hello.Stay {
					if frame.Hello != nil && frame.Hello.Held < 6 {
						p.send(fullFrame(6, "a"))
					}
					p.sendHeartbeats(wire.Heartbeat{Version: 6, Fresh: true})
					return
				}
				p.send(wire.Frame{Refer: &wire.Refer{Addr: localController.Addr, Domain: localController.Domain}})
				p.drain()
			}
			// The settings contain no failure domains. They are discovered after the first session has begun.
			s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{
				localController.Addr: newFakeController(ctx, t, local), remoteController.Addr: newFakeController(ctx, t, remote),
			}, subscriber.WithControllers(subscriber.Controller{Addr: localController.Addr}, subscriber.Controller{Addr: remoteController.Addr}),
				subscriber.WithRandom(rand.New(rand.NewPCG(seed, 0))),
				subscriber.WithDiscovery(func() []subscriber.Controller {
					if time.Since(started) < time.Second {
						return nil
					}
					return []subscriber.Controller{localController, remoteController}
				}))
			time.Sleep(cutOff - time.Second)
			synctest.Wait()
			assertVersion(t, s, 5)
			time.Sleep(time.Second + subscriber.StaleLimit + 1500*time.Millisecond) // a heartbeat, and the pauses between two sessions
			synctest.Wait()
			assertVersion(t, s, 6)
			time.Sleep(5 * time.Second)
			is.New(t).True(remoteSessions.Load() <= 4) // it stays there
		})
	}
}
