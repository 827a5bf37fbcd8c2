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

const validBody = `{"service": "payout", "address": "127.0.0.1:9000", "slots": 20, "conns": 130}`

// fixture holds an announcer, its HTTP routes and the member entry that it changes.
type fixture struct {
	*announcer.Announcer
	*echo.Echo
	mu        sync.Mutex
	member    wire.Member
	updates   int
	callsDone chan struct{} // closed when no call is in flight
}

func newFixture() *fixture {
	f := &fixture{Echo: echo.New(), callsDone: make(chan struct{})}
	f.Announcer = announcer.New(
		announcer.WithMemberUpdate(func(change func(*wire.Member)) {
			f.mu.Lock()
			defer f.mu.Unlock()
			change(&f.member)
			f.updates++
		}),
		announcer.WithDrain(func(ctx context.Context) error {
			select {
			case <-f.callsDone:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}))
	f.Register(f.Echo)
	return f
}

func (f *fixture) memberEntry() wire.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member
}

func (f *fixture) request(ctx context.Context, method, body string) (int, string) {
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequestWithContext(ctx, method, "/v1/upstream", strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func (f *fixture) put(body string) int {
	code, _ := f.request(context.Background(), http.MethodPut, body)
	return code
}

// TestRejects guards against invalid announcements that take effect, so that calls go to an unusable address or ignore the
// upstream's limits.
func TestRejects(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"empty", validBody, ``, "EOF"},
		{"not an object", validBody, `[]`, "invalid announcement"},
		{"trailing", validBody, validBody + `{}`, "after top-level value"},
		{"unknown field", `"slots"`, `"slot"`, `unknown field "slot"`},
		{"field twice", `"slots"`, `"slots": 1, "slots"`, `duplicate object member name "slots"`},
		{"field in another case", `"slots"`, `"Slots"`, `unknown field "Slots"`},
		{"id that is not UTF-8", `"slots"`, "\"id\": \"\xfc\", \"slots\"", "invalid UTF-8"},
		{"service", `payout`, `Payout`, `service "Payout" must match`},
		{"no service", `payout`, ``, `service "" must match`},
		{"host name", `127.0.0.1:9000`, `localhost:9000`, `address "localhost:9000"`},
		{"no port", `127.0.0.1:9000`, `127.0.0.1`, `address "127.0.0.1"`},
		{"port 0", `:9000`, `:0`, `address "127.0.0.1:0"`},
		{"unspecified", `127.0.0.1`, `0.0.0.0`, `address "0.0.0.0:9000"`},
		{"slots 0", `20`, `0`, "slots 0 must be from 1"},
		{"slots text", `20`, `"20"`, "slots must be an integer of 64 bits"},
		{"conns", `130`, `-1`, "conns -1 must be from 1"},
		{"port out of range", `:9000`, `:70000`, `address "127.0.0.1:70000"`},
		{"slots too large", `20`, `9223372036854775807`, "slots 9223372036854775807 must be from 1"},
		{"slots beyond 64 bits", `20`, `99999999999999999999`, "slots must be an integer of 64 bits"},
		{"deeply nested", `20`, strings.Repeat("[", 20_000), "exceeded max depth"},
		{"start in nanoseconds", `"slots"`, `"start": 1700000000000000000, "slots"`, "start 1700000000000000000 must be"},
		{"seq of 64 bits", `"slots"`, `"seq": 18446744073709551615, "slots"`, "seq 18446744073709551615 must be"},
		{"line break in the id", `"slots"`, `"id": "i\r\nX: y", "slots"`, "must be valid in a header"},
		{"too long", `payout`, strings.Repeat("a", 1<<17), "too large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(f.put(validBody), http.StatusNoContent)
			before, updates := f.memberEntry(), f.updates
			code, body := f.request(context.Background(), http.MethodPut, strings.Replace(validBody, c.old, c.replacement, 1))
			var got struct{ Error string }
			is.NoErr(json.Unmarshal([]byte(body), &got))
			is.Equal(code, http.StatusBadRequest)
			is.True(strings.Contains(got.Error, c.want)) // the message names the invalid field
			is.Equal(f.memberEntry(), before)            // nothing changes
			is.Equal(f.updates, updates)
			_, ok := f.Upstream()
			is.True(ok)
		})
	}
}

// TestSince guards against a cold upstream that gets full load, and against a slow start after each repeated announcement.
func TestSince(t *testing.T) {
	cases := []struct {
		name, second string
		wait         time.Duration
		newStart     bool
	}{
		{"repeat", validBody, 5 * time.Second, false},
		{"repeat just before expiry", validBody, 14900 * time.Millisecond, false},
		{"repeat after expiry", validBody, 16 * time.Second, true},
		{"address", strings.Replace(validBody, "9000", "9001", 1), time.Second, true},
		{"service", strings.Replace(validBody, "payout", "seller", 1), time.Second, true},
		{"restart between two announcements", strings.Replace(validBody, "{", `{"start": 7, `, 1), time.Second, true},
		{"slots", strings.Replace(validBody, "20", "10", 1), time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture()
				is.Equal(f.put(validBody), http.StatusNoContent)
				first := f.memberEntry().Since
				time.Sleep(c.wait)
				is.Equal(f.put(c.second), http.StatusNoContent)
				is.True(f.memberEntry().Ready)
				is.Equal(f.memberEntry().Since > first, c.newStart)
				u, ok := f.Upstream()
				is.True(ok)
				is.Equal(u.Slots, f.memberEntry().Slots)
			})
		})
	}
}

// TestLapse guards against routing calls to an upstream that no longer announces itself.
func TestLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- f.Run(ctx) }()
		is.Equal(f.put(validBody), http.StatusNoContent)
		time.Sleep(14 * time.Second)
		is.Equal(f.put(validBody), http.StatusNoContent)
		time.Sleep(14 * time.Second)
		synctest.Wait()
		is.True(f.memberEntry().Ready)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		is.True(!f.memberEntry().Ready)
		_, ok := f.Upstream()
		is.True(!ok)
		code, _ := f.request(ctx, http.MethodGet, "")
		is.Equal(code, http.StatusNotFound)
		cancel()
		<-ended
	})
}

// TestDelete guards against new calls to an upstream that is leaving, and against an answer to its leave before its last
// call has ended.
func TestDelete(t *testing.T) {
	cases := []struct {
		name    string
		drained bool // the last call ends before the request's context does
		code    int
	}{
		{"drained", true, http.StatusNoContent},
		{"request ends first", false, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture()
				is.Equal(f.put(validBody), http.StatusNoContent)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				codes := make(chan int, 1)
				go func() {
					code, _ := f.request(ctx, http.MethodDelete, "")
					codes <- code
				}()
				synctest.Wait()
				is.True(!f.memberEntry().Ready) // at once
				_, ok := f.Upstream()
				is.True(!ok)
				is.Equal(len(codes), 0)                         // a call is still in flight
				is.Equal(f.put(validBody), http.StatusConflict) // an announcement that was sent before the leave
				is.True(!f.memberEntry().Ready)
				if c.drained {
					close(f.callsDone)
				}
				is.Equal(<-codes, c.code)
				is.Equal(f.put(validBody), http.StatusNoContent) // a new start
				is.True(f.memberEntry().Ready)
			})
		})
	}
}

// TestLeave guards against accepting an announcement while the daemon is stopping.
func TestLeave(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.put(validBody), http.StatusNoContent)
	code, body := f.request(context.Background(), http.MethodGet, "")
	is.Equal(code, http.StatusOK)
	is.True(strings.Contains(body, `"address":"127.0.0.1:9000"`))
	f.Leave()
	is.True(!f.memberEntry().Ready)
	is.Equal(f.put(validBody), http.StatusServiceUnavailable)
	is.True(!f.memberEntry().Ready)
}

// TestPutWire guards against a new field in wire.Upstream that the API does not know: the stand-in encodes its
// announcements from that type, and the API rejects unknown fields.
func TestPutWire(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	data, err := json.Marshal(wire.Upstream{
		ID: "i", Service: "payout", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: 20, Conns: 130, Start: 1,
	})
	is.NoErr(err)
	status, _ := f.request(context.Background(), http.MethodPut, string(data))
	is.Equal(status, http.StatusNoContent)
}

// TestCrossing guards against an announcement that was sent before a leave but arrives after it, as happens when the daemon's
// process is paused: it must not attract calls to an upstream that has left.
func TestCrossing(t *testing.T) {
	const format = `{"service": "payout", "address": "127.0.0.1:9000", "slots": 2, "conns": 4, "start": %d, "seq": %d}`
	for _, tt := range []struct {
		name       string
		start, seq int
		code       int
	}{
		{"sent before the leave", 1000, 6, http.StatusConflict},
		{"earlier process", 999, 50, http.StatusConflict},
		{"sent after the leave", 1000, 8, http.StatusNoContent},
		{"new process", 1001, 1, http.StatusNoContent},
		{"not numbered", 1000, 0, http.StatusNoContent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			close(f.callsDone)
			is.Equal(f.put(fmt.Sprintf(format, 1000, 5)), http.StatusNoContent)
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/upstream?start=1000&seq=7", nil))
			is.Equal(w.Code, http.StatusNoContent)
			is.Equal(f.put(fmt.Sprintf(format, tt.start, tt.seq)), tt.code)
			is.Equal(f.memberEntry().Ready, tt.code == http.StatusNoContent)
		})
	}
	for name, query := range map[string]string{
		"not a number":         "seq=x",
		"start in nanoseconds": "start=1700000000000000000&seq=7",
		"negative start":       "start=-1&seq=7",
		"seq of 64 bits":       "start=1000&seq=18446744073709551615",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(f.put(validBody), http.StatusNoContent)
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/upstream?"+query, nil))
			is.Equal(w.Code, http.StatusBadRequest)
			is.True(f.memberEntry().Ready) // the upstream has not left
		})
	}
}

// TestUnnumberedLeave guards against a leave without a number that makes the daemon forget the number of an earlier one, so
// that a late announcement is accepted.
func TestUnnumberedLeave(t *testing.T) {
	const format = `{"service": "payout", "address": "127.0.0.1:9000", "slots": 2, "conns": 4, "start": 1000, "seq": %d}`
	is := is.New(t)
	f := newFixture()
	close(f.callsDone)
	is.Equal(f.put(fmt.Sprintf(format, 5)), http.StatusNoContent)
	for _, path := range []string{"/v1/upstream?start=1000&seq=7", "/v1/upstream"} {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, path, nil))
		is.Equal(w.Code, http.StatusNoContent)
	}
	is.Equal(f.put(fmt.Sprintf(format, 6)), http.StatusConflict)
	is.True(!f.memberEntry().Ready)
}
