// Package connector opens TCP connections between the processes of the mesh.
package connector

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive detects connections that fail after the request was received. The first probe is sent late, since probes on idle
// connections count as control traffic.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 2}

// UserTimeout is the TCP_USER_TIMEOUT of connections to other daemons: the maximum time that sent data may remain
// unacknowledged.
const UserTimeout = time.Second

// connectTimeout limits the TCP handshake, which takes one round trip even between regions. A VM that is powered off does
// not refuse the connection, and the kernel would resend the SYN only after a second; by then the VM may be back.
const connectTimeout = 300 * time.Millisecond

// Connector opens TCP connections. Its methods are safe for concurrent use.
type Connector struct {
	dialer net.Dialer
}

// Option configures a Connector.
type Option func(*Connector)

// WithSource sets the local address of connections. If source is invalid, the kernel chooses the address.
func WithSource(source netip.Addr) Option {
	return func(c *Connector) {
		if source.IsValid() {
			c.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
		}
	}
}

// WithUserTimeout enables keep-alive probes and sets TCP_USER_TIMEOUT, the time after which the kernel closes a connection
// whose sent data remains unacknowledged. A device between the two ends may have lost the state of the connection although
// new connections work.
func WithUserTimeout(limit time.Duration) Option {
	return func(c *Connector) {
		c.dialer.KeepAliveConfig = keepAlive
		c.dialer.Control = func(_, _ string, conn syscall.RawConn) error { return setUserTimeout(conn, limit) }
	}
}

// New returns a connector.
func New(opts ...Option) *Connector {
	c := &Connector{dialer: net.Dialer{Timeout: connectTimeout}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Dial opens a connection.
func (c *Connector) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return c.dialer.DialContext(ctx, "tcp", addr.String())
}

// DialContext opens a connection to an address in text form. It has the signature that http.Transport expects.
func (c *Connector) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	return c.dialer.DialContext(ctx, "tcp", addr)
}

func setUserTimeout(conn syscall.RawConn, limit time.Duration) error {
	var setErr error
	err := conn.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, setErr)
}
