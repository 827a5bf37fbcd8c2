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
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// referTarget is the address of a controller in the failure domain dalseong.
var referTarget = netip.MustParseAddrPort("127.0.0.1:9")

var errNoMajority = errors.New("no majority")

// fixture is a distributor on a state machine that applies commands directly, without a replicated log.
type fixture struct {
	registrar    *registrar.Registrar
	distributor  *distributor.Distributor
	server       *httptest.Server
	barrierErr   atomic.Pointer[error]
	barrierCount atomic.Int64
	barrierGate  chan struct{} // barriers block until it is closed; nil if they don't block
	barrierEnd   func()        // called at the end of each barrier; may be nil
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{registrar: registrar.New()}
	f.distributor = distributor.New(
		distributor.WithPropose(func(_ context.Context, cmd wire.Command) (wire.Result, error) {
			if cmd.Claim != nil && cmd.Claim.Attempt == "lost" {
				return wire.Result{}, errNoMajority
			}
			if cmd.Leave != nil {
				return f.registrar.Apply(cmd), nil
			}
			return wire.Result{Verdict: &wire.Verdict{State: wire.Granted}}, nil
		}),
		distributor.WithBarrier(func(context.Context) error {
			f.barrierCount.Add(1)
			if f.barrierGate != nil {
				<-f.barrierGate
			}
			if err := f.barrierErr.Load(); err != nil {
				return *err
			}
			if f.barrierEnd != nil {
				f.barrierEnd()
			}
			return nil
		}),
		distributor.WithView(f.registrar.View),
		distributor.WithDepartures(f.registrar.Departures),
		distributor.WithFresh(func() bool { return true }),
		distributor.WithReferral(func(domain string) (netip.AddrPort, bool) { return referTarget, domain == "dalseong" }),
	)
	f.server = httptest.NewServer(f.distributor)
	t.Cleanup(f.server.Close)
	return f
}

// applyChange replaces the services of the batch that all daemons follow.
func (f *fixture) applyChange(t *testing.T, id string, names ...string) {
	t.Helper()
	batch, _ := f.registrar.View().Batch("counter")
	e := wire.Edit{Name: "counter", Base: batch.Version, Until: time.Now().Add(time.Hour).UnixMilli()}
	for _, name := range names {
		e.Services = append(e.Services, wire.Service{Name: name, Class: compiler.Normal, Limit: time.Second})
	}
	result := f.registrar.Apply(wire.Command{At: time.Now().UnixMilli(), Change: &wire.Change{ID: id, Edits: []wire.Edit{e}}})
	is.New(t).Equal(result.Code, "")
}

// fakeDaemon is the daemon's side of a session.
type fakeDaemon struct {
	t    *testing.T
	conn *websocket.Conn
}

// connect opens a session with the given hello.
func (f *fixture) connect(t *testing.T, hello wire.Hello) *fakeDaemon {
	t.Helper()
	conn, _, err := websocket.Dial(t.Context(), f.server.URL, nil)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.CloseNow() })
	d := &fakeDaemon{t: t, conn: conn}
	hello.Batch = "counter"
	d.send(wire.Frame{Hello: &hello})
	return d
}

func (d *fakeDaemon) send(frame wire.Frame) {
	d.t.Helper()
	data, err := encoder.Marshal(frame)
	is.New(d.t).NoErr(err)
	is.New(d.t).NoErr(d.conn.Write(d.t.Context(), websocket.MessageBinary, data))
}

// receive returns the next frame that is neither a heartbeat nor the list of departures.
func (d *fakeDaemon) receive() wire.Frame {
	d.t.Helper()
	for {
		if frame := d.receiveAny(); frame.Heartbeat == nil && frame.Gone == nil {
			return frame
		}
	}
}

// TestBusyBarrier guards against daemons that leave a node which is busy after all nodes restarted together, because it sends
// nothing while their barrier waits.
func TestBusyBarrier(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.barrierGate = make(chan struct{})
	f.applyChange(t, "1", "a")
	d := f.connect(t, wire.Hello{Name: "d1", Barrier: true})
	for range 2 { // while the barrier blocks
		is.True(d.receiveAny().Heartbeat != nil)
	}
	close(f.barrierGate)
	is.True(d.receive().Full != nil)
}

// TestCatchUp guards against a daemon that reconnects after many changes and misses some of them, or gets services that
// have not changed.
func TestCatchUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.applyChange(t, "1", "a", "b")
	first := f.connect(t, wire.Hello{Name: "d1", Barrier: true}).receive()
	held, err := compiler.New(first.Full.Batch, first.Full.Sum)
	is.NoErr(err)
	is.Equal(f.barrierCount.Load(), int64(1))
	for i := range 300 {
		f.applyChange(t, time.Duration(i).String(), "a", "c"+string(rune('a'+i%26)))
	}
	reconnected := f.connect(t, wire.Hello{Name: "d1", Held: held.Version(), Sum: held.Sum()})
	frame := reconnected.receive()
	is.True(frame.Delta != nil)
	is.Equal(len(frame.Delta.ChangedServices), 1) // service a has not changed
	held, err = held.Merge(*frame.Delta)
	is.NoErr(err)
	is.Equal(held.Version(), uint64(301))
	f.applyChange(t, "last", "a")
	held, err = held.Merge(*reconnected.receive().Delta)
	is.NoErr(err)
	is.Equal(held.Version(), uint64(302))
	is.Equal(f.barrierCount.Load(), int64(1)) // no barrier for a daemon that holds a version
}

// TestStaleController guards against a controller without a majority that sends an old version to a restarted daemon.
func TestStaleController(t *testing.T) {
	f := newFixture(t)
	f.applyChange(t, "1", "a")
	f.barrierErr.Store(&errNoMajority)
	frame := f.connect(t, wire.Hello{Name: "d1", Barrier: true}).receive()
	is.New(t).True(frame.Error != "")
	is.New(t).True(frame.Full == nil)
}

// TestSlowDaemon guards against a daemon on a slow link, or with little CPU time, that falls behind further with each change,
// because the controller queues every version on the connection.
func TestSlowDaemon(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.applyChange(t, "first", "a")
	d := f.connect(t, wire.Hello{Name: "d1", Barrier: true})
	first := d.receive()
	held, err := compiler.New(first.Full.Batch, first.Full.Sum)
	is.NoErr(err)
	const changes = 50
	updates := 1
	for i := range changes {
		f.applyChange(t, fmt.Sprint(i), "a", fmt.Sprint("b", i))
		// The reply shows that the session has seen the change. The daemon acknowledges no update meanwhile.
		d.send(wire.Frame{ID: 1, Claim: &wire.Claim{}})
		for frame := d.receive(); frame.ID == 0; frame = d.receive() {
			held, err = held.Merge(*frame.Delta)
			is.NoErr(err)
			updates++
		}
	}
	is.True(updates <= distributor.MaxUnacknowledged)
	d.send(wire.Frame{Ack: &wire.Ack{Version: held.Version(), Sum: held.Sum()}})
	held, err = held.Merge(*d.receive().Delta)
	is.NoErr(err)
	is.Equal(held.Version(), uint64(1+changes)) // one update holds all changes
}

// TestNewerDaemon guards against a controller that lags behind and sends an older version than the daemon holds.
func TestNewerDaemon(t *testing.T) {
	f := newFixture(t)
	f.applyChange(t, "1", "a")
	d := f.connect(t, wire.Hello{Name: "d1", Held: 2})
	f.applyChange(t, "2", "b") // version 2, which the daemon already holds
	f.applyChange(t, "3", "c")
	is.New(t).Equal(d.receive().Delta.Version, uint64(3))
}

// TestFullOnRequest guards against a daemon that rejects a delta and never gets a full snapshot in its place.
func TestFullOnRequest(t *testing.T) {
	f := newFixture(t)
	f.applyChange(t, "1", "a")
	f.applyChange(t, "2", "b")
	d := f.connect(t, wire.Hello{Name: "d1", Held: 1})
	is.New(t).Equal(d.receive().Delta.Version, uint64(2))
	d.send(wire.Frame{Hello: &wire.Hello{Name: "d1", Batch: "counter", Held: 1, Full: true}})
	is.New(t).Equal(d.receive().Full.Batch.Version, uint64(2))
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
		reply := d.receive()
		is.New(t).Equal(reply.ID, id)
		is.New(t).Equal(reply.Error != "", c.refused)
		if !c.refused {
			is.New(t).Equal(reply.Verdict.State, c.state)
		}
	}
}

// TestPlannedStop guards against daemons that notice the stop of a controller only by the receive timeout.
func TestPlannedStop(t *testing.T) {
	f := newFixture(t)
	f.applyChange(t, "1", "a")
	d := f.connect(t, wire.Hello{Name: "d1"})
	d.receive()
	closed := make(chan error, 1)
	go func() { closed <- f.distributor.Close(t.Context()) }()
	is.New(t).True(d.receive().Bye)
	is.New(t).NoErr(<-closed)
	_, _, err := websocket.Dial(t.Context(), f.server.URL, nil)
	is.New(t).NoErr(err) // accepted and closed immediately, so that the daemon tries another controller
}

// TestDaemons guards against a status that shows a version before it is in effect on the daemon.
func TestDaemons(t *testing.T) {
	f := newFixture(t)
	f.applyChange(t, "1", "a")
	d := f.connect(t, wire.Hello{Name: "d1", Domain: "buk"})
	version := d.receive().Full.Batch.Version
	is.New(t).Equal(f.distributor.Daemons()[0].Held, uint64(0))
	d.send(wire.Frame{Ack: &wire.Ack{Version: version}})
	d.send(wire.Frame{ID: 1, Claim: &wire.Claim{}}) // frames are handled in order, so its reply shows that the ack was handled
	d.receive()
	is.New(t).Equal(f.distributor.Daemons(), []presenter.Daemon{{Name: "d1", Domain: "buk", Batch: "counter", Held: 1}})
}

// TestRefer guards against snapshots sent to another failure domain although the daemon has a controller in its own, and
// against daemons that are referred again by the only controller that they can reach.
func TestRefer(t *testing.T) {
	f := newFixture(t)
	f.applyChange(t, "1", "a")
	for _, c := range []struct {
		domain   string
		stay     bool
		referred bool
	}{{"dalseong", false, true}, {"dalseong", true, false}, {"jung", false, false}} {
		t.Run(fmt.Sprint(c.domain, " ", c.stay), func(t *testing.T) {
			is := is.New(t)
			frame := f.connect(t, wire.Hello{Name: "d1", Domain: c.domain, Stay: c.stay, Barrier: true}).receive()
			is.Equal(frame.Refer != nil, c.referred)
			is.Equal(frame.Full == nil, c.referred)
			is.True(!c.referred || *frame.Refer == wire.Refer{Addr: referTarget, Domain: "dalseong"})
		})
	}
}
