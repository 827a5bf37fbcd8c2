package deliverer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
)

// fixture is a deliverer in front of a test upstream.
type fixture struct {
	*deliverer.Deliverer
	upstream    wire.Upstream
	present     bool
	unreachable int
}

func newFixture(t *testing.T, handler http.HandlerFunc) *fixture {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f := &fixture{present: true, upstream: wire.Upstream{
		ID: "i", Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 1,
	}}
	names := courier.DefaultHeaderNames()
	names.Attempt, names.Deadline, names.Target, names.NotRun, names.Signature = "Attempt", "Deadline", "Target", "Not-Run", "Proof"
	f.Deliverer = deliverer.New(
		deliverer.WithUpstream(func() (wire.Upstream, bool) { return f.upstream, f.present }),
		deliverer.WithAcquire(func(context.Context, string, time.Time) (func(deliverer.SlotOutcome), error) {
			return func(deliverer.SlotOutcome) {}, nil
		}),
		deliverer.WithUnreachable(func(wire.Upstream) { f.unreachable++ }),
		deliverer.WithHeaderNames(names),
	)
	return f
}

func newCall(repeatable bool) deliverer.Call {
	return deliverer.Call{
		Request: &courier.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Attempt": {"1"}}},
		Service: "s", Class: "normal", Deadline: time.Now().Add(time.Minute), Retryable: repeatable,
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

// TestOutcome guards against a wrong result about whether a call ran.
func TestOutcome(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    deliverer.Outcome
		sent    bool
	}{
		{"answer", reply(200, "Proof", "p"), deliverer.Answered, true},
		{"failure of the upstream itself", reply(500, "Proof", "p"), deliverer.Answered, true},
		{"rejected", reply(503, "Not-Run", "1"), deliverer.NotRun, true},
		{"503 without a not-run header", reply(503), deliverer.Answered, true},
		{"another upstream at the address", reply(421), deliverer.NotRun, true},
		{"success without a signature", reply(200), deliverer.Unknown, true},
		{"encoded by an intermediary", reply(200, "Proof", "p", "Content-Encoding", "gzip"), deliverer.Unknown, true},
		{"answer to another call", reply(200, "Proof", "p", "Attempt", "2", "Connection", "close"), deliverer.Unknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newFixture(t, c.handler).Deliver(context.Background(), newCall(false))
			is.Equal(r.Outcome, c.want)
			is.Equal(r.Sent, c.sent)
		})
	}
}

// TestHeaders guards against an upstream that runs a call meant for another one at its address, and against one that
// is told a deadline beyond that of the call.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	var got http.Header
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		reply(200, "Proof", "p")(w, r)
	})
	c := newCall(true)
	c.Request.Header.Set("Bluebell-Order", "x")
	c.Deadline = time.Now().Add(time.Second)
	f.Deliver(context.Background(), c)
	is.Equal(got.Get("Target"), "i")
	is.Equal(got.Get("Bluebell-Order"), "")
	is.True(len(got.Get("Deadline")) <= len("1000"))
	is.Equal(c.Request.Header.Get("Target"), "") // the request is unchanged, since it may be sent to another member
}

// TestNotSent guards against calls to an upstream that has left, that was replaced while the call waited, or whose
// daemon is stopping.
func TestNotSent(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*fixture)
	}{
		{"left", func(f *fixture) { f.present = false }},
		{"other service", func(f *fixture) { f.upstream.Service = "other" }},
		{"stopping", func(f *fixture) { f.Drain() }},
		{"refused connection", func(f *fixture) { f.upstream.Address = netip.MustParseAddrPort("127.0.0.1:1") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			runs := 0
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) { runs++; reply(200, "Proof", "p")(w, r) })
			c.prepare(f)
			r := f.Deliver(context.Background(), newCall(false))
			is.Equal(r.Outcome, deliverer.NotRun)
			is.True(!r.Sent)
			is.Equal(runs, 0)
			is.Equal(f.unreachable > 0, c.name == "refused connection") // the upstream is withdrawn only in this case
		})
	}
	t.Run("left during the wait", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, reply(200, "Proof", "p"))
		d := deliverer.New(
			deliverer.WithUpstream(func() (wire.Upstream, bool) { return f.upstream, f.present }),
			deliverer.WithAcquire(func(context.Context, string, time.Time) (func(deliverer.SlotOutcome), error) {
				f.present = false
				return func(deliverer.SlotOutcome) {}, nil
			}),
		)
		is.Equal(d.Deliver(context.Background(), newCall(false)).Outcome, deliverer.NotRun)
	})
}

// TestGone guards against calls that continue after the caller has left although they may be repeated, and against
// canceled calls that may run only once.
func TestGone(t *testing.T) {
	for _, repeat := range []bool{true, false} {
		t.Run(map[bool]string{true: "may be repeated", false: "once"}[repeat], func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			release := make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
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
			r := f.Deliver(ctx, newCall(repeat))
			is.Equal(r.Outcome == deliverer.Answered, !repeat)
		})
	}
}

// TestPeer guards against fields of a call or a result that are lost between two daemons.
func TestPeer(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		reply(200, "Proof", "p")(w, r)
	})
	peer := httptest.NewServer(f)
	defer peer.Close()
	c := newCall(true)
	c.Route, c.Target = "name; with a separator", time.Now().Add(time.Second)
	c.Request.Target = "/x?page=1&sort=new"
	c.Request.Method, c.Request.Body = http.MethodPost, courier.NewBody([]byte("body"))
	to := netip.MustParseAddrPort(peer.Listener.Addr().String())
	answer, err := courier.New().Do(context.Background(), to, courier.Call{Request: c.Pack()})
	is.NoErr(err)
	r, ok := deliverer.UnpackResult(answer)
	is.True(ok)
	is.Equal(r.Outcome, deliverer.Answered)
	is.Equal(r.Answer.Header.Get("Proof"), "p")
	is.Equal(r.Answer.Header.Get("Bluebell-Result"), "")
	is.Equal(got.RequestURI, "/x?page=1&sort=new")
	is.Equal(got.Host, "h")
	is.Equal(got.ContentLength, int64(4))

	f.Drain()
	answer, err = courier.New().Do(context.Background(), to, courier.Call{Request: c.Pack()})
	is.NoErr(err)
	r, ok = deliverer.UnpackResult(answer)
	is.True(ok)
	is.Equal(r.Outcome, deliverer.NotRun)
	is.Equal(r.Reason, "the daemon is stopping")

	bad := c.Pack()
	bad.Header.Set("Bluebell-Order", "s;normal;soon;;k;true")
	answer, err = courier.New().Do(context.Background(), to, courier.Call{Request: bad})
	is.NoErr(err)
	_, ok = deliverer.UnpackResult(answer)
	is.True(!ok)
	is.Equal(answer.Status, http.StatusBadRequest)
}

// TestLargeBody guards against an upstream that runs a call from another daemon without the end of its body.
func TestLargeBody(t *testing.T) {
	is := is.New(t)
	var received int64
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		received, _ = io.Copy(io.Discard, r.Body)
		reply(200, "Proof", "p")(w, r)
	})
	c := newCall(false)
	c.Request.Method = http.MethodPost
	packed := c.Pack()
	body := make([]byte, 64<<20+1) // more than the default limit of a body, which the configuration may raise
	request := httptest.NewRequest(packed.Method, packed.Target, bytes.NewReader(body))
	request.Header = packed.Header
	recorder := httptest.NewRecorder()
	f.ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusOK)
	is.Equal(received, int64(len(body)))
}

// TestLatest guards against calls that wait for a slot although their answer would probably miss the target.
func TestLatest(t *testing.T) {
	is := is.New(t)
	full := errors.New("full")
	var latest time.Time
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		reply(200, "Proof", "p")(w, r)
	})
	allTaken := false
	d := deliverer.New(
		deliverer.WithUpstream(func() (wire.Upstream, bool) { return f.upstream, true }),
		deliverer.WithAcquire(func(_ context.Context, _ string, start time.Time) (func(deliverer.SlotOutcome), error) {
			latest = start
			if allTaken {
				return nil, full
			}
			return func(deliverer.SlotOutcome) {}, nil
		}),
	)
	c := newCall(true)
	c.Request.Header = http.Header{}
	c.Route, c.Target = "k", time.Now().Add(time.Second)
	d.Deliver(context.Background(), c)
	is.Equal(latest, c.Target) // the duration of calls is not known yet
	allTaken = true
	r := d.Deliver(context.Background(), c)
	is.True(c.Target.Sub(latest) >= 20*time.Millisecond)
	is.Equal(r.Outcome, deliverer.NotRun)
}

// TestTenant guards against an upstream that gets a key, or a tenant that the caller chose, on the way from this daemon or from
// another one.
func TestTenant(t *testing.T) {
	for _, c := range []struct {
		name, tenant string
		needsKey     bool
		wantKey      string
	}{
		{"tenant", "alfa", true, ""},
		{"public", "", true, ""},
		{"no tenants", "", false, "Token k"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got atomic.Pointer[http.Header]
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				got.Store(&r.Header)
				reply(200, "Proof", "p")(w, r)
			})
			deliverer.WithDropKey(func(h http.Header) {
				if c.needsKey {
					h.Del("Authorization")
				}
			})(f.Deliverer)
			newTenantCall := func() deliverer.Call {
				call := newCall(true)
				call.Tenant = c.tenant
				call.Request.Header.Set("Bluebell-Tenant", "forged")
				call.Request.Header.Set("Authorization", "Token k")
				return call
			}
			check := func(t *testing.T) {
				t.Helper()
				is := is.New(t)
				is.Equal(got.Load().Get("Bluebell-Tenant"), c.tenant)
				is.Equal(got.Load().Get("Authorization"), c.wantKey)
			}
			t.Run("local", func(t *testing.T) {
				f.Deliver(t.Context(), newTenantCall())
				check(t)
			})
			t.Run("from another daemon", func(t *testing.T) {
				packed := newTenantCall().Pack()
				r := httptest.NewRequest(packed.Method, packed.Target, nil)
				r.Header = packed.Header
				f.ServeHTTP(httptest.NewRecorder(), r)
				check(t)
			})
		})
	}
}
