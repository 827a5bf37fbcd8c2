package subscriber_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/subscriber"
)

// serveHeartbeats returns a handler of sessions and watches that first sends the frames of a controller at a version and then
// the heartbeats that next returns.
func serveHeartbeats(version uint64, next func() wire.Heartbeat) func(*fakeSession) {
	return func(p *fakeSession) {
		if p.first != nil && p.first.Hello.Held < version {
			p.send(fullFrame(version, "a"))
		}
		heartbeat := next()
		p.send(wire.Frame{Heartbeat: &heartbeat})
		p.sendEachHeartbeat(next)
	}
}

// assertController checks which controller the daemon has a session with.
func assertController(t *testing.T, s *subscriber.Subscriber, want subscriber.Controller) {
	t.Helper()
	got, ok := s.Controller()
	is := is.New(t)
	is.True(ok)
	is.Equal(got.Addr, want.Addr)
}

// TestStaleController guards against claims and proofs that wait for a controller without a majority although the watched one has
// one, and against daemons that leave their controller during an election, when none has one.
func TestStaleController(t *testing.T) {
	for _, c := range []struct {
		name         string
		watchedFresh bool
		want         subscriber.Controller
	}{{"watched one is fresh", true, remoteController}, {"election", false, localController}} {
		t.Run(c.name, func(t *testing.T) {
			runInFakeTime(t, func(ctx context.Context, t *testing.T) {
				var stale atomic.Bool
				local := newFakeController(ctx, t, serveHeartbeats(5, func() wire.Heartbeat {
					return wire.Heartbeat{Version: 5, Fresh: !stale.Load()}
				}))
				remote := newFakeController(ctx, t, serveHeartbeats(5, func() wire.Heartbeat { return wire.Heartbeat{Version: 5, Fresh: true} }))
				remote.serveWatch = serveHeartbeats(5, func() wire.Heartbeat {
					return wire.Heartbeat{Version: 5, Fresh: c.watchedFresh || !stale.Load()}
				})
				s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: local, remoteController.Addr: remote})
				time.Sleep(5 * time.Second)
				synctest.Wait()
				assertController(t, s, localController)
				stale.Store(true)
				time.Sleep(2*framer.HeartbeatInterval + 100*time.Millisecond)
				synctest.Wait()
				assertController(t, s, c.want)
				stale.Store(false)
			})
		})
	}
}

// TestWatchOfOlderBuild guards against a daemon that misses versions which a controller without watches sends as updates, and against
// one that puts such an update in effect without a session.
func TestWatchOfOlderBuild(t *testing.T) {
	runInFakeTime(t, func(ctx context.Context, t *testing.T) {
		var newest atomic.Uint64
		newest.Store(5)
		local := newFakeController(ctx, t, serveHeartbeats(5, func() wire.Heartbeat { return wire.Heartbeat{Version: 5, Fresh: true} }))
		older := func(p *fakeSession) {
			if version := newest.Load(); p.first.Hello.Held < version {
				p.send(fullFrame(version, "a"))
			}
			p.sendHeartbeats(wire.Heartbeat{Version: p.first.Hello.Held, Fresh: true})
		}
		remote := newFakeController(ctx, t, older)
		remote.serveWatch = older
		s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: local, remoteController.Addr: remote})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assertVersion(t, s, 5)
		newest.Store(6)
		remote.dropConns()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assertVersion(t, s, 6)
		assertController(t, s, remoteController)
	})
}
