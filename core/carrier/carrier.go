// Package carrier carries the datagrams between daemons and controllers about the quotas of tenants, over UDP.
package carrier

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/wire"
)

// Traffic in bytes, without UDP headers.
var (
	bytesIn  = metrics.NewCounter(`bluebell_control_bytes_total{link="quota",direction="in"}`)
	bytesOut = metrics.NewCounter(`bluebell_control_bytes_total{link="quota",direction="out"}`)
	invalid  = metrics.NewCounter(`bluebell_quota_invalid_datagrams_total`)
)

// ErrTransport reports that a datagram could not be sent, or that the socket is closed.
var ErrTransport = errors.New("quota transport failed")

// Carrier sends and receives datagrams on one socket, which it opens when it is needed first.
type Carrier struct {
	addr    netip.AddrPort
	deliver func(from netip.AddrPort, msg wire.Quota)
	log     hclog.Logger

	mu     sync.Mutex
	conn   *net.UDPConn  // nil until the socket is open
	opened chan struct{} // closed once the socket is open
}

// Option configures a Carrier.
type Option func(*Carrier)

// WithDeliver sets the function that handles received messages. It runs on the goroutine of Run.
func WithDeliver(deliver func(from netip.AddrPort, msg wire.Quota)) Option {
	return func(c *Carrier) { c.deliver = deliver }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(c *Carrier) { c.log = log }
}

// New returns a carrier for a socket at addr. WithDeliver is required.
func New(addr netip.AddrPort, opts ...Option) *Carrier {
	c := &Carrier{addr: addr, log: hclog.NewNullLogger(), opened: make(chan struct{})}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Open opens the socket if it is not open yet.
func (c *Carrier) Open() error {
	_, err := c.open()
	return err
}

// open returns the socket, which it opens if necessary.
func (c *Carrier) open() (*net.UDPConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.addr))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrTransport, err)
	}
	c.conn = conn
	close(c.opened)
	return conn, nil
}

// Run receives datagrams from when the socket is open until ctx ends, and closes the socket.
func (c *Carrier) Run(ctx context.Context) error {
	select {
	case <-c.opened:
	case <-ctx.Done():
		return ctx.Err()
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buf := make([]byte, MaxDatagram+1) // a larger datagram is invalid
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("%w: %v", ErrTransport, err)
		}
		if err != nil {
			c.log.Debug("cannot receive datagram", "error", err)
			continue
		}
		bytesIn.Add(n)
		msg, err := Decode(buf[:n])
		if err != nil {
			invalid.Inc()
			c.log.Debug("datagram ignored", "from", from, "error", err)
			continue
		}
		c.deliver(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), msg)
	}
}

// Send sends one message. It opens the socket if necessary.
func (c *Carrier) Send(to netip.AddrPort, msg wire.Quota) error {
	data, err := Encode(msg)
	if err != nil {
		return err
	}
	conn, err := c.open()
	if err != nil {
		return err
	}
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		return fmt.Errorf("%w: %v", ErrTransport, err)
	}
	bytesOut.Add(len(data))
	return nil
}
