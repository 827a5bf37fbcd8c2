package announcer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/announcer"
)

const valid = `{"service": "payout", "address": "127.0.0.1:9000", "slots": 20, "conns": 130}`

// fixture holds an announcer, its routes and the member entry that it changes.
type fixture struct {
	*announcer.Announcer
	*echo.Echo
	mu      sync.Mutex
	member  wire.Member
	updates int
	calls   chan struct{} // closed when no call is in progress
}

func newFixture() *fixture {
	f := &fixture{Echo: echo.New(), calls: make(chan struct{})}
	f.Announcer = announcer.New(
		announcer.WithUpdate(func(change func(*wire.Member)) {
			f.mu.Lock()
			defer f.mu.Unlock()
			change(&f.member)
			f.updates++
		}),
		announcer.WithDrained(func(ctx context.Context) error {
			select {
			case <-f.calls:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}))
	f.Register(f.Echo)
	return f
}

func (f *fixture) entry() wire.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member
}

func (f *fixture) do(ctx context.Context, method, body string) (int, string) {
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequestWithContext(ctx, method, "/v1/upstream", strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func (f *fixture) put(body string) int {
	code, _ := f.do(context.Background(), http.MethodPut, body)
	return code
}

// TestRejects guards against announcements that would route calls to an unusable address or limit.
func TestRejects(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"empty", valid, ``, "EOF"},
		{"no object", valid, `[]`, "invalid announcement"},
		{"trailing", valid, valid + `{}`, "data after the first value"},
		{"unknown field", `"slots"`, `"slot"`, `unknown field "slot"`},
		{"service", `payout`, `Payout`, `service "Payout" must match`},
		{"no service", `payout`, ``, `service "" must match`},
		{"host name", `127.0.0.1:9000`, `localhost:9000`, `address "localhost:9000"`},
		{"no port", `127.0.0.1:9000`, `127.0.0.1`, `address "127.0.0.1"`},
		{"port 0", `:9000`, `:0`, `address "127.0.0.1:0"`},
		{"unspecified", `127.0.0.1`, `0.0.0.0`, `address "0.0.0.0:9000"`},
		{"slots 0", `20`, `0`, "slots 0 must be from 1"},
		{"slots text", `20`, `"20"`, "slots cannot be a string"},
		{"conns", `130`, `-1`, "conns -1 must be from 1"},
		{"too long", `payout`, strings.Repeat("a", 1<<17), "too large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(f.put(valid), http.StatusNoContent)
			before, updates := f.entry(), f.updates
			code, body := f.do(context.Background(), http.MethodPut, strings.Replace(valid, c.old, c.replacement, 1))
			var got struct{ Error string }
			is.NoErr(json.Unmarshal([]byte(body), &got))
			is.Equal(code, http.StatusBadRequest)
			is.True(strings.Contains(got.Error, c.want)) // the message names the fault
			is.Equal(f.entry(), before)                  // nothing changes
			is.Equal(f.updates, updates)
			_, ok := f.Upstream()
			is.True(ok)
		})
	}
}

// TestSince guards against cold upstreams that get full load, and against slow start at each plain repeat.
func TestSince(t *testing.T) {
	cases := []struct {
		name, second string
		wait         time.Duration
		fresh        bool
	}{
		{"repeat", valid, 5 * time.Second, false},
		{"last repeat in time", valid, 14900 * time.Millisecond, false},
		{"after a lapse", valid, 16 * time.Second, true},
		{"address", strings.Replace(valid, "9000", "9001", 1), time.Second, true},
		{"service", strings.Replace(valid, "payout", "seller", 1), time.Second, true},
		{"restart between two repeats", strings.Replace(valid, "{", `{"start": 7, `, 1), time.Second, true},
		{"slots", strings.Replace(valid, "20", "10", 1), time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture()
				is.Equal(f.put(valid), http.StatusNoContent)
				first := f.entry().Since
				time.Sleep(c.wait)
				is.Equal(f.put(c.second), http.StatusNoContent)
				is.True(f.entry().Ready)
				is.Equal(f.entry().Since > first, c.fresh)
				u, ok := f.Upstream()
				is.True(ok)
				is.Equal(u.Slots, f.entry().Slots)
			})
		})
	}
}

// TestLapse guards against routing to an upstream that stopped announcing itself.
func TestLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- f.Run(ctx) }()
		is.Equal(f.put(valid), http.StatusNoContent)
		time.Sleep(14 * time.Second)
		is.Equal(f.put(valid), http.StatusNoContent)
		time.Sleep(14 * time.Second)
		synctest.Wait()
		is.True(f.entry().Ready)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		is.True(!f.entry().Ready)
		_, ok := f.Upstream()
		is.True(!ok)
		code, _ := f.do(ctx, http.MethodGet, "")
		is.Equal(code, http.StatusNotFound)
		cancel()
		<-ended
	})
}

// TestDelete guards against new work for an upstream that is leaving, and against an answer before its last call ended.
func TestDelete(t *testing.T) {
	cases := []struct {
		name  string
		drain bool // the last call ends before the request's context does
		code  int
	}{
		{"drained", true, http.StatusNoContent},
		{"request ends first", false, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture()
				is.Equal(f.put(valid), http.StatusNoContent)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				codes := make(chan int, 1)
				go func() {
					code, _ := f.do(ctx, http.MethodDelete, "")
					codes <- code
				}()
				synctest.Wait()
				is.True(!f.entry().Ready) // at once
				_, ok := f.Upstream()
				is.True(!ok)
				is.Equal(len(codes), 0)                     // a call is in progress
				is.Equal(f.put(valid), http.StatusConflict) // a repeat that crossed the leave
				is.True(!f.entry().Ready)
				if c.drain {
					close(f.calls)
				}
				is.Equal(<-codes, c.code)
				is.Equal(f.put(valid), http.StatusNoContent) // a new start
				is.True(f.entry().Ready)
			})
		})
	}
}

// TestLeave guards against an upstream that announces itself again while its daemon stops.
func TestLeave(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.put(valid), http.StatusNoContent)
	code, body := f.do(context.Background(), http.MethodGet, "")
	is.Equal(code, http.StatusOK)
	is.True(strings.Contains(body, `"address":"127.0.0.1:9000"`))
	f.Leave()
	is.True(!f.entry().Ready)
	is.Equal(f.put(valid), http.StatusServiceUnavailable)
	is.True(!f.entry().Ready)
}

// TestPutWire guards against announcements in the form of the wire type, as the stand-in sends them, that are refused
// because the type has grown.
func TestPutWire(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	data, err := json.Marshal(wire.Upstream{
		ID: "i", Service: "payout", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: 20, Conns: 130, Start: 1,
	})
	is.NoErr(err)
	status, _ := f.do(context.Background(), http.MethodPut, string(data))
	is.Equal(status, http.StatusNoContent)
}

// TestCrossing guards against an announcement that was sent before a leave and arrives after it, as a paused daemon gets
// them: it must not attract calls to an upstream that has left.
func TestCrossing(t *testing.T) {
	const format = `{"service": "payout", "address": "127.0.0.1:9000", "slots": 2, "conns": 4, "start": %d, "seq": %d}`
	for _, tt := range []struct {
		name       string
		start, seq int
		code       int
	}{
		{"sent before", 1000, 6, http.StatusConflict},
		{"earlier process", 999, 50, http.StatusConflict},
		{"returns", 1000, 8, http.StatusNoContent},
		{"new process", 1001, 1, http.StatusNoContent},
		{"not numbered", 1000, 0, http.StatusNoContent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			close(f.calls)
			is.Equal(f.put(fmt.Sprintf(format, 1000, 5)), http.StatusNoContent)
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/upstream?start=1000&seq=7", nil))
			is.Equal(w.Code, http.StatusNoContent)
			is.Equal(f.put(fmt.Sprintf(format, tt.start, tt.seq)), tt.code)
			is.Equal(f.entry().Ready, tt.code == http.StatusNoContent)
		})
	}
	t.Run("not a number", func(t *testing.T) {
		w := httptest.NewRecorder()
		newFixture().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/upstream?seq=x", nil))
		is.New(t).Equal(w.Code, http.StatusBadRequest)
	})
}
