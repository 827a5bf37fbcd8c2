package forwarder_test

import (
	"bufio"
	"io"
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

	"bluebellhoist/core/compiler"
	"bluebellhoist/daemon/forwarder"
)

// readRequest reads one whole request from a raw connection.
func readRequest(conn net.Conn) bool {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// TestOnce guards against a second run of a call with a claim when a connection breaks at any point, the verdict is
// lost, or the caller sends the call again.
func TestOnce(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\npaid"
	cases := []struct {
		name string
		// reads is the number of bytes that the upstream reads before it closes the connection. -1 means the whole request,
		// -2 that the upstream starts after the first call.
		reads                int
		answer               string
		lose                 int // verdicts to lose
		status, repeatStatus int // of the call, and of a later call with the same key
		outcome              string
		runs                 int
	}{
		{"answered", -1, ok, 0, 200, 200, "", 1},
		{"unreachable at first", -2, ok, 0, 503, 200, "not-run", 1},
		{"closed before the write", 0, "", 0, 409, 409, "unknown", 0},
		{"closed during the write", 20, "", 0, 409, 409, "unknown", 0},
		{"closed after the write", -1, "", 0, 409, 409, "unknown", 1},
		{"closed during the response", -1, ok[:60], 0, 409, 409, "unknown", 1},
		{"response too long to store", -1, strings.Replace(ok, " 4\r\n\r\n", " 2000\r\n\r\n"+strings.Repeat("x", 1996), 1), 0, 200, 409, "", 1},
		{"one verdict lost", -1, ok, 1, 200, 200, "", 1},
		{"all verdicts lost", -1, ok, 3, 503, 200, "not-run", 1},
		{"shed", -1, strings.Replace(ok, "200 OK", "503 Busy", 1), 0, 503, 503, "", 1},
	}
	for _, c := range cases {
		run(t, c.name, 4, func(m *mesh) {
			m.service = "payout"
			m.claims.loseAnswers = c.lose
			var runs, conns atomic.Int32
			upstream := func(conn net.Conn) {
				conns.Add(1)
				if c.reads >= 0 {
					_, _ = io.ReadFull(conn, make([]byte, c.reads))
				} else if readRequest(conn) {
					runs.Add(1)
					_, _ = io.WriteString(conn, c.answer)
				}
			}
			if c.reads != -2 {
				m.rawUpstream(upstream)
			}
			key := newKey(bubbleStart)
			resp, _, err := m.call("POST", "payout", "10 won", forwarder.HeaderIdempotencyKey, key)
			m.expect(resp, err, c.status, c.outcome)
			if c.reads == -2 {
				m.is.Equal(m.limiterOutcomes[0].Result, forwarder.Unreachable)
				m.is.Equal(len(m.claims.grants), 0) // the claim of a call that was not sent is released
				m.rawUpstream(upstream)
			}
			resp, body, err := m.call("POST", "payout", "10 won", forwarder.HeaderIdempotencyKey, strings.ToUpper(key))
			m.is.NoErr(err)
			m.is.Equal(resp.StatusCode, c.repeatStatus)
			m.is.Equal(resp.Header.Get(forwarder.HeaderReplayed) != "", c.repeatStatus != 409 && c.status != 503 || c.name == "shed")
			m.is.True(c.repeatStatus == 409 || body == "paid")
			m.is.Equal(int(runs.Load()), c.runs)
			m.is.Equal(int(conns.Load()), 1) // the call is sent at most once
			resp, _, err = m.call("POST", "payout", "99 won", forwarder.HeaderIdempotencyKey, key)
			m.expect(resp, err, 422, "not-run")
		})
	}
}

// TestClaimDecision guards against running a call without a claim on a daemon that has no configuration, against
// running a request twice that was delivered twice, and against treating two spellings of a key as two claims.
func TestClaimDecision(t *testing.T) {
	const key = "019b0000-0000-7000-8000-00000000000a"
	cases := []struct {
		name, once  string
		hasSnapshot bool      // the ingress side holds a snapshot
		keys, want  [2]string // for each of two deliveries
		runs, size  int
	}{
		{"egress says once", "true", false, [2]string{key, key}, [2]string{"502", "409"}, 1, 1 << 20},
		{"ingress knows once", "false", true, [2]string{key, strings.ToUpper(key)}, [2]string{"502", "409"}, 1, 1},
		{"too large", "true", false, [2]string{key, key}, [2]string{"413", "413"}, 0, 1<<20 + 1},
		{"no key", "false", true, [2]string{}, [2]string{"400", "400"}, 0, 1},
		{"not by a daemon", "", false, [2]string{key, key}, [2]string{"400", "400"}, 0, 1},
	}
	for _, c := range cases {
		run(t, c.name, 0, func(m *mesh) {
			m.service = "payout"
			var runs atomic.Int32
			m.upstream(func(http.ResponseWriter, *http.Request) { runs.Add(1); panic(http.ErrAbortHandler) })
			f := m.newIngress()
			if c.hasSnapshot {
				forwarder.WithSnapshot(func() *compiler.Snapshot { return m.snapshot })(f)
			}
			for i, key := range c.keys {
				req := httptest.NewRequest("POST", "http://payout", strings.NewReader(strings.Repeat("x", c.size)))
				for name, value := range map[string]string{forwarder.HeaderClass: "urgent", forwarder.HeaderAttempt: "same",
					forwarder.HeaderOnce: c.once, "Bluebell-" + forwarder.HeaderIdempotencyKey: key} {
					req.Header.Set(name, value)
				}
				w := httptest.NewRecorder()
				f.Ingress().ServeHTTP(w, req)
				m.is.Equal(strconv.Itoa(w.Code), c.want[i])
			}
			m.is.Equal(int(runs.Load()), c.runs)
		})
	}
}

// TestReusedConnection guards against net/http repeating a call on its own when a reused connection breaks after the
// write, which it does for every request with an idempotency key.
func TestReusedConnection(t *testing.T) {
	cases := []struct {
		service, header string
		status          int
	}{
		{"stock", "None", 502},
		{"stock", forwarder.HeaderIdempotencyKey, 502},
		{"stock", "X-Idempotency-Key", 502},
		{"payout", forwarder.HeaderIdempotencyKey, 409}, // the egress side retries and is denied the claim
	}
	for _, c := range cases {
		run(t, c.service+" "+c.header, 3, func(m *mesh) {
			m.service = c.service
			var runs atomic.Int32
			m.rawUpstream(func(conn net.Conn) {
				for readRequest(conn) && runs.Add(1) == 1 {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			resp, _, err := m.call("GET", c.service, "", c.header, newKey(bubbleStart))
			m.expect(resp, err, 200, "")
			resp, _, err = m.call("POST", c.service, "", c.header, newKey(bubbleStart))
			m.expect(resp, err, c.status, "unknown")
			m.is.Equal(int(runs.Load()), 2)
		})
	}
}

// TestCancellation guards against upstreams that continue to work after the caller has disconnected or the deadline has
// passed, and against losing the response of a call with a claim whose caller has disconnected.
func TestCancellation(t *testing.T) {
	cases := []struct {
		name, service string
		cancelAfter   time.Duration // when the caller disconnects
		upstreamEnds  time.Duration // when the handler of the upstream returns
		result        forwarder.Result
		repeatStatus  int
	}{
		{"caller disconnects", "stock", time.Second, time.Second, forwarder.Canceled, 0},
		{"deadline", "stock", time.Hour, 9980 * time.Millisecond, forwarder.Timeout, 0},
		{"caller of a claimed call disconnects", "payout", time.Second, 4 * time.Second, forwarder.Success, 200},
	}
	for _, c := range cases {
		run(t, c.name, 1, func(m *mesh) {
			m.service = c.service
			started := time.Now()
			var ended time.Duration
			m.upstream(func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
				case <-time.After(4 * time.Second):
					if c.service == "stock" {
						<-r.Context().Done()
					}
				}
				ended = time.Since(started)
			})
			key := newKey(bubbleStart)
			m.client.Timeout = c.cancelAfter
			resp, _, err := m.call("GET", c.service, "", forwarder.HeaderIdempotencyKey, key)
			if c.cancelAfter == time.Hour {
				m.expect(resp, err, 504, "unknown")
			} else {
				m.is.True(err != nil)
			}
			time.Sleep(5 * time.Second)
			synctest.Wait()
			m.is.Equal(ended, c.upstreamEnds)
			m.is.Equal(m.limiterOutcomes[0].Result, c.result) // result reported to the limiter
			if c.repeatStatus != 0 {
				resp, _, err := m.call("GET", c.service, "", forwarder.HeaderIdempotencyKey, key)
				m.expect(resp, err, c.repeatStatus, "")
				m.is.Equal(resp.Header.Get(forwarder.HeaderReplayed), "true")
			}
		})
	}
}

// TestConns guards against opening more connections than the upstream accepts when reused and new connections mix.
func TestConns(t *testing.T) {
	run(t, "mesh", 1, func(m *mesh) {
		m.maxConns = 4
		m.upstream(func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) })
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				header := []string{}
				if i%2 == 0 {
					header = []string{forwarder.HeaderIdempotencyKey, "k"} // sent on a new connection
				}
				resp, _, err := m.call("POST", "stock", "x", header...)
				m.expect(resp, err, 200, "")
			})
		}
		wg.Wait()
		m.is.Equal(m.net.maxOpenConns(), 4)
	})
}
