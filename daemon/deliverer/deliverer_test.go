package deliverer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
)

// bench is a deliverer in front of an upstream under test.
type bench struct {
	*deliverer.Deliverer
	upstream wire.Upstream
	present  bool
	lost     int
}

func newBench(t *testing.T, handler http.HandlerFunc) *bench {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	b := &bench{present: true, upstream: wire.Upstream{
		ID: "i", Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 1,
	}}
	names := courier.DefaultNames()
	names.Attempt, names.Deadline, names.Target, names.NotRun, names.Proof = "Attempt", "Deadline", "Target", "Not-Run", "Proof"
	b.Deliverer = deliverer.New(
		deliverer.WithUpstream(func() (wire.Upstream, bool) { return b.upstream, b.present }),
		deliverer.WithAcquire(func(context.Context, string, time.Time) (func(deliverer.End), error) {
			return func(deliverer.End) {}, nil
		}),
		deliverer.WithLost(func(wire.Upstream) { b.lost++ }),
		deliverer.WithNames(names),
	)
	return b
}

func order(repeat bool) deliverer.Order {
	return deliverer.Order{
		Request: &courier.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Attempt": {"1"}}},
		Service: "s", Class: "normal", Deadline: time.Now().Add(time.Minute), Repeat: repeat,
	}
}

func reply(status int, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
	}
}

// TestOutcome guards against a wrong word on whether a call ran.
func TestOutcome(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    deliverer.Outcome
		arrived bool
	}{
		{"answer", reply(200, "Proof", "p"), deliverer.Answered, true},
		{"own failure of the upstream", reply(500, "Proof", "p"), deliverer.Answered, true},
		{"rejected", reply(503, "Not-Run", "1"), deliverer.NotRun, true},
		{"503 that says nothing", reply(503), deliverer.Answered, true},
		{"another upstream at the address", reply(421), deliverer.NotRun, true},
		{"success without a proof", reply(200), deliverer.Unknown, true},
		{"encoded by somebody on the way", reply(200, "Proof", "p", "Content-Encoding", "gzip"), deliverer.Unknown, true},
		{"answer to another call", reply(200, "Proof", "p", "Attempt", "2", "Connection", "close"), deliverer.Unknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newBench(t, c.handler).Deliver(context.Background(), order(false))
			is.Equal(r.Outcome, c.want)
			is.Equal(r.Arrived, c.arrived)
		})
	}
}

// TestHeaders guards against an upstream that takes a call meant for another one at its address, or that is handed more
// time than is left.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	var got http.Header
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		reply(200, "Proof", "p")(w, r)
	})
	o := order(true)
	o.Request.Header.Set("Bluebell-Order", "x")
	o.Deadline = time.Now().Add(time.Second)
	b.Deliver(context.Background(), o)
	is.Equal(got.Get("Target"), "i")
	is.Equal(got.Get("Bluebell-Order"), "")
	is.True(len(got.Get("Deadline")) <= len("1000"))
	is.Equal(o.Request.Header.Get("Target"), "") // the order may be sent to another member
}

// TestNotSent guards against calls to an upstream that has left, that was replaced during the wait, or behind a daemon
// that stops.
func TestNotSent(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*bench)
	}{
		{"left", func(b *bench) { b.present = false }},
		{"other service", func(b *bench) { b.upstream.Service = "other" }},
		{"stopping", func(b *bench) { b.Drain() }},
		{"refused connection", func(b *bench) { b.upstream.Address = netip.MustParseAddrPort("127.0.0.1:1") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			runs := 0
			b := newBench(t, func(w http.ResponseWriter, r *http.Request) { runs++; reply(200, "Proof", "p")(w, r) })
			c.prepare(b)
			r := b.Deliver(context.Background(), order(false))
			is.Equal(r.Outcome, deliverer.NotRun)
			is.True(!r.Arrived)
			is.Equal(runs, 0)
			is.Equal(b.lost > 0, c.name == "refused connection") // only then the upstream is withdrawn
		})
	}
	t.Run("left during the wait", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, reply(200, "Proof", "p"))
		d := deliverer.New(
			deliverer.WithUpstream(func() (wire.Upstream, bool) { return b.upstream, b.present }),
			deliverer.WithAcquire(func(context.Context, string, time.Time) (func(deliverer.End), error) {
				b.present = false
				return func(deliverer.End) {}, nil
			}),
		)
		is.Equal(d.Deliver(context.Background(), order(false)).Outcome, deliverer.NotRun)
	})
}

// TestGone guards against calls that run on for a caller that has left, and against calls that may run only once and
// are cut in the middle.
func TestGone(t *testing.T) {
	for _, repeat := range []bool{true, false} {
		t.Run(map[bool]string{true: "may be repeated", false: "once"}[repeat], func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			release := make(chan struct{})
			b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
				cancel()
				if repeat {
					<-r.Context().Done()
					return
				}
				<-release
				reply(200, "Proof", "p")(w, r)
			})
			if !repeat {
				context.AfterFunc(ctx, func() { close(release) })
			}
			r := b.Deliver(ctx, order(repeat))
			is.Equal(r.Outcome == deliverer.Answered, !repeat)
		})
	}
}

// TestPeer guards against fields of an order or a result that are lost between two daemons.
func TestPeer(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		reply(200, "Proof", "p")(w, r)
	})
	peer := httptest.NewServer(b)
	defer peer.Close()
	o := order(true)
	o.Kind, o.Target = "name; with a separator", time.Now().Add(time.Second)
	o.Request.Target = "/x?page=1&sort=new"
	o.Request.Method, o.Request.Body = http.MethodPost, []byte("body")
	to := netip.MustParseAddrPort(peer.Listener.Addr().String())
	a, err := courier.New().Do(context.Background(), to, courier.Call{Request: o.Pack()})
	is.NoErr(err)
	r, ok := deliverer.Unpack(a)
	is.True(ok)
	is.Equal(r.Outcome, deliverer.Answered)
	is.Equal(r.Answer.Header.Get("Proof"), "p")
	is.Equal(r.Answer.Header.Get("Bluebell-Result"), "")
	is.Equal(got.RequestURI, "/x?page=1&sort=new")
	is.Equal(got.Host, "h")
	is.Equal(got.ContentLength, int64(4))

	b.Drain()
	a, err = courier.New().Do(context.Background(), to, courier.Call{Request: o.Pack()})
	is.NoErr(err)
	r, ok = deliverer.Unpack(a)
	is.True(ok)
	is.Equal(r.Outcome, deliverer.NotRun)
	is.Equal(r.Reason, "the daemon is stopping")

	bad := o.Pack()
	bad.Header.Set("Bluebell-Order", "s;normal;soon;;k;true")
	a, err = courier.New().Do(context.Background(), to, courier.Call{Request: bad})
	is.NoErr(err)
	_, ok = deliverer.Unpack(a)
	is.True(!ok)
	is.Equal(a.Status, http.StatusBadRequest)
}

// TestLatest guards against calls that wait for a slot although their answer would probably miss its target.
func TestLatest(t *testing.T) {
	is := is.New(t)
	full := errors.New("full")
	var latest time.Time
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		reply(200, "Proof", "p")(w, r)
	})
	waits := false
	d := deliverer.New(
		deliverer.WithUpstream(func() (wire.Upstream, bool) { return b.upstream, true }),
		deliverer.WithAcquire(func(_ context.Context, _ string, start time.Time) (func(deliverer.End), error) {
			latest = start
			if waits {
				return nil, full
			}
			return func(deliverer.End) {}, nil
		}),
	)
	o := order(true)
	o.Request.Header = http.Header{}
	o.Kind, o.Target = "k", time.Now().Add(time.Second)
	d.Deliver(context.Background(), o)
	is.Equal(latest, o.Target) // nothing is known yet
	waits = true
	r := d.Deliver(context.Background(), o)
	is.True(o.Target.Sub(latest) >= 20*time.Millisecond)
	is.Equal(r.Outcome, deliverer.NotRun)
}
