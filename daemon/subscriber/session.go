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
	"bluebellhoist/core/wire"
)

// Reasons to leave a controller.
var (
	errStopping = errors.New("controller is stopping")
	errStale    = errors.New("controller has no majority")
)

// Bytes of session messages, without the framing of WebSocket and TCP.
var (
	bytesIn  = metrics.NewCounter(`bluebell_control_bytes_total{link="session",direction="in"}`)
	bytesOut = metrics.NewCounter(`bluebell_control_bytes_total{link="session",direction="out"}`)
)

// session is one connection to a controller.
type session struct {
	s        *Subscriber
	conn     *framer.Framer
	ctx      context.Context
	cancel   context.CancelFunc
	outgoing chan wire.Frame
	received atomic.Int64 // time of the last frame, in nanoseconds since the Unix epoch

	mu      sync.Mutex
	ended   bool
	last    uint64
	pending map[uint64]chan wire.Frame

	stale time.Time // when the controller was first seen without a majority; zero while it has one
}

// connect runs one session and reports whether the controller answered.
func (s *Subscriber) connect(ctx context.Context, c Controller) (bool, error) {
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return s.dial(ctx, c.Addr)
	}}
	defer transport.CloseIdleConnections()
	opts := &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}}
	conn, _, err := websocket.Dial(dialCtx, "ws://"+c.Addr.String()+"/v1/session", opts)
	if err != nil {
		return false, fmt.Errorf("%w: %v", ErrSession, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := &session{s: s, ctx: ctx, cancel: cancel, outgoing: make(chan wire.Frame), pending: map[uint64]chan wire.Frame{}}
	n.conn = framer.New(conn, framer.WithLimit(encoder.MaxMessage), framer.WithCounters(n.sent, n.got))
	s.log.Info("connected", "controller", c.Addr)
	established, err := n.run()
	return established, fmt.Errorf("%w: %w", ErrSession, err)
}

func (n *session) run() (bool, error) {
	n.s.session.Store(n)
	defer n.end()
	defer n.s.session.CompareAndSwap(n, nil)
	writer := make(chan error, 1)
	go func() {
		writer <- n.write(n.ctx)
		n.cancel() // ends the reader, which may wait for the writer
	}()
	established, err := n.read(n.ctx)
	n.cancel()
	n.conn.Close()
	return established, errors.Join(err, <-writer)
}

func (n *session) sent(bytes int) {
	bytesOut.Add(bytes)
}

func (n *session) got(bytes int) {
	bytesIn.Add(bytes)
	n.received.Store(time.Now().UnixNano())
}

// end fails all requests that wait for an answer.
func (n *session) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	for id, answer := range n.pending {
		close(answer)
		delete(n.pending, id)
	}
}

// hello returns the message that asks for everything newer than the held snapshot.
func (n *session) hello(full bool) wire.Frame {
	hello := &wire.Hello{Name: n.s.name, Domain: n.s.domain, Batch: n.s.batch, Full: full}
	if held := n.s.Held(); held != nil {
		hello.Held, hello.Sum = held.Version(), held.Sum()
	} else {
		hello.Barrier = true
	}
	return wire.Frame{Hello: hello}
}

func (n *session) write(ctx context.Context) error {
	if err := n.conn.Send(ctx, n.hello(false)); err != nil {
		return err
	}
	beats := time.NewTicker(framer.BeatInterval)
	defer beats.Stop()
	for {
		var frame wire.Frame
		select {
		case frame = <-n.outgoing:
		case <-beats.C:
			frame = wire.Frame{Beat: &wire.Beat{}}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := n.conn.Send(ctx, frame); err != nil {
			return err
		}
	}
}

// read handles the controller's frames and reports whether there was any.
func (n *session) read(ctx context.Context) (bool, error) {
	established := false
	for {
		frame, err := n.conn.Receive(ctx)
		if err != nil {
			return established, err
		}
		if frame.ID == 0 && frame.Error != "" {
			return established, fmt.Errorf("%w: %s", ErrRefused, frame.Error)
		}
		established = true
		if err := n.handle(ctx, frame); err != nil {
			return established, err
		}
	}
}

func (n *session) handle(ctx context.Context, frame wire.Frame) error {
	switch {
	case frame.Bye:
		return errStopping
	case frame.Full != nil, frame.Delta != nil:
		return n.take(ctx, frame)
	case frame.Beat != nil:
		return n.beat(ctx, *frame.Beat)
	case frame.ID != 0:
		n.deliver(frame)
	}
	return nil
}

// take applies an update. After a rejected delta it asks for a full snapshot.
func (n *session) take(ctx context.Context, frame wire.Frame) error {
	err := n.s.take(frame)
	if errors.Is(err, ErrRejected) {
		n.s.log.Warn("update rejected", "error", err)
		if frame.Full != nil {
			return err
		}
		return n.enqueue(ctx, n.hello(true))
	}
	if err != nil {
		return err
	}
	held := n.s.Held()
	return n.enqueue(ctx, wire.Frame{Ack: &wire.Ack{Version: held.Version(), Sum: held.Sum()}})
}

// beat leaves a controller that has lacked a majority for StaleLimit.
func (n *session) beat(ctx context.Context, beat wire.Beat) error {
	if held := n.s.Held(); held != nil && beat.Version > held.Version() {
		return n.enqueue(ctx, n.hello(true))
	}
	if beat.Fresh {
		n.stale = time.Time{}
		return nil
	}
	if n.stale.IsZero() {
		n.stale = time.Now()
	}
	if time.Since(n.stale) >= StaleLimit {
		return errStale
	}
	return nil
}

func (n *session) enqueue(ctx context.Context, frame wire.Frame) error {
	select {
	case n.outgoing <- frame:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *session) deliver(frame wire.Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if answer, ok := n.pending[frame.ID]; ok {
		answer <- frame
		delete(n.pending, frame.ID)
	}
}
