package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/forwarder"
)

// TestChangeDuringBody guards against judging a call by a configuration that was replaced while its body arrived.
func TestChangeDuringBody(t *testing.T) {
	run(t, "service removed", 1, func(m *mesh) {
		m.upstream(func(http.ResponseWriter, *http.Request) {})
		conn, err := m.net.dial(context.Background(), egressAddr)
		m.is.NoErr(err)
		_, _ = io.WriteString(conn, "POST /run HTTP/1.1\r\nHost: stock\r\nContent-Length: 2\r\n\r\n1")
		synctest.Wait()
		m.snapshot = newSnapshot(m.t, wire.Batch{Name: "counter", Version: 2, Until: time.Now().Add(time.Hour).UnixMilli()})
		_, _ = io.WriteString(conn, "2")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		m.expect(resp, err, http.StatusNotFound, forwarder.OutcomeNotRun)
		_ = conn.Close()
	})
}

// TestChangeDuringWait guards against running a call at an upstream, or under rules, that were replaced while the call
// waited for a slot.
func TestChangeDuringWait(t *testing.T) {
	for name, change := range map[string]func(*mesh){
		"upstream replaced": func(m *mesh) { m.service = "other" },
		"claim needed": func(m *mesh) {
			m.snapshot = newSnapshot(m.t, wire.Batch{
				Name: "counter", Version: 2, Until: time.Now().Add(time.Hour).UnixMilli(),
				Services: []wire.Service{{Name: "stock", Class: compiler.Normal, Limit: time.Second, Once: true}},
			})
		},
	} {
		run(t, name, 1, func(m *mesh) {
			var runs atomic.Int32
			m.upstream(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			m.onSlot = func() { change(m) }
			resp, _, err := m.call(http.MethodPost, "stock", "x")
			m.expect(resp, err, http.StatusServiceUnavailable, forwarder.OutcomeNotRun)
			m.is.Equal(runs.Load(), int32(0))
		})
	}
}
