package connector_test

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"bluebellhoist/core/connector"
)

// TestDial guards against connections from a local address that other VMs do not know, and against connections that stay
// open although sent data is not acknowledged.
func TestDial(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	source := netip.MustParseAddr("127.0.9.1")
	c := connector.New(connector.WithSource(source), connector.WithUserTimeout(1500*time.Millisecond))
	conn, err := c.Dial(context.Background(), netip.MustParseAddrPort(listener.Addr().String()))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.Equal(conn.LocalAddr().(*net.TCPAddr).AddrPort().Addr(), source)
	is.Equal(tcpUserTimeout(t, conn.(*net.TCPConn)), 1500)
}

func tcpUserTimeout(t *testing.T, conn *net.TCPConn) int {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	var getErr error
	err = raw.Control(func(fd uintptr) {
		value, getErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || getErr != nil {
		t.Fatal(err, getErr)
	}
	return value
}

// TestConnectTimeout guards against a connection attempt to a VM that is powered off and that takes longer than the VM needs
// to come back.
func TestConnectTimeout(t *testing.T) {
	is := is.New(t)
	// A listener with a full accept queue drops the SYN, which simulates a VM that is powered off.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	defer func() { _ = syscall.Close(fd) }()
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	is.NoErr(err)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for range 8 {
		conn, err := connector.New().Dial(ctx, addr)
		if err != nil {
			is.NoErr(ctx.Err()) // the attempt failed by its own timeout, not that of ctx
			return
		}
		defer func() { _ = conn.Close() }()
	}
	t.Fatal("accept queue of the listener did not fill up")
}
