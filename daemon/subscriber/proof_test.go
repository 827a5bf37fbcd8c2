package subscriber_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/subscriber"
)

// bootClock is a clock that starts when the test does. Unlike the timers of the bubble, it also advances while the daemon is
// suspended.
type bootClock struct {
	started   time.Time
	suspended atomic.Int64 // total time in which the daemon was suspended
}

func newBootClock() *bootClock {
	return &bootClock{started: time.Now().Add(-time.Hour)}
}

func (c *bootClock) now() (time.Duration, error) {
	return time.Since(c.started) + time.Duration(c.suspended.Load()), nil
}

// suspend advances the clock without running any timer, as when the process is stopped and resumed.
func (c *bootClock) suspend(d time.Duration) {
	c.suspended.Add(int64(d))
}

// receiveAny returns the next frame, or false at the end of the session.
func (p *fakeSession) receiveAny() (wire.Frame, bool) {
	if p.first != nil {
		frame := *p.first
		p.first = nil
		return frame, true
	}
	_, data, err := p.conn.Read(p.ctx)
	if err != nil {
		return wire.Frame{}, false
	}
	var frame wire.Frame
	return frame, encoder.Unmarshal(data, &frame) == nil
}

// answerAsks answers each ask with what answer returns, until the session ends. An answer without a version is a plain
// heartbeat, which is sent as often as asks arrive.
func (p *fakeSession) answerAsks(answer func(ask uint64) wire.Heartbeat) {
	for {
		frame, ok := p.receiveAny()
		if !ok {
			return
		}
		if frame.Heartbeat != nil {
			heartbeat := answer(frame.Heartbeat.Ask)
			p.send(wire.Frame{Heartbeat: &heartbeat})
		}
	}
}

// startProving runs a subscriber that asks for proofs at the given controllers.
func startProving(ctx context.Context, t *testing.T, clock *bootClock, fakes map[netip.AddrPort]*fakeController) *subscriber.Subscriber {
	return startSubscriber(ctx, t, fakes, subscriber.WithProofs(clock.now, func() bool { return true }))
}

// assertProofAge checks that there is a proof with an age in the given range.
func assertProofAge(t *testing.T, s *subscriber.Subscriber, least, most time.Duration) {
	t.Helper()
	age, ok := s.ProofAge()
	if !ok || age < least || age > most {
		t.Errorf("proof %t with age %v, want between %v and %v", ok, age, least, most)
	}
}

func assertNoProof(t *testing.T, s *subscriber.Subscriber) {
	t.Helper()
	if age, ok := s.ProofAge(); ok {
		t.Errorf("proof with age %v, want none", age)
	}
}

// serveProofs returns the side of a controller that sends a snapshot of version 5 and answers asks.
func serveProofs(answer func(ask uint64) wire.Heartbeat) func(*fakeSession) {
	return func(p *fakeSession) {
		frame, ok := p.receive()
		if !ok || frame.Hello == nil {
			return
		}
		if frame.Hello.Held < 5 {
			p.send(fullFrame(5, "a"))
		}
		p.answerAsks(answer)
	}
}

// TestProof guards against proofs for a configuration that is not the newest one, or that did not come from the controllers.
func TestProof(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(ask uint64) wire.Heartbeat
		proven bool
	}{
		{"newest version is held", func(ask uint64) wire.Heartbeat { return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask, Newest: 5} }, true},
		{"held version is newer", func(ask uint64) wire.Heartbeat { return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask, Newest: 4} }, true},
		{"newer version exists", func(ask uint64) wire.Heartbeat { return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask, Newest: 6} }, false},
		{"no configuration", func(ask uint64) wire.Heartbeat { return wire.Heartbeat{Fresh: true, Ask: ask} }, false},
		{"heartbeat without an answer", func(uint64) wire.Heartbeat { return wire.Heartbeat{Version: 5, Fresh: true} }, false},
		{"answer to an ask of the future", func(ask uint64) wire.Heartbeat {
			return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask + uint64(time.Minute), Newest: 5}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFakeTime(t, func(ctx context.Context, t *testing.T) {
				fake := newFakeController(ctx, t, serveProofs(c.answer))
				s := startProving(ctx, t, newBootClock(), map[netip.AddrPort]*fakeController{localController.Addr: fake})
				time.Sleep(2 * time.Second)
				synctest.Wait()
				assertVersion(t, s, 5)
				if c.proven {
					assertProofAge(t, s, 0, framer.HeartbeatInterval)
				} else {
					assertNoProof(t, s)
				}
			})
		})
	}
}

// TestAskTimes guards against a daemon that has no proof for half a second after each reconnect, or asks although its settings
// need no proof.
func TestAskTimes(t *testing.T) {
	for _, needed := range []bool{true, false} {
		runInFakeTime(t, func(ctx context.Context, t *testing.T) {
			is := is.New(t)
			var asks []time.Duration
			began := time.Now()
			fake := newFakeController(ctx, t, serveProofs(func(ask uint64) wire.Heartbeat {
				if ask != 0 {
					asks = append(asks, time.Since(began))
				}
				return wire.Heartbeat{Version: 5, Fresh: true}
			}))
			startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake},
				subscriber.WithProofs(newBootClock().now, func() bool { return needed }))
			time.Sleep(1100 * time.Millisecond)
			synctest.Wait()
			if !needed {
				is.Equal(len(asks), 0)
				return
			}
			is.Equal(len(asks), 3)
			is.Equal(asks[1]-asks[0], framer.HeartbeatInterval)
			is.True(asks[0] < framer.HeartbeatInterval)
		})
	}
}

// TestFreeze guards against a daemon that was stopped for long and serves calls by an old proof, or by an answer that was sent
// before the stop and read after it.
func TestFreeze(t *testing.T) {
	runInFakeTime(t, func(ctx context.Context, t *testing.T) {
		clock := newBootClock()
		var answering, delayed atomic.Bool
		answering.Store(true)
		fake := newFakeController(ctx, t, serveProofs(func(ask uint64) wire.Heartbeat {
			if delayed.Load() {
				delayed.Store(false)
				clock.suspend(time.Hour) // the daemon stops after the ask and before it reads the answer
			} else if !answering.Load() {
				return wire.Heartbeat{Version: 5, Fresh: true}
			}
			return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask, Newest: 5}
		}))
		s := startProving(ctx, t, clock, map[netip.AddrPort]*fakeController{localController.Addr: fake})
		time.Sleep(time.Second)
		synctest.Wait()
		assertProofAge(t, s, 0, framer.HeartbeatInterval)

		answering.Store(false)
		clock.suspend(time.Minute)
		assertProofAge(t, s, time.Minute, time.Minute+framer.HeartbeatInterval)

		delayed.Store(true)
		time.Sleep(framer.HeartbeatInterval)
		synctest.Wait()
		assertProofAge(t, s, time.Hour, time.Hour+framer.HeartbeatInterval)

		answering.Store(true)
		time.Sleep(framer.HeartbeatInterval)
		synctest.Wait()
		assertProofAge(t, s, 0, framer.HeartbeatInterval)
	})
}

// TestPartitionedController guards against a proof from a controller that answers heartbeats but has no majority, and against a
// daemon that stays without a proof although another controller could give one.
func TestPartitionedController(t *testing.T) {
	runInFakeTime(t, func(ctx context.Context, t *testing.T) {
		var cut atomic.Bool
		prove := func(ask uint64) wire.Heartbeat { return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask, Newest: 5} }
		local := newFakeController(ctx, t, serveProofs(func(ask uint64) wire.Heartbeat {
			if cut.Load() {
				return wire.Heartbeat{Version: 5}
			}
			return prove(ask)
		}))
		remote := newFakeController(ctx, t, serveProofs(prove))
		s := startProving(ctx, t, newBootClock(), map[netip.AddrPort]*fakeController{localController.Addr: local, remoteController.Addr: remote})
		time.Sleep(time.Second)
		cut.Store(true)
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		assertProofAge(t, s, 400*time.Millisecond, 1400*time.Millisecond)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		assertProofAge(t, s, 0, framer.HeartbeatInterval)
	})
}

// TestNewerVersionMissing guards against a proof for a daemon that knows of a newer version but does not have it, or rejects it,
// and against an old proof that is renewed by the next answer.
func TestNewerVersionMissing(t *testing.T) {
	broken := fullFrame(6, "a")
	broken.Full.Sum++
	for _, c := range []struct {
		name   string
		update *wire.Frame
	}{{"update lost", nil}, {"update rejected", &broken}} {
		t.Run(c.name, func(t *testing.T) {
			runInFakeTime(t, func(ctx context.Context, t *testing.T) {
				var newer, repaired atomic.Bool
				fake := newFakeController(ctx, t, func(p *fakeSession) {
					frame, _ := p.receive()
					if frame.Hello == nil {
						return
					}
					if frame.Hello.Held < 5 {
						p.send(fullFrame(5, "a"))
					}
					sent := false
					p.answerAsks(func(ask uint64) wire.Heartbeat {
						switch {
						case repaired.Load() && !sent:
							sent = true
							p.send(fullFrame(6, "a"))
						case newer.Load() && !sent && c.update != nil:
							sent = true
							p.send(*c.update)
						}
						if newer.Load() {
							return wire.Heartbeat{Version: 6, Fresh: true, Ask: ask, Newest: 6}
						}
						return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask, Newest: 5}
					})
				})
				s := startProving(ctx, t, newBootClock(), map[netip.AddrPort]*fakeController{localController.Addr: fake})
				time.Sleep(time.Second)
				synctest.Wait()
				assertProofAge(t, s, 0, framer.HeartbeatInterval)
				newer.Store(true)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				assertVersion(t, s, 5)
				assertProofAge(t, s, 10*time.Second-framer.HeartbeatInterval, 11*time.Second)
				repaired.Store(true)
				time.Sleep(4 * time.Second)
				synctest.Wait()
				assertVersion(t, s, 6)
				assertProofAge(t, s, 0, framer.HeartbeatInterval)
			})
		})
	}
}

// TestRestartWithoutProof guards against a daemon that restarts, with or without a disk, and serves calls by a proof of its
// earlier process.
func TestRestartWithoutProof(t *testing.T) {
	for _, c := range []struct{ name, folder string }{{"without a disk", ""}, {"with a disk", t.TempDir()}} {
		t.Run(c.name, func(t *testing.T) {
			for run := range 2 {
				runInFakeTime(t, func(ctx context.Context, t *testing.T) {
					is := is.New(t)
					var answering atomic.Bool
					answering.Store(run == 0)
					fake := newFakeController(ctx, t, serveProofs(func(ask uint64) wire.Heartbeat {
						if !answering.Load() {
							return wire.Heartbeat{Version: 5, Fresh: true}
						}
						return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask, Newest: 5}
					}))
					clock := newBootClock()
					s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake},
						subscriber.WithFolder(c.folder), subscriber.WithProofs(clock.now, func() bool { return true }))
					time.Sleep(time.Second)
					synctest.Wait()
					is.Equal(s.Snapshot().Version(), uint64(5))
					_, proven := s.ProofAge()
					is.Equal(proven, run == 0)
				})
			}
		})
	}
}

// TestLostClock guards against a proof that never ends because the clock cannot be read.
func TestLostClock(t *testing.T) {
	runInFakeTime(t, func(ctx context.Context, t *testing.T) {
		clock := newBootClock()
		var lost atomic.Bool
		fake := newFakeController(ctx, t, serveProofs(func(ask uint64) wire.Heartbeat {
			return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask, Newest: 5}
		}))
		read := func() (time.Duration, error) {
			if lost.Load() {
				return 0, compiler.ErrInvalid
			}
			return clock.now()
		}
		s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake},
			subscriber.WithProofs(read, func() bool { return true }))
		time.Sleep(time.Second)
		synctest.Wait()
		assertProofAge(t, s, 0, framer.HeartbeatInterval)
		lost.Store(true)
		assertNoProof(t, s)
	})
}

// TestTimeOfDay guards against a proof whose age follows the time of day, which may step in both directions. The clock of the
// proofs stands still here while the time of day moves.
func TestTimeOfDay(t *testing.T) {
	runInFakeTime(t, func(ctx context.Context, t *testing.T) {
		const now = time.Hour
		fake := newFakeController(ctx, t, serveProofs(func(ask uint64) wire.Heartbeat {
			if ask != uint64(now) {
				t.Errorf("ask %d does not come from the clock", ask)
			}
			return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask, Newest: 5}
		}))
		s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake},
			subscriber.WithProofs(func() (time.Duration, error) { return now, nil }, func() bool { return true }))
		time.Sleep(time.Minute)
		synctest.Wait()
		assertProofAge(t, s, 0, 0)
	})
}
