package forwarder_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bluebellhoist/core/keyer"
	"bluebellhoist/daemon/forwarder"
)

// TestEgressRefuses guards against sending calls that the configuration, the call depth or the idempotency key forbids.
func TestEgressRefuses(t *testing.T) {
	const key = forwarder.HeaderIdempotencyKey
	cases := []struct {
		name, service string
		header        []string
		status        int
		outcome       string
	}{
		{"unknown service", "nobody", nil, 404, "not-run"},
		{"lapsed", "lapsed", nil, 410, "not-run"},
		{"no configuration", "none", nil, 503, "not-run"},
		{"call depth exceeded", "stock", []string{forwarder.HeaderDepth, "16"}, 508, "not-run"},
		{"bad depth", "stock", []string{forwarder.HeaderDepth, "-1"}, 400, "not-run"},
		{"bad class", "stock", []string{forwarder.HeaderClass, "fast"}, 400, "not-run"},
		{"bad deadline", "stock", []string{forwarder.HeaderDeadline, "soon"}, 400, "not-run"},
		{"deadline passed", "stock", []string{forwarder.HeaderDeadline, "0"}, 504, "not-run"},
		{"no key", "payout", nil, 400, "not-run"},
		{"two keys", "payout", []string{key, newKey(bubbleStart), key, newKey(bubbleStart)}, 400, "not-run"},
		{"not version 7", "payout", []string{key, "6ba7b810-9dad-11d1-80b4-00c04fd430c8"}, 400, "not-run"},
		{"other spelling", "payout", []string{key, "{" + newKey(bubbleStart) + "}"}, 400, "not-run"},
		{"old key", "payout", []string{key, newKey(bubbleStart.Add(-keyer.MaxAge - time.Minute))}, 409, "unknown"},
		{"key from the future", "payout", []string{key, newKey(bubbleStart.Add(6 * time.Minute))}, 400, "not-run"},
		{"no member", "stock", nil, 503, "not-run"},
		{"HTTP/1.0 cannot signal a truncated response", "old", nil, 505, "not-run"},
	}
	for _, c := range cases {
		run(t, c.name, 0, func(m *mesh) {
			switch c.service {
			case "lapsed":
				m.snapshot = snapshot(m.t, time.Now())
			case "none":
				m.snapshot = nil
			}
			req := httptest.NewRequest("POST", "http://"+c.service, strings.NewReader("x"))
			for i := 0; i < len(c.header); i += 2 {
				req.Header.Add(c.header[i], c.header[i+1])
			}
			if c.service == "old" {
				req.ProtoMinor = 0
			}
			w := httptest.NewRecorder()
			m.egress.Egress().ServeHTTP(w, req)
			m.expect(w.Result(), nil, c.status, c.outcome)
			var report struct{ Error, Outcome string }
			m.is.NoErr(json.Unmarshal(w.Body.Bytes(), &report))
			m.is.Equal(report.Outcome, c.outcome)
			m.is.True(report.Error != "")                    // the body states the reason
			m.is.True(m.picks == 0 || c.name == "no member") // nothing was sent
			m.is.True(len(m.metrics.ListMetricNames()) > 0)  // the refusal is counted
		})
	}
}

// TestHeaders guards against callers that raise their priority class, extend their deadline or impersonate a daemon,
// and against lost headers and trailers.
func TestHeaders(t *testing.T) {
	cases := []struct{ service, class, wantClass, deadline, wantDeadline, depth, wantDepth string }{
		{"stock", "", "normal", "", "9960", "", "1"},
		{"stock", "bulk", "bulk", "5000", "4960", "3", "4"},
		{"archive", "urgent", "bulk", "99999", "9960", "15", "16"},
	}
	for _, c := range cases {
		run(t, c.service, 1, func(m *mesh) {
			m.service = c.service
			var got *http.Request
			m.upstream(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				got = r
				w.Header().Set("Trailer", "Sum")
				w.Header().Set(forwarder.HeaderOutcome, "not-run")
				w.Header().Set("Connection", "Secret")
				w.Header().Set("Secret", "1")
				fmt.Fprint(w, "answer")
				w.Header().Set("Sum", "9")
			})
			req, err := http.NewRequest("POST", "http://"+c.service+".mesh:8080/a%2Fb?c=%20d", strings.NewReader("body"))
			m.is.NoErr(err)
			req.ContentLength = -1
			req.Trailer = http.Header{"Check": {"7"}}
			for name, value := range map[string]string{
				forwarder.HeaderClass: c.class, forwarder.HeaderDeadline: c.deadline, forwarder.HeaderDepth: c.depth,
				forwarder.HeaderBatch: "forged", "X-Forwarded-For": "198.51.100.1", "Connection": "Private", "Private": "1",
				"Kept": "1", "Proxy-Authorization": "1",
			} {
				if value != "" {
					req.Header.Set(name, value)
				}
			}
			resp, err := m.client.Do(req)
			m.is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			m.is.NoErr(err)
			m.is.Equal(string(body), "answer")
			m.is.Equal(resp.Trailer.Get("Sum"), "9")
			m.is.Equal(resp.Header.Get("Secret")+resp.Header.Get(forwarder.HeaderOutcome)+resp.Header.Get(forwarder.HeaderLoad), "")
			m.is.Equal(got.RequestURI, "/a%2Fb?c=%20d")
			m.is.Equal(got.Trailer.Get("Check"), "7")
			for name, want := range map[string]string{
				forwarder.HeaderClass: c.wantClass, forwarder.HeaderDeadline: c.wantDeadline, forwarder.HeaderDepth: c.wantDepth,
				forwarder.HeaderBatch: "counter", "X-Forwarded-For": "198.51.100.1, 192.0.2.7", "Private": "", "Kept": "1",
				"Proxy-Authorization": "", "User-Agent": "Go-http-client/1.1",
			} {
				m.is.Equal(got.Header.Get(name), want) // header received by the upstream
			}
			m.is.Equal(m.routerOutcomes[0].Load, 3)
		})
	}
}

// TestOwnAnswers guards against responses that reach another caller or are incomplete when many calls run concurrently
// and are answered after random delays.
func TestOwnAnswers(t *testing.T) {
	run(t, "mesh", 2, func(m *mesh) {
		m.maxConns = 100
		m.upstream(func(w http.ResponseWriter, r *http.Request) {
			size, _ := strconv.Atoi(r.Header.Get("Size"))
			data, _ := io.ReadAll(r.Body)
			time.Sleep(time.Duration(size%997) * time.Millisecond)
			for range size {
				_, _ = w.Write(data)
			}
		})
		random := rand.New(rand.NewPCG(1, 2))
		var wg sync.WaitGroup
		for i := range 100 {
			size := random.IntN(20000) + 1
			wg.Go(func() {
				id := fmt.Sprintf("[%08d]", i)
				resp, body, err := m.call("POST", "stock", id, "Size", strconv.Itoa(size))
				if err != nil || resp.StatusCode != 200 || body != strings.Repeat(id, size) {
					m.t.Errorf("call %d: error %v, %d bytes, want %d", i, err, len(body), size*len(id))
				}
			})
		}
		wg.Wait()
	})
}

// TestBrokenAnswers guards against truncated responses that look complete, and against repeating calls that may have
// run.
func TestBrokenAnswers(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	cases := []struct {
		name, method, answer string
		status, runs         int // status 0: the connection to the caller is aborted
	}{
		{"nothing", "POST", "", 502, 1},
		{"no response to GET", "GET", "", 502, 3},
		{"truncated header", "POST", "HTTP/1.1 200 OK\r\nContent-", 502, 1},
		{"shorter than Content-Length", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 502, 1},
		{"no last chunk", "PATCH", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 502, 1},
		{"no framing", "POST", "HTTP/1.1 200 OK\r\n\r\nabc", 502, 1},
		{"long", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + long, 0, 1},
		{"long truncated response to GET", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + long + "\r\n", 0, 1},
		{"switched protocol", "POST", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", 502, 1},
	}
	for _, c := range cases {
		run(t, c.name, 4, func(m *mesh) {
			var runs atomic.Int32
			m.rawUpstream(func(conn net.Conn) {
				readRequest(conn)
				runs.Add(1)
				_, _ = io.WriteString(conn, c.answer)
			})
			resp, _, err := m.call(c.method, "stock", "")
			m.is.Equal(int(runs.Load()), c.runs)
			if c.status == 0 {
				m.is.True(err != nil) // the caller detects the truncation
				return
			}
			m.expect(resp, err, c.status, "unknown")
		})
	}
}

// TestNotRun guards against calls that ran although their outcome is not-run, and against giving up while another
// member would accept the call.
func TestNotRun(t *testing.T) {
	handlers := map[rune]http.Handler{
		'd': nil, // dead: refuses connections
		'r': http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(forwarder.HeaderOutcome, "not-run")
			w.WriteHeader(503)
		}),
		'b': http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
	}
	cases := []struct {
		name, members   string // members: the kinds of members attempted before a healthy one
		body            int
		status, retries int
		outcome         string
	}{
		{"none", "", 1, 200, 0, ""},
		{"refused", "rr", 1, 200, 2, ""},
		{"dead", "dd", 1, 200, 2, ""},
		{"dead with a long body", "d", 100 << 10, 200, 1, ""},
		{"too many", "rdr", 1, 503, 2, "not-run"},
		{"long body read", "r", 100 << 10, 503, 0, "not-run"},
		{"broken", "bb", 1, 200, 2, ""},
		{"broken, then refused", "brr", 1, 502, 2, "unknown"},
		{"refused, then broken", "rrb", 1, 502, 2, "unknown"},
	}
	for _, c := range cases {
		run(t, c.name, 0, func(m *mesh) {
			for _, kind := range c.members {
				m.addMember(handlers[kind])
			}
			m.addMember(m.newIngress().Ingress())
			var runs atomic.Int32
			m.upstream(func(_ http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				m.is.Equal(len(data), c.body)
				runs.Add(1)
			})
			resp, _, err := m.call("PUT", "stock", strings.Repeat("x", c.body))
			m.expect(resp, err, c.status, c.outcome)
			m.is.Equal(runs.Load() == 1, c.status == 200) // not-run means that it did not run
			m.is.Equal(m.picks-1, c.retries)
		})
	}
}

// TestRetryBudget guards against retries that multiply the load of a service whose members all refuse calls.
func TestRetryBudget(t *testing.T) {
	run(t, "mesh", 4, func(m *mesh) {
		m.slotErr = fmt.Errorf("queue full")
		const calls = 200
		for range calls {
			resp, _, err := m.call("GET", "stock", "")
			m.expect(resp, err, 503, "not-run")
		}
		m.is.Equal(m.picks, calls+calls/10+10)
		resp, _, err := m.call("GET", "archive", "") // another service has its own budget
		m.expect(resp, err, 503, "not-run")
		m.is.Equal(m.picks, calls+calls/10+10+3)
	})
}

// TestSilentConnection guards against calls with a long body that wait for their deadline on a silent connection
// although new connections work.
func TestSilentConnection(t *testing.T) {
	long := strings.Repeat("x", 70<<10) // too long to be buffered
	for method, status := range map[string]int{"PUT": 502, "POST": 502} {
		run(t, method, 0, func(m *mesh) {
			var once sync.Once
			ingress := m.newIngress().Ingress()
			m.addMember(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				once.Do(func() { m.net.silence(m.members[0].Addr); <-r.Context().Done() })
				ingress.ServeHTTP(w, r)
			}))
			m.addMember(ingress)
			m.upstream(func(http.ResponseWriter, *http.Request) {})
			started := time.Now()
			resp, _, err := m.call(method, "stock", long)
			m.expect(resp, err, status, map[int]string{502: "unknown"}[status])
			m.is.True(time.Since(started) <= 2*time.Second) // synctest time: two ping timeouts
			resp, _, err = m.call(method, "stock", long)
			m.expect(resp, err, 200, "")
		})
	}
}

// TestEnd guards against batch expiry or a planned stop that interrupts calls in flight or admits new ones.
func TestEnd(t *testing.T) {
	run(t, "mesh", 0, func(m *mesh) {
		ingress := m.newIngress()
		m.addMember(ingress.Ingress())
		m.upstream(func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Second) })
		call := func(status int, outcome string) *http.Response {
			resp, _, err := m.call("POST", "stock", "")
			m.expect(resp, err, status, outcome)
			return resp
		}
		m.snapshot = snapshot(m.t, time.Now().Add(time.Second))
		var wg sync.WaitGroup
		wg.Go(func() { call(200, "") })
		time.Sleep(time.Second)
		call(410, "not-run") // the batch has expired
		m.snapshot = snapshot(m.t, time.Now().Add(time.Hour))
		started := time.Now()
		wg.Go(func() {
			m.is.NoErr(ingress.Drain(m.t.Context()))
			m.is.Equal(time.Since(started), time.Second) // the call in flight ends first
		})
		synctest.Wait()
		call(503, "not-run")
		wg.Wait()
		m.is.NoErr(m.egress.Drain(m.t.Context()))
		m.is.True(call(503, "not-run").Close) // callers move to another daemon
	})
}

// TestStuckCaller guards against callers that stop sending or reading and thereby block a planned stop.
func TestStuckCaller(t *testing.T) {
	cases := []struct {
		name, request string
		runs          int32
		drainTime     time.Duration
	}{
		{"incomplete body", "POST / HTTP/1.1\r\nHost: stock\r\nContent-Length: 9\r\n\r\nhalf", 0, 10 * time.Second},
		{"incomplete long body", "POST / HTTP/1.1\r\nHost: stock\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 80000), 0, 10 * time.Second},
		{"response not read", "GET / HTTP/1.1\r\nHost: stock\r\n\r\n", 1, 75 * time.Second},
	}
	for _, c := range cases {
		run(t, c.name, 1, func(m *mesh) {
			var runs atomic.Int32
			m.upstream(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					runs.Add(1)
					fmt.Fprint(w, strings.Repeat("x", 20<<10))
				}
			})
			conn, err := m.net.dial(m.t.Context(), egressAddr)
			m.is.NoErr(err)
			started := time.Now()
			_, err = io.WriteString(conn, c.request)
			m.is.NoErr(err)
			synctest.Wait()
			m.is.NoErr(m.egress.Drain(m.t.Context()))
			m.is.Equal(time.Since(started), c.drainTime)
			m.is.Equal(runs.Load(), c.runs)
			m.is.NoErr(conn.Close())
		})
	}
}
