// Package connector opens connections between the system's own processes.
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

// keepAlive finds connections that go silent after the request was received. The first probe comes late, since probes
// on idle connections count as control bytes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 2}

// SilenceLimit is how long data to another daemon may stay without an acknowledgement by its kernel.
const SilenceLimit = time.Second

// connectTimeout bounds the connect itself, which takes one round trip, even between regions. A VM without power does not
// refuse it, and the kernel would repeat its first packet only after a second; by then the VM may be back.
const connectTimeout = 300 * time.Millisecond

// Connector opens TCP connections. Its methods may be called concurrently.
type Connector struct {
	dialer net.Dialer
}

// Option sets up a Connector.
type Option func(*Connector)

// WithSource sets the local address of connections. An invalid one leaves the choice to the kernel.
func WithSource(source netip.Addr) Option {
	return func(c *Connector) {
		if source.IsValid() {
			c.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
		}
	}
}

// WithSilence sets how long sent data may stay without an acknowledgement by the other kernel. The own kernel then
// closes the connection: a device between the two ends may have lost track of it, while new connections work.
func WithSilence(limit time.Duration) Option {
	return func(c *Connector) {
		c.dialer.KeepAliveConfig = keepAlive
		c.dialer.Control = func(_, _ string, conn syscall.RawConn) error { return limitSilence(conn, limit) }
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

// DialText is Dial for an address as text, as HTTP transports give it.
func (c *Connector) DialText(ctx context.Context, _, addr string) (net.Conn, error) {
	return c.dialer.DialContext(ctx, "tcp", addr)
}

func limitSilence(conn syscall.RawConn, limit time.Duration) error {
	var set error
	err := conn.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, set)
}
