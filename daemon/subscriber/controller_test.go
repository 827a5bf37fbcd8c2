package subscriber_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coder/websocket"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
)

// controller is a fake at the other end of a session.
type controller struct {
	t     *testing.T
	conns chan net.Conn
	serve func(*peer)
}

func newController(ctx context.Context, t *testing.T, serve func(*peer)) *controller {
	c := &controller{t: t, conns: make(chan net.Conn), serve: serve}
	server := &http.Server{Handler: c}
	go func() { _ = server.Serve(c) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return c
}

func (c *controller) Accept() (net.Conn, error) {
	conn, ok := <-c.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (c *controller) Close() error { close(c.conns); return nil }

func (c *controller) Addr() net.Addr { return &net.TCPAddr{} }

func (c *controller) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case c.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	c.serve(&peer{t: c.t, ctx: r.Context(), conn: conn})
}

// peer is one session of the fake controller.
type peer struct {
	t    *testing.T
	ctx  context.Context
	conn *websocket.Conn
}

func (p *peer) send(frame wire.Frame) {
	data, err := encoder.Marshal(frame)
	if err != nil {
		p.t.Error(err)
	}
	_ = p.conn.Write(p.ctx, websocket.MessageBinary, data)
}

// next returns the next frame that is no beat, or false at the end of the session.
func (p *peer) next() (wire.Frame, bool) {
	for {
		var frame wire.Frame
		_, data, err := p.conn.Read(p.ctx)
		if err != nil || encoder.Unmarshal(data, &frame) != nil {
			return frame, false
		}
		if frame.Beat == nil {
			return frame, true
		}
	}
}

// beat sends beats until the session ends.
func (p *peer) beat(beat wire.Beat) {
	ended := make(chan struct{})
	go func() {
		p.drain()
		close(ended)
	}()
	for {
		select {
		case <-time.After(framer.BeatInterval):
			p.send(wire.Frame{Beat: &beat})
		case <-ended:
			return
		}
	}
}

func (p *peer) drain() {
	for {
		if _, ok := p.next(); !ok {
			return
		}
	}
}

func full(version uint64, names ...string) wire.Frame {
	batch := wire.Batch{Name: "counter", Version: version, Until: time.Now().Add(time.Hour).UnixMilli(), Services: []wire.Service{}}
	for _, name := range names {
		batch.Services = append(batch.Services, wire.Service{Name: name, Class: compiler.Normal, Limit: time.Second, Mod: version})
	}
	sum, _ := compiler.Sum(batch)
	return wire.Frame{Full: &wire.Full{Sum: sum, Batch: batch}}
}
