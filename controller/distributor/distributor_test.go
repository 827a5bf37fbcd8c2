package distributor_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"bluebellhoist/controller/distributor"
	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// nearby is a controller in the failure domain dalseong.
var nearby = netip.MustParseAddrPort("127.0.0.1:9")

var errNoMajority = errors.New("no majority")

// fixture is a distributor in front of a state machine without a log.
type fixture struct {
	registrar *registrar.Registrar
	dist      *distributor.Distributor
	server    *httptest.Server
	barrier   atomic.Pointer[error]
	barriers  atomic.Int64
	hold      chan struct{} // barriers wait until it is closed; nil for none
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{registrar: registrar.New()}
	f.dist = distributor.New(
		distributor.WithPropose(func(_ context.Context, cmd wire.Command) (wire.Result, error) {
			if cmd.Claim != nil && cmd.Claim.Attempt == "lost" {
				return wire.Result{}, errNoMajority
			}
			return wire.Result{Verdict: &wire.Verdict{State: wire.Granted}}, nil
		}),
		distributor.WithBarrier(func(context.Context) error {
			f.barriers.Add(1)
			if f.hold != nil {
				<-f.hold
			}
			if err := f.barrier.Load(); err != nil {
				return *err
			}
			return nil
		}),
		distributor.WithView(f.registrar.View),
		distributor.WithFresh(func() bool { return true }),
		distributor.WithNearer(func(domain string) (netip.AddrPort, bool) { return nearby, domain == "dalseong" }),
	)
	f.server = httptest.NewServer(f.dist)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) change(t *testing.T, id string, names ...string) {
	t.Helper()
	batch, _ := f.registrar.View().Batch("counter")
	e := wire.Edit{Name: "counter", Base: batch.Version, Until: time.Now().Add(time.Hour).UnixMilli()}
	for _, name := range names {
		e.Services = append(e.Services, wire.Service{Name: name, Class: compiler.Normal, Limit: time.Second})
	}
	result := f.registrar.Apply(wire.Command{At: time.Now().UnixMilli(), Change: &wire.Change{ID: id, Edits: []wire.Edit{e}}})
	is.New(t).Equal(result.Code, "")
}

// daemon is a fake at the other end of a session.
type daemon struct {
	t    *testing.T
	conn *websocket.Conn
}

func (f *fixture) connect(t *testing.T, hello wire.Hello) *daemon {
	t.Helper()
	conn, _, err := websocket.Dial(t.Context(), f.server.URL, nil)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.CloseNow() })
	d := &daemon{t: t, conn: conn}
	hello.Batch = "counter"
	d.send(wire.Frame{Hello: &hello})
	return d
}

func (d *daemon) send(frame wire.Frame) {
	d.t.Helper()
	data, err := encoder.Marshal(frame)
	is.New(d.t).NoErr(err)
	is.New(d.t).NoErr(d.conn.Write(d.t.Context(), websocket.MessageBinary, data))
}

// next returns the next frame that is no beat.
func (d *daemon) next() wire.Frame {
	d.t.Helper()
	for {
		var frame wire.Frame
		_, data, err := d.conn.Read(d.t.Context())
		is.New(d.t).NoErr(err)
		frame, err = framer.Decode(data)
		is.New(d.t).NoErr(err)
		if frame.Beat == nil {
			return frame
		}
	}
}

// TestBusyBarrier guards against daemons that leave a node which is busy after a common restart, because it is silent while
// their first read waits.
func TestBusyBarrier(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.hold = make(chan struct{})
	f.change(t, "1", "a")
	d := f.connect(t, wire.Hello{Name: "d1", Barrier: true})
	for range 2 { // the barrier still waits
		_, data, err := d.conn.Read(t.Context())
		is.NoErr(err)
		frame, err := framer.Decode(data)
		is.NoErr(err)
		is.True(frame.Beat != nil)
	}
	close(f.hold)
	is.True(d.next().Full != nil)
}

// TestCatchUp guards against a daemon that reconnects after many changes and misses one, or gets more than it lacks.
func TestCatchUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.change(t, "1", "a", "b")
	first := f.connect(t, wire.Hello{Name: "d1", Barrier: true}).next()
	held, err := compiler.New(first.Full.Batch, first.Full.Sum)
	is.NoErr(err)
	is.Equal(f.barriers.Load(), int64(1))
	for i := range 300 {
		f.change(t, time.Duration(i).String(), "a", "c"+string(rune('a'+i%26)))
	}
	again := f.connect(t, wire.Hello{Name: "d1", Held: held.Version(), Sum: held.Sum()})
	frame := again.next()
	is.True(frame.Delta != nil)
	is.Equal(len(frame.Delta.Put), 1) // service a is as before
	held, err = held.Merge(*frame.Delta)
	is.NoErr(err)
	is.Equal(held.Version(), uint64(301))
	f.change(t, "last", "a")
	held, err = held.Merge(*again.next().Delta)
	is.NoErr(err)
	is.Equal(held.Version(), uint64(302))
	is.Equal(f.barriers.Load(), int64(1)) // no barrier for a daemon that holds a version
}

// TestStaleController guards against a controller without a majority that gives a restarted daemon an old version.
func TestStaleController(t *testing.T) {
	f := newFixture(t)
	f.change(t, "1", "a")
	f.barrier.Store(&errNoMajority)
	frame := f.connect(t, wire.Hello{Name: "d1", Barrier: true}).next()
	is.New(t).True(frame.Error != "")
	is.New(t).True(frame.Full == nil)
}

// TestNewerDaemon guards against a controller that is behind and sends its older version.
func TestNewerDaemon(t *testing.T) {
	f := newFixture(t)
	f.change(t, "1", "a")
	d := f.connect(t, wire.Hello{Name: "d1", Held: 2})
	f.change(t, "2", "b") // version 2: the daemon holds it already
	f.change(t, "3", "c")
	is.New(t).Equal(d.next().Delta.Version, uint64(3))
}

// TestFullOnRequest guards against a daemon that rejected a delta and never gets a full snapshot.
func TestFullOnRequest(t *testing.T) {
	f := newFixture(t)
	f.change(t, "1", "a")
	f.change(t, "2", "b")
	d := f.connect(t, wire.Hello{Name: "d1", Held: 1})
	is.New(t).Equal(d.next().Delta.Version, uint64(2))
	d.send(wire.Frame{Hello: &wire.Hello{Name: "d1", Batch: "counter", Held: 1, Full: true}})
	is.New(t).Equal(d.next().Full.Batch.Version, uint64(2))
}

// TestClaims guards against verdicts that reach the wrong request.
func TestClaims(t *testing.T) {
	cases := []struct {
		attempt, state string
		refused        bool
	}{
		{"1", wire.Granted, false},
		{"lost", "", true},
	}
	f := newFixture(t)
	d := f.connect(t, wire.Hello{Name: "d1", Held: 1})
	for i, c := range cases {
		id := uint64(i + 7)
		d.send(wire.Frame{ID: id, Claim: &wire.Claim{Attempt: c.attempt}})
		reply := d.next()
		is.New(t).Equal(reply.ID, id)
		is.New(t).Equal(reply.Error != "", c.refused)
		if !c.refused {
			is.New(t).Equal(reply.Verdict.State, c.state)
		}
	}
}

// TestPlannedStop guards against daemons that wait for the silence limit when a controller stops.
func TestPlannedStop(t *testing.T) {
	f := newFixture(t)
	f.change(t, "1", "a")
	d := f.connect(t, wire.Hello{Name: "d1"})
	d.next()
	closed := make(chan error, 1)
	go func() { closed <- f.dist.Close(t.Context()) }()
	is.New(t).True(d.next().Bye)
	is.New(t).NoErr(<-closed)
	_, _, err := websocket.Dial(t.Context(), f.server.URL, nil)
	is.New(t).NoErr(err) // accepted and closed at once, so that the daemon tries another controller
}

// TestDaemons guards against a status that shows a version before it is in effect.
func TestDaemons(t *testing.T) {
	f := newFixture(t)
	f.change(t, "1", "a")
	d := f.connect(t, wire.Hello{Name: "d1", Domain: "buk"})
	version := d.next().Full.Batch.Version
	is.New(t).Equal(f.dist.Daemons()[0].Held, uint64(0))
	d.send(wire.Frame{Ack: &wire.Ack{Version: version}})
	d.send(wire.Frame{ID: 1, Claim: &wire.Claim{}}) // its answer shows that the ack was handled
	d.next()
	is.New(t).Equal(f.dist.Daemons(), []presenter.Daemon{{Name: "d1", Domain: "buk", Batch: "counter", Held: 1}})
}

// TestRefer guards against snapshots that cross between failure domains although the daemon has a controller of its own, and
// against daemons that are sent away again from the only controller that answers.
func TestRefer(t *testing.T) {
	f := newFixture(t)
	f.change(t, "1", "a")
	for _, c := range []struct {
		domain string
		stay   bool
		refers bool
	}{{"dalseong", false, true}, {"dalseong", true, false}, {"jung", false, false}} {
		t.Run(fmt.Sprint(c.domain, " ", c.stay), func(t *testing.T) {
			is := is.New(t)
			frame := f.connect(t, wire.Hello{Name: "d1", Domain: c.domain, Stay: c.stay, Barrier: true}).next()
			is.Equal(frame.Refer != nil, c.refers)
			is.Equal(frame.Full == nil, c.refers)
			is.True(!c.refers || *frame.Refer == wire.Refer{Addr: nearby, Domain: "dalseong"})
		})
	}
}
