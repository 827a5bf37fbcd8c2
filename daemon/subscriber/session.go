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
	to       Controller
	stay     bool // the controller may not refer the daemon to another one
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
func (s *Subscriber) connect(ctx context.Context, to Controller, stay bool) (bool, error) {
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return s.dial(ctx, to.Addr)
	}}
	defer transport.CloseIdleConnections()
	opts := &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}}
	conn, _, err := websocket.Dial(dialCtx, "ws://"+to.Addr.String()+"/v1/session", opts)
	if err != nil {
		return false, fmt.Errorf("%w: %v", ErrSession, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &session{s: s, to: to, stay: stay, ctx: ctx, cancel: cancel, outgoing: make(chan wire.Frame), pending: map[uint64]chan wire.Frame{}}
	c.conn = framer.New(conn, framer.WithLimit(encoder.MaxMessage), framer.WithCounters(c.sent, c.got))
	s.log.Info("connected", "controller", to.Addr)
	established, err := c.run()
	return established, fmt.Errorf("%w: %w", ErrSession, err)
}

func (c *session) run() (bool, error) {
	c.s.session.Store(c)
	defer c.end()
	defer c.s.session.CompareAndSwap(c, nil)
	writer := make(chan error, 1)
	go func() {
		writer <- c.write(c.ctx)
		c.cancel() // ends the reader, which may wait for the writer
	}()
	established, err := c.read(c.ctx)
	c.cancel()
	c.conn.Close()
	return established, errors.Join(err, <-writer)
}

func (c *session) sent(bytes int) {
	bytesOut.Add(bytes)
}

func (c *session) got(bytes int) {
	bytesIn.Add(bytes)
	c.received.Store(time.Now().UnixNano())
}

// end fails all requests that wait for an answer.
func (c *session) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for id, answer := range c.pending {
		close(answer)
		delete(c.pending, id)
	}
}

// hello returns the message that asks for everything newer than the held snapshot.
func (c *session) hello(full bool) wire.Frame {
	hello := &wire.Hello{Name: c.s.name, Domain: c.s.domain, Batch: c.s.batch, Full: full, Stay: c.stay}
	if held := c.s.Held(); held != nil {
		hello.Held, hello.Sum = held.Version(), held.Sum()
	} else {
		hello.Barrier = true
	}
	return wire.Frame{Hello: hello}
}

func (c *session) write(ctx context.Context) error {
	if err := c.conn.Send(ctx, c.hello(false)); err != nil {
		return err
	}
	beats := time.NewTicker(framer.BeatInterval)
	defer beats.Stop()
	for {
		var frame wire.Frame
		select {
		case frame = <-c.outgoing:
		case <-beats.C:
			frame = wire.Frame{Beat: &wire.Beat{}}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := c.conn.Send(ctx, frame); err != nil {
			return err
		}
	}
}

// read handles the controller's frames and reports whether there was any.
func (c *session) read(ctx context.Context) (bool, error) {
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
		if err := c.handle(ctx, frame); err != nil {
			return established, err
		}
	}
}

func (c *session) handle(ctx context.Context, frame wire.Frame) error {
	switch {
	case frame.Bye:
		return errStopping
	case frame.Refer != nil:
		return refer(*frame.Refer)
	case frame.Full != nil, frame.Delta != nil:
		return c.take(ctx, frame)
	case frame.Beat != nil:
		return c.beat(ctx, *frame.Beat)
	case frame.ID != 0:
		c.deliver(frame)
	}
	return nil
}

// take applies an update. After a rejected delta it asks for a full snapshot.
func (c *session) take(ctx context.Context, frame wire.Frame) error {
	err := c.s.take(frame)
	if errors.Is(err, ErrRejected) {
		c.s.log.Warn("update rejected", "error", err)
		if frame.Full != nil {
			return err
		}
		return c.enqueue(ctx, c.hello(true))
	}
	if err != nil {
		return err
	}
	held := c.s.Held()
	return c.enqueue(ctx, wire.Frame{Ack: &wire.Ack{Version: held.Version(), Sum: held.Sum()}})
}

// beat leaves a controller that has lacked a majority for StaleLimit, or that is farther away than another one.
func (c *session) beat(ctx context.Context, beat wire.Beat) error {
	if held := c.s.Held(); held != nil && beat.Version > held.Version() {
		return c.enqueue(ctx, c.hello(true))
	}
	if beat.Fresh {
		c.stale = time.Time{}
		// Without a snapshot the daemon would lose what it has waited for so far.
		if c.s.Held() != nil && c.idle() && c.s.nearer(c.to, time.Now()) {
			return errNearer
		}
		return nil
	}
	if c.stale.IsZero() {
		c.stale = time.Now()
	}
	if time.Since(c.stale) >= StaleLimit {
		return errStale
	}
	return nil
}

// idle reports whether no request waits for an answer.
func (c *session) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

func (c *session) enqueue(ctx context.Context, frame wire.Frame) error {
	select {
	case c.outgoing <- frame:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *session) deliver(frame wire.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, ok := c.pending[frame.ID]; ok {
		answer <- frame
		delete(c.pending, frame.ID)
	}
}
