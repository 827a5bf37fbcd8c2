package subscriber_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/subscriber"
)

var (
	near = subscriber.Controller{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "here"}
	far  = subscriber.Controller{Addr: netip.MustParseAddrPort("127.0.0.1:2"), Domain: "there"}
)

// controller is a fake at the other end of a session.
type controller struct {
	t     *testing.T
	conns chan net.Conn
	serve func(*peer)
}

func newController(ctx context.Context, t *testing.T, serve func(*peer)) *controller {
	c := &controller{t: t, conns: make(chan net.Conn), serve: serve}
	server := &http.Server{Handler: c}
	go func() { _ = server.Serve(c) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return c
}

func (c *controller) Accept() (net.Conn, error) {
	conn, ok := <-c.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (c *controller) Close() error   { close(c.conns); return nil }
func (c *controller) Addr() net.Addr { return &net.TCPAddr{} }

func (c *controller) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case c.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	c.serve(&peer{t: c.t, ctx: r.Context(), conn: conn})
}

// peer is one session of the fake controller.
type peer struct {
	t    *testing.T
	ctx  context.Context
	conn *websocket.Conn
}

func (p *peer) send(frame wire.Frame) {
	data, err := encoder.Marshal(frame)
	if err != nil {
		p.t.Error(err)
	}
	_ = p.conn.Write(p.ctx, websocket.MessageBinary, data)
}

// next returns the next frame that is no beat, or false at the end of the session.
func (p *peer) next() (wire.Frame, bool) {
	for {
		var frame wire.Frame
		_, data, err := p.conn.Read(p.ctx)
		if err != nil || encoder.Unmarshal(data, &frame) != nil {
			return frame, false
		}
		if frame.Beat == nil {
			return frame, true
		}
	}
}

func (p *peer) drain() {
	for {
		if _, ok := p.next(); !ok {
			return
		}
	}
}

func full(version uint64, names ...string) wire.Frame {
	batch := wire.Batch{Name: "counter", Version: version, Until: time.Now().Add(time.Hour).UnixMilli(), Services: []wire.Service{}}
	for _, name := range names {
		batch.Services = append(batch.Services, wire.Service{Name: name, Class: compiler.Normal, Limit: time.Second, Mod: version})
	}
	sum, _ := compiler.Sum(batch)
	return wire.Frame{Full: &wire.Full{Sum: sum, Batch: batch}}
}

// start runs a subscriber that reaches the given fakes, near first, until the test ends.
func start(ctx context.Context, t *testing.T, fakes map[netip.AddrPort]*controller, opts ...subscriber.Option) *subscriber.Subscriber {
	opts = append([]subscriber.Option{
		subscriber.WithName("d1", "here", "counter"),
		subscriber.WithControllers(near, far),
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

// scenario runs a test in fake time with a context that ends with it.
func scenario(t *testing.T, run func(ctx context.Context, t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		run(ctx, t)
	})
}

func assertHeld(t *testing.T, s *subscriber.Subscriber, version uint64) {
	t.Helper()
	is := is.New(t)
	is.True(s.Held() != nil)
	is.Equal(s.Held().Version(), version)
}

// TestUpdates guards against going back to an older version and against applying a version in part.
func TestUpdates(t *testing.T) {
	good := full(5, "a", "b")
	broken := full(9, "a")
	broken.Full.Sum++
	dangling := full(9, "a")
	dangling.Full.Batch.Services[0].Needs = []string{"missing"}
	dangling.Full.Sum, _ = compiler.Sum(dangling.Full.Batch)
	other := full(9, "a")
	other.Full.Batch.Name = "other"
	other.Full.Sum, _ = compiler.Sum(other.Full.Batch)
	cases := []struct {
		name  string
		frame wire.Frame
	}{
		{"older full", full(4, "a")},
		{"equal version with other content", full(5, "a")},
		{"checksum of a full", broken},
		{"route to a missing service", dangling},
		{"another batch", other},
		{"checksum of a delta", wire.Frame{Delta: &wire.Delta{From: 5, Version: 6, Sum: 1, Drop: []string{"a"}}}},
		{"delta from another version", wire.Frame{Delta: &wire.Delta{From: 4, Version: 6, Drop: []string{"a"}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			scenario(t, func(ctx context.Context, t *testing.T) {
				asked := make(chan wire.Hello, 100)
				fake := newController(ctx, t, func(p *peer) {
					hello, _ := p.next()
					if hello.Hello == nil {
						return
					}
					if hello.Hello.Held == 0 {
						p.send(good)
					}
					p.send(c.frame)
					for {
						frame, ok := p.next()
						if !ok {
							return
						}
						if frame.Hello != nil {
							asked <- *frame.Hello
						}
					}
				})
				s := start(ctx, t, map[netip.AddrPort]*controller{near.Addr: fake})
				time.Sleep(3 * time.Second)
				synctest.Wait()
				assertHeld(t, s, 5)
				_, ok := s.Held().Service("b")
				is.New(t).True(ok)
				if c.frame.Delta != nil {
					is.New(t).True((<-asked).Full) // a rejected delta is replaced by a full
				}
			})
		})
	}
}

// TestDelta guards against a proxy that cannot follow changes without a full snapshot.
func TestDelta(t *testing.T) {
	scenario(t, func(ctx context.Context, t *testing.T) {
		first, second := full(5, "a", "b"), full(8, "b", "c")
		second.Full.Batch.Services[0].Mod = 5
		sum, _ := compiler.Sum(second.Full.Batch)
		delta := wire.Frame{Delta: &wire.Delta{
			From: 5, Version: 8, Sum: sum, Until: second.Full.Batch.Until,
			Put: second.Full.Batch.Services[1:], Drop: []string{"a"},
		}}
		acks := make(chan wire.Ack, 2)
		fake := newController(ctx, t, func(p *peer) {
			p.next()
			p.send(first)
			p.send(delta)
			for frame, ok := p.next(); ok; frame, ok = p.next() {
				acks <- *frame.Ack
			}
		})
		s := start(ctx, t, map[netip.AddrPort]*controller{near.Addr: fake})
		is.New(t).Equal((<-acks).Version, uint64(5))
		is.New(t).Equal((<-acks).Sum, sum)
		assertHeld(t, s, 8)
	})
}

// TestRestart guards against a restarted proxy that takes an older version from a stale controller.
func TestRestart(t *testing.T) {
	cases := []struct {
		name    string
		folder  bool
		spoil   func(folder string) error // runs before each start
		barrier bool
		held    uint64
	}{
		{"without a disk", false, nil, true, 0},
		{"with a disk", true, nil, false, 5},
		{"damaged file", true, func(folder string) error {
			return os.WriteFile(filepath.Join(folder, "snapshot"), []byte("x"), 0o600)
		}, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := ""
			if c.folder {
				folder = t.TempDir()
			}
			for run := range 2 {
				if c.spoil != nil {
					is.New(t).NoErr(c.spoil(folder))
				}
				scenario(t, func(ctx context.Context, t *testing.T) {
					hellos := make(chan wire.Hello, 1)
					fake := newController(ctx, t, func(p *peer) {
						frame, _ := p.next()
						hellos <- *frame.Hello
						p.send(full(5, "a"))
						p.drain()
					})
					s := start(ctx, t, map[netip.AddrPort]*controller{near.Addr: fake}, subscriber.WithFolder(folder))
					hello := <-hellos
					synctest.Wait()
					assertHeld(t, s, 5)
					if run == 1 {
						is.New(t).Equal(hello.Barrier, c.barrier)
						is.New(t).Equal(hello.Held, c.held)
					}
				})
			}
		})
	}
}

// TestFullDisk guards against a restart that goes back to the last version that could still be stored.
func TestFullDisk(t *testing.T) {
	folder := t.TempDir()
	for _, c := range []struct{ version, held uint64 }{{5, 0}, {6, 5}, {7, 0}} {
		scenario(t, func(ctx context.Context, t *testing.T) {
			hellos := make(chan wire.Hello, 1)
			fake := newController(ctx, t, func(p *peer) {
				frame, _ := p.next()
				hellos <- *frame.Hello
				p.send(full(c.version, "a"))
				p.drain()
			})
			s := start(ctx, t, map[netip.AddrPort]*controller{near.Addr: fake}, subscriber.WithFolder(folder))
			is.New(t).Equal((<-hellos).Held, c.held)
			synctest.Wait()
			assertHeld(t, s, c.version)
			// From here on no new file can be written.
			is.New(t).NoErr(os.MkdirAll(filepath.Join(folder, "snapshot.tmp"), 0o700))
		})
	}
}

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
			ended := make(chan struct{})
			go func() {
				p.drain()
				close(ended)
			}()
			for {
				select {
				case <-time.After(framer.BeatInterval):
					p.send(wire.Frame{Beat: &wire.Beat{Version: 5}})
				case <-ended:
					return
				}
			}
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

// TestRequest guards against answers that reach the wrong request and requests that hang after a disconnect.
func TestRequest(t *testing.T) {
	scenario(t, func(ctx context.Context, t *testing.T) {
		fake := newController(ctx, t, func(p *peer) {
			p.next()
			first, _ := p.next()
			second, _ := p.next()
			for _, frame := range []wire.Frame{second, first} {
				p.send(wire.Frame{ID: frame.ID, Verdict: &wire.Verdict{State: frame.Claim.Attempt}})
			}
			p.next()
		})
		s := start(ctx, t, map[netip.AddrPort]*controller{near.Addr: fake})
		time.Sleep(time.Second)
		ends := make(chan error, 2)
		for _, attempt := range []string{"a", "b"} {
			go func() {
				verdict, err := s.Request(ctx, wire.Frame{Claim: &wire.Claim{Attempt: attempt}})
				if err == nil && verdict.State != attempt {
					err = errors.New("answer of another request")
				}
				ends <- err
			}()
		}
		is.New(t).NoErr(<-ends)
		is.New(t).NoErr(<-ends)
		_, err := s.Request(ctx, wire.Frame{Release: &wire.Claim{}})
		is.New(t).True(errors.Is(err, subscriber.ErrDisconnected))
	})
}
