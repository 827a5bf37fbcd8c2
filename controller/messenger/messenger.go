// Package messenger carries packets between controllers over WebSocket connections.
package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/inspector"
	"bluebellhoist/core/wire"
)

const (
	// queueSize is the capacity of the send queue, and of the queue of each peer. Packets that do not fit are dropped,
	// as on a lossy network.
	queueSize = 256
	// idleTimeout is how long a connection stays open without a packet to send.
	idleTimeout = time.Minute

	dialTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	pingInterval = time.Second
	redialDelay  = 200 * time.Millisecond
)

// ErrPeer reports that a connection to a peer failed.
var ErrPeer = errors.New("connection to peer failed")

// Messenger sends packets to peers and receives theirs.
type Messenger struct {
	deliver  func(wire.Packet)
	client   *http.Client
	log      hclog.Logger
	outgoing chan outgoing
}

type outgoing struct {
	to     netip.AddrPort
	packet wire.Packet
}

// Option configures a Messenger.
type Option func(*Messenger)

// WithDeliver sets the function that receives the packets from peers.
func WithDeliver(deliver func(wire.Packet)) Option {
	return func(m *Messenger) { m.deliver = deliver }
}

// WithDial sets the function that opens connections to peers.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(m *Messenger) { m.client = newClient(&http.Transport{DialContext: dial}) }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(m *Messenger) { m.log = log }
}

// New returns a messenger.
func New(opts ...Option) *Messenger {
	m := &Messenger{
		deliver:  func(wire.Packet) {},
		client:   newClient(&http.Transport{}),
		log:      hclog.NewNullLogger(),
		outgoing: make(chan outgoing, queueSize),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

func newClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: inspector.New(transport)}
}

// Send queues a packet for the peer at address to. It never blocks; packets may be lost.
func (m *Messenger) Send(to netip.AddrPort, packet wire.Packet) {
	select {
	case m.outgoing <- outgoing{to, packet}:
	default:
		m.log.Debug("packet dropped: queue is full", "peer", to)
	}
}

// Run sends queued packets until ctx ends.
func (m *Messenger) Run(ctx context.Context) error {
	peers := map[netip.AddrPort]chan wire.Packet{}
	finished := make(chan netip.AddrPort)
	for {
		select {
		case out := <-m.outgoing:
			queue, ok := peers[out.to]
			if !ok {
				queue = make(chan wire.Packet, queueSize)
				peers[out.to] = queue
				go func() {
					m.servePeer(ctx, out.to, queue)
					finished <- out.to
				}()
			}
			select {
			case queue <- out.packet:
			default:
				m.log.Debug("packet dropped: queue is full", "peer", out.to)
			}
		case addr := <-finished:
			delete(peers, addr)
		case <-ctx.Done():
			for range peers {
				<-finished
			}
			return ctx.Err()
		}
	}
}

// servePeer sends the packets of one queue and reconnects after failures, until no packet was sent for idleTimeout or
// ctx ends.
func (m *Messenger) servePeer(ctx context.Context, to netip.AddrPort, queue chan wire.Packet) {
	for ctx.Err() == nil {
		err := m.sendUntilIdle(ctx, to, queue)
		if err == nil {
			return
		}
		m.log.Debug("peer connection ended", "peer", to, "error", err)
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
		discardQueued(queue)
	}
}

// discardQueued drops the packets that waited while the peer was unreachable.
func discardQueued(queue chan wire.Packet) {
	for range len(queue) {
		<-queue
	}
}

// sendUntilIdle sends queued packets over one connection. It returns nil once no packet was queued for idleTimeout.
func (m *Messenger) sendUntilIdle(ctx context.Context, to netip.AddrPort, queue chan wire.Packet) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialCtx, "ws://"+to.String()+"/v1/peer", &websocket.DialOptions{HTTPClient: m.client})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrPeer, err)
	}
	defer func() { _ = conn.CloseNow() }()
	ctx = conn.CloseRead(ctx)
	pings := time.NewTicker(pingInterval)
	defer pings.Stop()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case packet := <-queue:
			idle.Reset(idleTimeout)
			err = writePacket(ctx, conn, packet)
		case <-pings.C:
			err = ping(ctx, conn)
		case <-idle.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("%w: %v", ErrPeer, err)
		}
	}
}

func writePacket(ctx context.Context, conn *websocket.Conn, packet wire.Packet) error {
	data, err := encoder.Marshal(packet)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// ping detects a broken connection: the peer sends no data on it whose absence would show the failure.
func ping(ctx context.Context, conn *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Ping(ctx)
}

// ServeHTTP receives the packets of one peer.
func (m *Messenger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.log.Debug("connection from peer not accepted", "remote", r.RemoteAddr, "error", err)
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(encoder.MaxMessage)
	for {
		_, data, err := conn.Read(r.Context())
		if err != nil {
			m.log.Debug("peer connection ended", "remote", r.RemoteAddr, "error", err)
			return
		}
		var packet wire.Packet
		if err := encoder.Unmarshal(data, &packet); err != nil {
			m.log.Warn("cannot decode packet from peer", "remote", r.RemoteAddr, "error", err)
			return
		}
		m.deliver(packet)
	}
}
