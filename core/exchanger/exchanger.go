// Package exchanger carries gossip between daemons: datagrams over UDP and exchanges over HTTP.
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
	"bluebellhoist/core/wire"
)

const (
	// host marks an exchange among the calls of other daemons. No service can have this name.
	host = "_gossip"

	datagramLimit   = 2048
	exchangeTimeout = 5 * time.Second
)

// Bytes of gossip, without the headers of UDP, HTTP and TCP.
var (
	datagramsIn  = metrics.NewCounter(`bluebell_control_bytes_total{link="datagram",direction="in"}`)
	datagramsOut = metrics.NewCounter(`bluebell_control_bytes_total{link="datagram",direction="out"}`)
	exchangesIn  = metrics.NewCounter(`bluebell_control_bytes_total{link="exchange",direction="in"}`)
	exchangesOut = metrics.NewCounter(`bluebell_control_bytes_total{link="exchange",direction="out"}`)
)

// ErrExchange reports an exchange that failed.
var ErrExchange = errors.New("gossip exchange failed")

// Exchanger sends and receives gossip.
type Exchanger struct {
	conn      *net.UDPConn
	deliver   func(netip.AddrPort, []byte)
	answer    func(wire.Gossip) wire.Gossip
	transport *http.Transport
	client    *http.Client
	log       hclog.Logger
}

// Option sets up an Exchanger.
type Option func(*Exchanger)

// WithConn sets the socket for datagrams.
func WithConn(conn *net.UDPConn) Option {
	return func(e *Exchanger) { e.conn = conn }
}

// WithDial sets the function that opens connections for exchanges.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(e *Exchanger) { e.transport.DialContext = dial }
}

// WithDeliver sets the function that takes datagrams.
func WithDeliver(deliver func(netip.AddrPort, []byte)) Option {
	return func(e *Exchanger) { e.deliver = deliver }
}

// WithAnswer sets the function that answers an exchange.
func WithAnswer(answer func(wire.Gossip) wire.Gossip) Option {
	return func(e *Exchanger) { e.answer = answer }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(e *Exchanger) { e.log = log }
}

// New returns an exchanger. WithConn, WithDeliver and WithAnswer are required.
func New(opts ...Option) *Exchanger {
	e := &Exchanger{
		log: hclog.NewNullLogger(),
		// An exchange uses a new connection, since the next one goes to another daemon.
		transport: &http.Transport{DisableKeepAlives: true},
	}
	e.client = &http.Client{Transport: e.transport, Timeout: exchangeTimeout}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Run receives datagrams until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	defer stop()
	buf := make([]byte, datagramLimit)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("%w: %v", ErrExchange, err)
		}
		if err != nil {
			e.log.Debug("datagram not received", "error", err)
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
		return fmt.Errorf("%w: %v", ErrExchange, err)
	}
	datagramsOut.Add(len(data))
	return nil
}

// Exchange sends a message to another daemon and returns its answer.
func (e *Exchanger) Exchange(ctx context.Context, to netip.AddrPort, msg wire.Gossip) (wire.Gossip, error) {
	body, err := pack(msg)
	if err != nil {
		return wire.Gossip{}, fmt.Errorf("%w: %v", ErrExchange, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/", bytes.NewReader(body))
	if err != nil {
		return wire.Gossip{}, fmt.Errorf("%w: %v", ErrExchange, err)
	}
	request.Host = host
	response, err := e.client.Do(request)
	if err != nil {
		return wire.Gossip{}, fmt.Errorf("%w: %v", ErrExchange, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wire.Gossip{}, fmt.Errorf("%w: status %s", ErrExchange, response.Status)
	}
	return unpack(response.Body)
}

// Handler answers exchanges and passes all other requests to calls.
func (e *Exchanger) Handler(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Host != host {
			calls.ServeHTTP(w, r)
			return
		}
		msg, err := unpack(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		body, err := pack(e.answer(msg))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := w.Write(body); err != nil {
			e.log.Debug("exchange not answered", "remote", r.RemoteAddr, "error", err)
		}
	})
}

func pack(msg wire.Gossip) ([]byte, error) {
	data, err := encoder.Marshal(msg)
	if err != nil {
		return nil, err
	}
	packed := encoder.Compress(data)
	exchangesOut.Add(len(packed))
	return packed, nil
}

func unpack(body io.Reader) (wire.Gossip, error) {
	var msg wire.Gossip
	packed, err := io.ReadAll(io.LimitReader(body, encoder.MaxMessage))
	if err != nil {
		return msg, fmt.Errorf("%w: %v", ErrExchange, err)
	}
	exchangesIn.Add(len(packed))
	data, err := encoder.Decompress(packed)
	if err != nil {
		return msg, fmt.Errorf("%w: %v", ErrExchange, err)
	}
	if err := encoder.Unmarshal(data, &msg); err != nil {
		return msg, fmt.Errorf("%w: %v", ErrExchange, err)
	}
	return msg, nil
}
