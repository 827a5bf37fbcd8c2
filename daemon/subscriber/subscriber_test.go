package subscriber_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/subscriber"
)

var (
	localController  = subscriber.Controller{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "here"}
	remoteController = subscriber.Controller{Addr: netip.MustParseAddrPort("127.0.0.1:2"), Domain: "there"}
)

// startSubscriber runs a subscriber that can dial the given fakes until the test ends. Unless opts say otherwise, it prefers
// localController to remoteController.
func startSubscriber(ctx context.Context, t *testing.T, fakes map[netip.AddrPort]*fakeController, opts ...subscriber.Option) *subscriber.Subscriber {
	opts = append([]subscriber.Option{
		subscriber.WithIdentity("d1", "here", "counter"),
		subscriber.WithControllers(localController, remoteController),
		subscriber.WithRandom(rand.New(rand.NewPCG(1, 2))),
		subscriber.WithDial(func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			fake, ok := fakes[addr]
			if !ok {
				return nil, net.ErrClosed
			}
			return fake.dial(ctx)
		}),
	}, opts...)
	s := subscriber.New(opts...)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// runInFakeTime runs a test in a synctest bubble with a context that ends with the test.
func runInFakeTime(t *testing.T, run func(ctx context.Context, t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		run(ctx, t)
	})
}

func assertVersion(t *testing.T, s *subscriber.Subscriber, version uint64) {
	t.Helper()
	is := is.New(t)
	is.True(s.Snapshot() != nil)
	is.Equal(s.Snapshot().Version(), version)
}

// TestUpdates guards against reverting to an older version and against applying an invalid update in part.
func TestUpdates(t *testing.T) {
	initial := fullFrame(5, "a", "b")
	badSum := fullFrame(9, "a")
	badSum.Full.Sum++
	danglingRoute := fullFrame(9, "a")
	danglingRoute.Full.Batch.Services[0].Needs = []string{"missing"}
	danglingRoute.Full.Sum, _ = compiler.Checksum(danglingRoute.Full.Batch)
	otherBatch := fullFrame(9, "a")
	otherBatch.Full.Batch.Name = "other"
	otherBatch.Full.Sum, _ = compiler.Checksum(otherBatch.Full.Batch)
	cases := []struct {
		name  string
		frame wire.Frame
	}{
		{"full snapshot of an older version", fullFrame(4, "a")},
		{"equal version with other content", fullFrame(5, "a")},
		{"wrong checksum of a full snapshot", badSum},
		{"route to a missing service", danglingRoute},
		{"another batch", otherBatch},
		{"wrong checksum of a delta", wire.Frame{Delta: &wire.Delta{From: 5, Version: 6, Sum: 1, RemovedServices: []string{"a"}}}},
		{"delta from another version", wire.Frame{Delta: &wire.Delta{From: 4, Version: 6, RemovedServices: []string{"a"}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInFakeTime(t, func(ctx context.Context, t *testing.T) {
				hellos := make(chan wire.Hello, 100)
				fake := newFakeController(ctx, t, func(p *fakeSession) {
					hello, _ := p.receive()
					if hello.Hello == nil {
						return
					}
					if hello.Hello.Held == 0 {
						p.send(initial)
					}
					p.send(c.frame)
					for {
						frame, ok := p.receive()
						if !ok {
							return
						}
						if frame.Hello != nil {
							hellos <- *frame.Hello
						}
					}
				})
				s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake})
				time.Sleep(3 * time.Second)
				synctest.Wait()
				assertVersion(t, s, 5)
				_, ok := s.Snapshot().Service("b")
				is.New(t).True(ok)
				if c.frame.Delta != nil {
					is.New(t).True((<-hellos).Full) // after a rejected delta the daemon asks for a full snapshot
				}
			})
		})
	}
}

// TestDelta guards against a daemon that cannot apply a delta and needs a full snapshot for each change.
func TestDelta(t *testing.T) {
	runInFakeTime(t, func(ctx context.Context, t *testing.T) {
		first, second := fullFrame(5, "a", "b"), fullFrame(8, "b", "c")
		second.Full.Batch.Services[0].Mod = 5
		sum, _ := compiler.Checksum(second.Full.Batch)
		delta := wire.Frame{Delta: &wire.Delta{
			From: 5, Version: 8, Sum: sum, Until: second.Full.Batch.Until,
			ChangedServices: second.Full.Batch.Services[1:], RemovedServices: []string{"a"},
		}}
		acks := make(chan wire.Ack, 2)
		fake := newFakeController(ctx, t, func(p *fakeSession) {
			p.receive()
			p.send(first)
			p.send(delta)
			for frame, ok := p.receive(); ok; frame, ok = p.receive() {
				acks <- *frame.Ack
			}
		})
		s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake})
		is.New(t).Equal((<-acks).Version, uint64(5))
		is.New(t).Equal((<-acks).Sum, sum)
		assertVersion(t, s, 8)
	})
}

// TestRestart guards against a restarted daemon that accepts an older version from a stale controller: without a usable
// stored snapshot it must ask for a barrier. It also guards against a daemon that refuses every snapshot because its data
// folder is missing.
func TestRestart(t *testing.T) {
	cases := []struct {
		name    string
		folder  bool
		damage  func(folder string) error // called before each start
		barrier bool
		held    uint64
	}{
		{"without a disk", false, nil, true, 0},
		{"with a disk", true, nil, false, 5},
		{"damaged file", true, func(folder string) error {
			return os.WriteFile(filepath.Join(folder, "snapshot"), []byte("x"), 0o600)
		}, true, 0},
		{"missing folder", true, os.RemoveAll, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := ""
			if c.folder {
				folder = t.TempDir()
			}
			for run := range 2 {
				if c.damage != nil {
					is.New(t).NoErr(c.damage(folder))
				}
				runInFakeTime(t, func(ctx context.Context, t *testing.T) {
					hellos := make(chan wire.Hello, 1)
					fake := newFakeController(ctx, t, func(p *fakeSession) {
						frame, _ := p.receive()
						hellos <- *frame.Hello
						p.send(fullFrame(5, "a"))
						p.drain()
					})
					s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake}, subscriber.WithFolder(folder))
					hello := <-hellos
					synctest.Wait()
					assertVersion(t, s, 5)
					if run == 1 {
						is.New(t).Equal(hello.Barrier, c.barrier)
						is.New(t).Equal(hello.Held, c.held)
					}
				})
			}
		})
	}
}

// TestFullDisk guards against a restart that reverts to the last version stored before the disk was full.
func TestFullDisk(t *testing.T) {
	folder := t.TempDir()
	for _, c := range []struct{ version, held uint64 }{{5, 0}, {6, 5}, {7, 0}} {
		runInFakeTime(t, func(ctx context.Context, t *testing.T) {
			hellos := make(chan wire.Hello, 1)
			fake := newFakeController(ctx, t, func(p *fakeSession) {
				frame, _ := p.receive()
				hellos <- *frame.Hello
				p.send(fullFrame(c.version, "a"))
				p.drain()
			})
			s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake}, subscriber.WithFolder(folder))
			is.New(t).Equal((<-hellos).Held, c.held)
			synctest.Wait()
			assertVersion(t, s, c.version)
			// A folder in place of the temporary file makes each later write fail.
			is.New(t).NoErr(os.MkdirAll(filepath.Join(folder, "snapshot.tmp"), 0o700))
		})
	}
}

// TestRequest guards against replies that reach the wrong request and requests that hang after a disconnect.
func TestRequest(t *testing.T) {
	runInFakeTime(t, func(ctx context.Context, t *testing.T) {
		fake := newFakeController(ctx, t, func(p *fakeSession) {
			p.receive()
			first, _ := p.receive()
			second, _ := p.receive()
			for _, frame := range []wire.Frame{second, first} {
				p.send(wire.Frame{ID: frame.ID, Verdict: &wire.Verdict{State: frame.Claim.Attempt}})
			}
			p.receive()
		})
		s := startSubscriber(ctx, t, map[netip.AddrPort]*fakeController{localController.Addr: fake})
		time.Sleep(time.Second)
		results := make(chan error, 2)
		for _, attempt := range []string{"a", "b"} {
			go func() {
				verdict, err := s.Request(ctx, wire.Frame{Claim: &wire.Claim{Attempt: attempt}})
				if err == nil && verdict.State != attempt {
					err = errors.New("answer of another request")
				}
				results <- err
			}()
		}
		is.New(t).NoErr(<-results)
		is.New(t).NoErr(<-results)
		_, err := s.Request(ctx, wire.Frame{Release: &wire.Claim{}})
		is.New(t).True(errors.Is(err, subscriber.ErrDisconnected))
	})
}
