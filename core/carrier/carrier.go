// Package carrier carries the datagrams between daemons and controllers about the quotas of tenants, over UDP.
package carrier

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

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

// Carrier sends and receives datagrams on one socket.
type Carrier struct {
	conn    *net.UDPConn
	deliver func(from netip.AddrPort, msg wire.Quota)
	log     hclog.Logger
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

// Listen opens a socket at addr and returns its carrier, which the caller must run. WithDeliver is required.
func Listen(addr netip.AddrPort, opts ...Option) (*Carrier, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrTransport, err)
	}
	c := &Carrier{conn: conn, log: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

// Addr returns the local address of the socket.
func (c *Carrier) Addr() netip.AddrPort {
	return c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run receives datagrams until ctx ends, and closes the socket.
func (c *Carrier) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	buf := make([]byte, MaxDatagram+1) // a larger datagram is invalid
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
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

// Send sends one message.
func (c *Carrier) Send(to netip.AddrPort, msg wire.Quota) error {
	data, err := Encode(msg)
	if err != nil {
		return err
	}
	if _, err := c.conn.WriteToUDPAddrPort(data, to); err != nil {
		return fmt.Errorf("%w: %v", ErrTransport, err)
	}
	bytesOut.Add(len(data))
	return nil
}
