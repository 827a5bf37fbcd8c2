package subscriber

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/websocket"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/inspector"
	"bluebellhoist/core/wire"
)

// Reasons for ending a session with a controller.
var (
	errStopping   = errors.New("controller is stopping")
	errNoMajority = errors.New("controller has no majority")
)

// Counters of session payload bytes, without the framing of WebSocket and TCP.
var (
	bytesIn  = metrics.NewCounter(`bluebell_control_bytes_total{link="session",direction="in"}`)
	bytesOut = metrics.NewCounter(`bluebell_control_bytes_total{link="session",direction="out"}`)
)

// session is one connection to a controller.
type session struct {
	subscriber   *Subscriber
	controller   Controller
	noReferral   bool // asks the controller not to refer the daemon to another one
	conn         *framer.Framer
	ctx          context.Context
	cancel       context.CancelFunc
	outgoing     chan wire.Frame
	lastReceived atomic.Int64  // time of the last data, in nanoseconds since the Unix epoch
	announced    atomic.Uint64 // highest version that the controller has announced or sent

	mu      sync.Mutex
	ended   bool
	lastID  uint64
	pending map[uint64]chan wire.Frame

	// staleSince is when the controller was first seen without a majority, or zero while it has one. Used by the reader only.
	staleSince time.Time
}

// serveSession connects to a controller, serves one session and reports whether the controller answered the hello with anything but a refusal.
func (s *Subscriber) serveSession(ctx context.Context, to Controller, noReferral bool) (bool, error) {
	conn, err := s.connect(ctx, to)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &session{subscriber: s, controller: to, noReferral: noReferral, ctx: ctx, cancel: cancel, outgoing: make(chan wire.Frame), pending: map[uint64]chan wire.Frame{}}
	c.conn = framer.New(conn, framer.WithLimit(encoder.MaxMessage), framer.WithCounters(bytesOut.Add, bytesIn.Add), framer.WithProgress(c.recordReceived))
	s.log.Info("connected", "controller", to.Addr)
	established, err := c.run()
	return established, fmt.Errorf("%w: %w", ErrSession, err)
}

// connect opens a connection to a controller.
func (s *Subscriber) connect(ctx context.Context, to Controller) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport := inspector.New(&http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return s.dial(ctx, to.Addr)
	}})
	defer transport.CloseIdleConnections()
	opts := &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}}
	conn, _, err := websocket.Dial(ctx, "ws://"+to.Addr.String()+"/v1/session", opts)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSession, err)
	}
	return conn, nil
}

// run serves the session until it ends. It reports the same as serveSession.
func (c *session) run() (bool, error) {
	c.subscriber.session.Store(c)
	defer c.failPending()
	defer c.subscriber.session.CompareAndSwap(c, nil)
	writer := make(chan error, 1)
	go func() {
		writer <- c.writeLoop(c.ctx)
		c.cancel() // ends the reader, which may be blocked on the writer
	}()
	established, err := c.readLoop(c.ctx)
	c.cancel()
	c.conn.Close()
	return established, errors.Join(err, <-writer)
}

// recordReceived records that data has arrived.
func (c *session) recordReceived() {
	c.lastReceived.Store(time.Now().UnixNano())
}

// failPending fails all requests that await a reply.
func (c *session) failPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for id, answer := range c.pending {
		close(answer)
		delete(c.pending, id)
	}
}

// helloFrame returns the first frame of a session. It asks for the changes since the snapshot in effect, or for a full
// snapshot if full is true. Without a snapshot it asks for a barrier, so that the controller answers only after a
// linearizable read, with the departures and a snapshot.
func (c *session) helloFrame(full bool) wire.Frame {
	hello := &wire.Hello{Name: c.subscriber.name, Domain: c.subscriber.domain, Batch: c.subscriber.batch, Full: full, Stay: c.noReferral}
	if inEffect := c.subscriber.Snapshot(); inEffect != nil {
		hello.Held, hello.Sum = inEffect.Version(), inEffect.Sum()
	} else {
		hello.Barrier = true
	}
	return wire.Frame{Hello: hello}
}

// writeLoop sends the hello, the queued frames and the heartbeats.
func (c *session) writeLoop(ctx context.Context) error {
	if err := c.conn.Send(ctx, c.helloFrame(false)); err != nil {
		return err
	}
	if c.subscriber.proofsNeeded() {
		if err := c.conn.Send(ctx, c.subscriber.newHeartbeat()); err != nil {
			return err
		}
	}
	heartbeats := time.NewTicker(framer.HeartbeatInterval)
	defer heartbeats.Stop()
	for {
		var frame wire.Frame
		select {
		case frame = <-c.outgoing:
		case <-heartbeats.C:
			frame = c.subscriber.newHeartbeat()
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := c.conn.Send(ctx, frame); err != nil {
			return err
		}
	}
}

// readLoop handles the controller's frames until the session ends. It reports the same as serveSession.
func (c *session) readLoop(ctx context.Context) (bool, error) {
	established := false
	for {
		frame, err := c.conn.Receive(ctx)
		if err != nil {
			return established, err
		}
		if frame.ID == 0 && frame.Error != "" {
			return established, fmt.Errorf("%w: %s", ErrRefused, frame.Error)
		}
		established = true
		if err := c.handleFrame(ctx, frame); err != nil {
			return established, err
		}
	}
}

// handleFrame handles one frame. An error ends the session.
func (c *session) handleFrame(ctx context.Context, frame wire.Frame) error {
	switch {
	case frame.Bye:
		return errStopping
	case frame.Refer != nil:
		return newReferralError(*frame.Refer)
	case frame.Gone != nil:
		c.subscriber.recoverDepartures(frame.Gone.List)
	case frame.Coming != 0:
		c.announced.Store(frame.Coming)
	case frame.Full != nil:
		c.announced.Store(frame.Full.Batch.Version)
		return c.applyUpdate(ctx, frame)
	case frame.Delta != nil:
		c.announced.Store(frame.Delta.Version)
		return c.applyUpdate(ctx, frame)
	case frame.Heartbeat != nil:
		return c.handleHeartbeat(ctx, *frame.Heartbeat)
	case frame.ID != 0:
		c.deliverReply(frame)
	}
	return nil
}

// applyUpdate applies a full snapshot or a delta and acknowledges it. After a rejected delta it asks for a full snapshot.
func (c *session) applyUpdate(ctx context.Context, frame wire.Frame) error {
	err := c.subscriber.applyUpdate(frame)
	if errors.Is(err, ErrRejected) {
		c.subscriber.log.Warn("update rejected", "error", err)
		c.announced.Store(0)
		if frame.Full != nil {
			return err
		}
		return c.enqueue(ctx, c.helloFrame(true))
	}
	if err != nil {
		return err
	}
	// Controllers send departures before the first update; older builds have none.
	c.subscriber.recoverDepartures(nil)
	inEffect := c.subscriber.Snapshot()
	return c.enqueue(ctx, wire.Frame{Ack: &wire.Ack{Version: inEffect.Version(), Sum: inEffect.Sum()}})
}

// handleHeartbeat asks for a full snapshot if the controller has a newer version. It ends the session if the controller lacks a
// majority and the watched one has had one since, or if it has lacked one for StaleLimit, or if the daemon can fail back to a
// controller of its own failure domain.
func (c *session) handleHeartbeat(ctx context.Context, heartbeat wire.Heartbeat) error {
	c.subscriber.recordProof(heartbeat)
	if inEffect := c.subscriber.Snapshot(); inEffect != nil && heartbeat.Version > inEffect.Version() {
		return c.enqueue(ctx, c.helloFrame(true))
	}
	if heartbeat.Fresh {
		c.staleSince = time.Time{}
		// Without a snapshot the daemon stays, since a new session would have to wait for the barrier again.
		if c.subscriber.Snapshot() != nil && c.idle() && c.subscriber.canFailBack(c.controller, time.Now()) {
			return errFailback
		}
		return nil
	}
	if c.staleSince.IsZero() {
		c.staleSince = time.Now()
	}
	watched := c.subscriber.standby.Load()
	if watched != nil && watched.seenAt.After(c.staleSince) || time.Since(c.staleSince) >= StaleLimit {
		return errNoMajority
	}
	return nil
}

// idle reports whether no request awaits a reply.
func (c *session) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// enqueue passes a frame to the writer.
func (c *session) enqueue(ctx context.Context, frame wire.Frame) error {
	select {
	case c.outgoing <- frame:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliverReply passes a reply to the request that awaits it, if there still is one.
func (c *session) deliverReply(frame wire.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, ok := c.pending[frame.ID]; ok {
		answer <- frame
		delete(c.pending, frame.ID)
	}
}
