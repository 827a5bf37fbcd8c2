package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/forwarder"
)

// serveReplies answers the requests on each connection with the replies in order and closes it after the last one. It
// returns the number of requests.
func (m *mesh) serveReplies(replies ...string) *atomic.Int32 {
	var requests atomic.Int32
	m.rawUpstream(func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for _, reply := range replies {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			requests.Add(1)
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, reply)
		}
	})
	return &requests
}

// manyFields is a header of legal size with very many fields.
func manyFields() string {
	var b strings.Builder
	for i := range 20_000 {
		b.WriteString(strconv.Itoa(i) + ":\r\n")
	}
	return b.String()
}

// TestMalformedAnswer guards against passing on a response of the upstream that is not valid HTTP, or whose header takes
// very much memory. The call may have run.
func TestMalformedAnswer(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		length  = "Content-Length: 4\r\n\r\nbody"
		chunks  = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
		tooLong = 300 << 10
	)
	for name, reply := range map[string]string{
		"blank in the name of a field":         ok + "Some Field: x\r\n" + length,
		"blank after the name of a field":      ok + "Field : x\r\n" + length,
		"blank after the name of the length":   ok + "Content-Length : 2\r\n" + length,
		"blank after the name of the encoding": ok + "Transfer-Encoding : chunked\r\n" + length,
		"control byte in the name of a field":  ok + "Fi\x01eld: x\r\n" + length,
		"control byte in the value of a field": ok + "Field: x\x01\r\n" + length,
		"no name":                              ok + ": x\r\n" + length,
		"blank in an interim response":         "HTTP/1.1 103 Early Hints\r\nSome Field: x\r\n\r\n" + ok + length,
		"blank in the trailer":                 ok + chunks + "Some Field: x\r\n\r\n",
		"length in the trailer":                ok + chunks + "Content-Length: 2\r\n\r\n",
		"status 000":                           "HTTP/1.1 000 Trouble\r\n" + length,
		"status 099":                           "HTTP/1.1 099 Trouble\r\n" + length,
		"status 101":                           "HTTP/1.1 101 Switching Protocols\r\n" + length,
		"status 600":                           "HTTP/1.1 600 Trouble\r\n" + length,
		"status with a sign":                   "HTTP/1.1 +20 Trouble\r\n" + length,
		"other protocol":                       "HTTP/2.0 200 OK\r\n\r\npart",
		"length and encoding":                  ok + "Content-Length: 4\r\n" + chunks + "\r\n",
		"folded field":                         ok + "Field: x\r\n Content-Length: 2\r\n" + length,
		"no length":                            ok + "\r\npart",
		"header too long":                      ok + "Field: " + strings.Repeat("x", tooLong) + "\r\n" + length,
		"header of many lines":                 ok + strings.Repeat("Field: "+strings.Repeat("x", 990)+"\r\n", tooLong/1000) + length,
		"interim responses too long":           strings.Repeat("HTTP/1.1 103 Early Hints\r\nField: "+strings.Repeat("x", 990)+"\r\n\r\n", tooLong/1000) + ok + length,
		"many fields":                          ok + manyFields() + length,
	} {
		run(t, name, 1, func(m *mesh) {
			m.serveReplies(reply)
			resp, _, err := m.call("GET", "stock", "")
			m.expect(resp, err, http.StatusBadGateway, forwarder.OutcomeUnknown)
		})
		run(t, name+", call with a claim", 1, func(m *mesh) {
			m.service = "payout"
			requests := m.serveReplies(reply)
			resp, _, err := m.call("POST", "payout", "10 won", forwarder.HeaderIdempotencyKey, newKey(bubbleStart))
			m.expect(resp, err, http.StatusBadGateway, forwarder.OutcomeUnknown)
			m.is.Equal(requests.Load(), int32(1))
			m.is.Equal(len(m.claims.done), 0) // a malformed response is not replayed
		})
	}
}

// TestMalformedNotRepeated guards against a call that is sent again, without the budget for retries, after a malformed
// response on a connection that has carried another call.
func TestMalformedNotRepeated(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for name, bad := range map[string]string{
		"status":     "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody",
		"field name": "HTTP/1.1 200 OK\r\nSome Field: x\r\nContent-Length: 4\r\n\r\nbody",
	} {
		run(t, name, 1, func(m *mesh) {
			requests := m.serveReplies(good, bad)
			resp, body, err := m.call("GET", "stock", "")
			m.expect(resp, err, http.StatusOK, "")
			m.is.Equal(body, "body")
			resp, _, err = m.call("GET", "stock", "")
			m.expect(resp, err, http.StatusBadGateway, forwarder.OutcomeUnknown)
			m.is.Equal(requests.Load(), int32(2))
		})
	}
}

// TestMalformedStored guards against replaying a stored response that is not valid HTTP, for example one that an earlier
// build has stored.
func TestMalformedStored(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		kind   string
	}{
		"no status":                {0, "text/plain"},
		"status 101":               {101, "text/plain"},
		"status 600":               {600, "text/plain"},
		"control byte in the type": {200, "text\x01plain"},
	} {
		run(t, name, 1, func(m *mesh) {
			m.service = "payout"
			requests := m.serveReplies("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
			key := newKey(bubbleStart)
			resp, _, err := m.call("POST", "payout", "10 won", forwarder.HeaderIdempotencyKey, key)
			m.expect(resp, err, http.StatusOK, "")
			m.claims.change(key, func(stored *wire.Claim) { stored.Status, stored.Kind = c.status, c.kind })
			resp, _, err = m.call("POST", "payout", "10 won", forwarder.HeaderIdempotencyKey, key)
			m.expect(resp, err, http.StatusConflict, "")
			m.is.Equal(requests.Load(), int32(1))
		})
	}
}

// change changes the stored response of a call.
func (c *claims) change(key string, change func(*wire.Claim)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stored := c.grants[key]
	change(&stored)
	c.grants[key] = stored
}

// TestEndlessAnswer guards against a body without end that is kept in memory, and against taking what arrived until the
// deadline for the whole.
func TestEndlessAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"stated length": "HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n",
		"chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length":     "HTTP/1.1 200 OK\r\n\r\n",
	} {
		run(t, name, 1, func(m *mesh) {
			line := strings.Repeat("x", 1000)
			if name == "chunks" {
				line = "3e8\r\n" + line + "\r\n"
			}
			var sent atomic.Int64
			m.rawUpstream(func(conn net.Conn) {
				_ = readRequest(conn)
				_, _ = io.WriteString(conn, head)
				for {
					n, err := io.WriteString(conn, line)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			req, err := http.NewRequest(http.MethodGet, "http://stock/run", nil)
			m.is.NoErr(err)
			resp, err := m.client.Do(req)
			m.is.NoErr(err)
			defer resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				_, err = io.CopyN(io.Discard, resp.Body, 1<<10) // and then the caller stops reading until the deadline
				m.is.NoErr(err)
				m.untilDeadline()
				_, err = io.Copy(io.Discard, resp.Body)
				m.is.True(err != nil) // the body does not look complete
			} else {
				m.expect(resp, nil, http.StatusBadGateway, forwarder.OutcomeUnknown)
			}
			m.is.True(sent.Load() < maxHeldBytes)
		})
	}
}

// maxHeldBytes is more than what both daemons and the caller buffer of a body that the caller does not read.
const maxHeldBytes = 1 << 20

// untilDeadline waits until the deadline of a call that began earlier has passed.
func (m *mesh) untilDeadline() {
	time.Sleep(longestLimit)
}

// longestLimit is the longest call limit of the services of a mesh.
const longestLimit = 10 * time.Second
