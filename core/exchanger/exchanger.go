// Package exchanger is the network transport of gossip: it carries datagrams over UDP and exchanges over HTTP.
package exchanger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/inspector"
	"bluebellhoist/core/wire"
)

const (
	// gossipHost is the Host header that distinguishes exchanges from calls on the same port. It is not a valid service name.
	gossipHost = "_gossip"

	maxDatagramSize = 2048
	exchangeTimeout = 5 * time.Second
)

// Gossip traffic in bytes, without UDP, HTTP and TCP headers.
var (
	datagramsIn  = metrics.NewCounter(`bluebell_control_bytes_total{link="datagram",direction="in"}`)
	datagramsOut = metrics.NewCounter(`bluebell_control_bytes_total{link="datagram",direction="out"}`)
	exchangesIn  = metrics.NewCounter(`bluebell_control_bytes_total{link="exchange",direction="in"}`)
	exchangesOut = metrics.NewCounter(`bluebell_control_bytes_total{link="exchange",direction="out"}`)
)

// ErrTransport reports that an exchange or a datagram failed.
var ErrTransport = errors.New("gossip transport failed")

// Exchanger sends and receives gossip.
type Exchanger struct {
	conn    *net.UDPConn
	deliver func(netip.AddrPort, []byte)
	reply   func(wire.Gossip) wire.Gossip
	dial    func(ctx context.Context, network, addr string) (net.Conn, error) // nil for TCP
	client  *http.Client
	log     hclog.Logger
}

// Option configures an Exchanger.
type Option func(*Exchanger)

// WithConn sets the UDP socket.
func WithConn(conn *net.UDPConn) Option {
	return func(e *Exchanger) { e.conn = conn }
}

// WithDial sets the function that opens connections for exchanges.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(e *Exchanger) { e.dial = dial }
}

// WithDeliver sets the function that handles received datagrams.
func WithDeliver(deliver func(netip.AddrPort, []byte)) Option {
	return func(e *Exchanger) { e.deliver = deliver }
}

// WithReply sets the function that returns the reply to a message of an exchange.
func WithReply(reply func(wire.Gossip) wire.Gossip) Option {
	return func(e *Exchanger) { e.reply = reply }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(e *Exchanger) { e.log = log }
}

// New returns an exchanger. WithConn, WithDeliver and WithReply are required.
func New(opts ...Option) *Exchanger {
	e := &Exchanger{log: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(e)
	}
	// Each exchange uses a new connection, since the next one usually goes to another member.
	transport := inspector.New(&http.Transport{DisableKeepAlives: true, DialContext: e.dial})
	e.client = &http.Client{Transport: transport, Timeout: exchangeTimeout}
	return e
}

// Run receives datagrams until ctx is done.
func (e *Exchanger) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("%w: %v", ErrTransport, err)
		}
		if err != nil {
			e.log.Debug("cannot receive datagram", "error", err)
			continue
		}
		datagramsIn.Add(n)
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		e.deliver(from, bytes.Clone(buf[:n]))
	}
}

// Send sends one datagram.
func (e *Exchanger) Send(to netip.AddrPort, data []byte) error {
	if _, err := e.conn.WriteToUDPAddrPort(data, to); err != nil {
		return fmt.Errorf("%w: %v", ErrTransport, err)
	}
	datagramsOut.Add(len(data))
	return nil
}

// Exchange sends a message to another member and returns the reply.
func (e *Exchanger) Exchange(ctx context.Context, to netip.AddrPort, msg wire.Gossip) (wire.Gossip, error) {
	body, err := encodeMessage(msg)
	if err != nil {
		return wire.Gossip{}, fmt.Errorf("%w: %v", ErrTransport, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/", bytes.NewReader(body))
	if err != nil {
		return wire.Gossip{}, fmt.Errorf("%w: %v", ErrTransport, err)
	}
	request.Host = gossipHost
	response, err := e.client.Do(request)
	if err != nil {
		return wire.Gossip{}, fmt.Errorf("%w: %v", ErrTransport, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wire.Gossip{}, fmt.Errorf("%w: status %s", ErrTransport, response.Status)
	}
	return decodeMessage(response.Body)
}

// IsExchange reports whether a request is an exchange.
func IsExchange(r *http.Request) bool {
	return r.Host == gossipHost
}

// Handler returns a handler that handles exchanges and passes all other requests to next.
func (e *Exchanger) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !IsExchange(r) {
			next.ServeHTTP(w, r)
			return
		}
		msg, err := decodeMessage(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		body, err := encodeMessage(e.reply(msg))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := w.Write(body); err != nil {
			e.log.Debug("cannot write exchange reply", "remote", r.RemoteAddr, "error", err)
		}
	})
}

func encodeMessage(msg wire.Gossip) ([]byte, error) {
	data, err := encoder.Marshal(msg)
	if err != nil {
		return nil, err
	}
	compressed := encoder.Compress(data)
	exchangesOut.Add(len(compressed))
	return compressed, nil
}

func decodeMessage(body io.Reader) (wire.Gossip, error) {
	var msg wire.Gossip
	compressed, err := io.ReadAll(io.LimitReader(body, encoder.MaxMessage+1))
	if err != nil {
		return msg, fmt.Errorf("%w: %v", ErrTransport, err)
	}
	if len(compressed) > encoder.MaxMessage {
		return msg, fmt.Errorf("%w: message of more than %d bytes", ErrTransport, encoder.MaxMessage)
	}
	exchangesIn.Add(len(compressed))
	data, err := encoder.Decompress(compressed)
	if err != nil {
		return msg, fmt.Errorf("%w: %v", ErrTransport, err)
	}
	if err := encoder.Unmarshal(data, &msg); err != nil {
		return msg, fmt.Errorf("%w: %v", ErrTransport, err)
	}
	return msg, nil
}
