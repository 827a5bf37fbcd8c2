package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bluebellhoist/daemon/forwarder"
)

// TestMemory guards against service calls whose buffered bodies together exceed the memory for calls, and against refusing
// an ordinary call because of them.
func TestMemory(t *testing.T) {
	run(t, "bodies short of their end", 1, func(m *mesh) {
		m.upstream(func(http.ResponseWriter, *http.Request) {})
		const size = 60 << 10
		var stalled []net.Conn
		for range 20 {
			conn, err := m.net.dial(context.Background(), egressAddr)
			m.is.NoErr(err)
			_, _ = fmt.Fprintf(conn, "POST /run HTTP/1.1\r\nHost: stock\r\nContent-Length: %d\r\n\r\n", size)
			go func() { _, _ = io.WriteString(conn, strings.Repeat("x", size-1)) }()
			time.Sleep(time.Millisecond)
			m.is.True(m.account.Used() <= m.account.Size())
			stalled = append(stalled, conn)
		}
		resp, _, err := m.call(http.MethodPost, "stock", "x")
		m.expect(resp, err, http.StatusOK, "")
		shed, err := http.ReadResponse(bufio.NewReader(stalled[0]), nil)
		m.expect(shed, err, http.StatusServiceUnavailable, forwarder.OutcomeNotRun)
		for _, conn := range stalled {
			_ = conn.Close()
		}
		synctest.Wait()
		m.is.Equal(m.account.Used(), int64(0))
	})
}
