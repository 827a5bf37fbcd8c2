package forwarder_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bluebellhoist/daemon/forwarder"
)

// TestLateInStop guards against a call that arrives late in a planned stop, is passed on and then cut off by the end of the
// process without an answer. Calls that end in time are still served.
func TestLateInStop(t *testing.T) {
	const grace = 5 * time.Second
	for name, c := range map[string]struct {
		after         time.Duration // from the beginning of the stop to the call, or to the body of a call
		deadline      string        // of the call, in milliseconds; empty for the limit of the service
		startedBefore bool          // the header of the call arrives before the stop begins
		served        bool
		nested        bool // a run makes the call
	}{
		"early, may outlast the stop":         {0, "", false, false, false},
		"early, ends in time":                 {0, "4000", false, true, false},
		"late, may outlast the stop":          {4 * time.Second, "4000", false, false, false},
		"late, ends in time":                  {4 * time.Second, "500", false, true, false},
		"body arrives during the stop":        {time.Second, "", true, false, false},
		"body arrives, the call ends in time": {time.Second, "4000", true, true, false},
		"late, made by a run":                 {4 * time.Second, "4000", false, true, true},
	} {
		run(t, name, 1, func(m *mesh) {
			var runs atomic.Int32
			m.upstream(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			conn, err := m.net.dial(m.t.Context(), egressAddr)
			m.is.NoErr(err)
			header := "POST /run HTTP/1.1\r\nHost: stock\r\nContent-Length: 4\r\n"
			if c.deadline != "" {
				header += forwarder.HeaderDeadline + ": " + c.deadline + "\r\n"
			}
			if c.nested {
				header += forwarder.HeaderAttempt + ": parent\r\n"
			}
			if c.startedBefore {
				_, _ = io.WriteString(conn, header+"\r\n")
				synctest.Wait()
				header = ""
			}
			m.egress.StopBy(time.Now().Add(grace))
			time.Sleep(c.after)
			_, _ = io.WriteString(conn, strings.TrimPrefix(header+"\r\nbody", "\r\n"))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if c.served {
				m.expect(resp, err, http.StatusOK, "")
				m.is.Equal(runs.Load(), int32(1))
			} else {
				m.expect(resp, err, http.StatusServiceUnavailable, forwarder.OutcomeNotRun)
				m.is.Equal(runs.Load(), int32(0))
			}
			m.is.True(resp.Close) // callers move to another daemon
			m.is.NoErr(conn.Close())
		})
	}
}
