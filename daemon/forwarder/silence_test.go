package forwarder_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/forwarder"
)

// recordingListener records the connections that it accepts.
type recordingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*net.TCPConn
}

// Accept waits for the next connection and records it.
func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn.(*net.TCPConn))
	return conn, nil
}

// silence makes the kernel drop everything that arrives on the open connections, including acknowledgements, as if a
// device on the path had lost its connection state.
func (l *recordingListener) silence(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	for _, conn := range l.conns {
		raw, err := conn.SyscallConn()
		is.New(t).NoErr(err)
		var setErr error
		is.New(t).NoErr(raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
		}))
		is.New(t).NoErr(setErr)
	}
	l.conns = nil
}

// TestSilentTCP guards against calls that wait on a reused connection that has gone silent although new connections
// work.
func TestSilentTCP(t *testing.T) {
	cases := []struct {
		method string
		status int
	}{
		{"GET", http.StatusOK},          // retried on a new connection
		{"POST", http.StatusBadGateway}, // not retried, because it may have run
	}
	for _, c := range cases {
		t.Run(c.method, func(t *testing.T) {
			t.Parallel()
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			is.New(t).NoErr(err)
			listener := &recordingListener{Listener: tcp}
			server := forwarder.NewPeerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			held := snapshot(t, time.Now().Add(time.Hour))
			f := forwarder.New(
				forwarder.WithMetrics(metrics.NewSet()),
				forwarder.WithSnapshot(func() *compiler.Snapshot { return held }),
				forwarder.WithPick(func(string, []string) (wire.Member, func(forwarder.Outcome), error) {
					member := wire.Member{Name: "d1", Addr: netip.MustParseAddrPort(tcp.Addr().String())}
					return member, func(forwarder.Outcome) {}, nil
				}),
			)
			t.Cleanup(f.Close)
			call := func() int {
				w := httptest.NewRecorder()
				f.Egress().ServeHTTP(w, httptest.NewRequest(c.method, "http://stock", strings.NewReader("x")))
				return w.Code
			}
			is.New(t).Equal(call(), http.StatusOK)
			listener.silence(t)
			is.New(t).Equal(call(), c.status)
			is.New(t).Equal(call(), http.StatusOK)
		})
	}
}
