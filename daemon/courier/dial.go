package courier

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silenceLimit is how long data to another daemon may stay without an acknowledgement by its kernel.
const silenceLimit = time.Second

// keepAlive finds connections that go silent after the request was received. The first probe comes late, since probes
// on idle connections count as control bytes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 2}

// DialPeer opens a connection to another daemon. The kernel closes it if sent data is not acknowledged in time: a
// device between the two ends may have lost track of it, while new connections work.
func DialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dialer := &net.Dialer{Control: limitSilence, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", addr.String())
}

func limitSilence(_, _ string, conn syscall.RawConn) error {
	var set error
	err := conn.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds()))
	})
	return errors.Join(err, set)
}
