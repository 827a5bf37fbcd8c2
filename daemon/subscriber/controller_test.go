package subscriber_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
)

// fakeController is an HTTP server in memory that accepts daemon sessions and watches and passes each of them to its function.
type fakeController struct {
	t          *testing.T
	conns      chan net.Conn
	serve      func(*fakeSession)
	serveWatch func(*fakeSession) // sends nothing unless a test sets it

	mu   sync.Mutex
	open []net.Conn
}

func newFakeController(ctx context.Context, t *testing.T, serve func(*fakeSession)) *fakeController {
	c := &fakeController{t: t, conns: make(chan net.Conn), serve: serve, serveWatch: (*fakeSession).drain}
	server := &http.Server{Handler: c}
	go func() { _ = server.Serve(c) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return c
}

func (c *fakeController) Accept() (net.Conn, error) {
	conn, ok := <-c.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (c *fakeController) Close() error { close(c.conns); return nil }

func (c *fakeController) Addr() net.Addr { return &net.TCPAddr{} }

func (c *fakeController) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case c.conns <- server:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.open = append(c.open, server)
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dropConns closes all connections.
func (c *fakeController) dropConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
}

func (c *fakeController) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	p := &fakeSession{t: c.t, ctx: r.Context(), conn: conn}
	hello, ok := p.receiveAny()
	if !ok {
		return
	}
	p.first = &hello
	if hello.Hello != nil && hello.Hello.Watch {
		c.serveWatch(p)
		return
	}
	c.serve(p)
}

// fakeSession is the controller's side of one session.
type fakeSession struct {
	t     *testing.T
	ctx   context.Context
	conn  *websocket.Conn
	first *wire.Frame // received and not yet returned by receiveAny; nil if none
}

func (p *fakeSession) send(frame wire.Frame) {
	data, err := encoder.Marshal(frame)
	if err != nil {
		p.t.Error(err)
	}
	_ = p.conn.Write(p.ctx, websocket.MessageBinary, data)
}

// receive returns the next frame that is not a heartbeat, or false at the end of the session.
func (p *fakeSession) receive() (wire.Frame, bool) {
	for {
		frame, ok := p.receiveAny()
		if !ok || frame.Heartbeat == nil {
			return frame, ok
		}
	}
}

// sendHeartbeats sends the same heartbeat until the session ends.
func (p *fakeSession) sendHeartbeats(heartbeat wire.Heartbeat) {
	p.sendEachHeartbeat(func() wire.Heartbeat { return heartbeat })
}

// sendEachHeartbeat sends what next returns until the session ends.
func (p *fakeSession) sendEachHeartbeat(next func() wire.Heartbeat) {
	ended := make(chan struct{})
	go func() {
		p.drain()
		close(ended)
	}()
	for {
		select {
		case <-time.After(framer.HeartbeatInterval):
			heartbeat := next()
			p.send(wire.Frame{Heartbeat: &heartbeat})
		case <-ended:
			return
		}
	}
}

// drain reads and discards frames until the session ends.
func (p *fakeSession) drain() {
	for {
		if _, ok := p.receive(); !ok {
			return
		}
	}
}

// fullFrame returns a full snapshot frame with the given version and services.
func fullFrame(version uint64, names ...string) wire.Frame {
	batch := wire.Batch{Name: "counter", Version: version, Until: time.Now().Add(time.Hour).UnixMilli(), Services: []wire.Service{}}
	for _, name := range names {
		batch.Services = append(batch.Services, wire.Service{Name: name, Class: compiler.Normal, Limit: time.Second, Mod: version})
	}
	sum, _ := compiler.Checksum(batch)
	return wire.Frame{Full: &wire.Full{Sum: sum, Batch: batch}}
}
