// Package pipeliner serves HTTP/1.1 connections of callers: it reads calls ahead while earlier ones run, answers in
// order, and ends the calls of a caller that closed its connection.
package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/daemon/courier"
)

const (
	// ahead is how many calls of one connection run or wait for their turn to be answered.
	ahead = 16
	// readBuffer is the size in bytes of the buffer of a connection.
	readBuffer = 4 << 10
	// writeTimeout ends a connection whose caller does not read.
	writeTimeout = 10 * time.Second
	// lingerTime is how long the rest of what a caller sends is read after the last answer, since a close with unread
	// bytes would reset the connection before the answer arrives.
	lingerTime = 500 * time.Millisecond
)

// Bounds limits what a caller may send.
type Bounds struct {
	Header int           // bytes
	Body   int64         // bytes
	Wait   time.Duration // for a header
	Idle   time.Duration // without a call
}

// defaultBounds hold while the configuration has none.
var defaultBounds = Bounds{Header: 64 << 10, Body: 64 << 20, Wait: 10 * time.Second, Idle: time.Minute}

// Server serves connections. Its methods may be called concurrently.
type Server struct {
	handle func(context.Context, *courier.Request) *courier.Answer
	bounds func() (Bounds, bool)
	log    hclog.Logger

	closing atomic.Bool
	mu      sync.Mutex
	conns   map[*connection]struct{}
	ended   sync.WaitGroup
}

// Option sets up a Server.
type Option func(*Server)

// WithHandle sets the function that answers a call. Its context ends when the caller closes the connection.
func WithHandle(handle func(context.Context, *courier.Request) *courier.Answer) Option {
	return func(s *Server) { s.handle = handle }
}

// WithBounds sets the source of the bounds; it returns false while there are none.
func WithBounds(bounds func() (Bounds, bool)) Option {
	return func(s *Server) { s.bounds = bounds }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(s *Server) { s.log = log }
}

// New returns a server. WithHandle is required.
func New(opts ...Option) *Server {
	s := &Server{
		bounds: func() (Bounds, bool) { return Bounds{}, false },
		log:    hclog.NewNullLogger(),
		conns:  map[*connection]struct{}{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Serve accepts connections until ctx ends, closes what is left then and returns once every call has ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.ended.Wait()
	defer s.closeAll()
	for {
		raw, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		case err != nil:
			// Too many open files; the connections that are open go on.
			s.log.Warn("connection not accepted", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := newConnection(s, raw)
		s.add(c)
		s.ended.Go(func() {
			defer s.remove(c)
			c.run(ctx)
		})
	}
}

// Drain makes the server end each connection with its next answer.
func (s *Server) Drain() {
	s.closing.Store(true)
}

// Pending returns the number of calls that were read and whose answers are not written yet.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := 0
	for c := range s.conns {
		pending += int(c.pending.Load())
	}
	return pending
}

func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
}

func (s *Server) limits() Bounds {
	if b, ok := s.bounds(); ok {
		return b
	}
	return defaultBounds
}

// exchange is one call on a connection and the place of its answer.
type exchange struct {
	method string
	close  bool
	answer chan *courier.Answer
}

// connection is one connection of a caller.
type connection struct {
	s     *Server
	raw   net.Conn
	in    *limitedReader
	r     *bufio.Reader
	queue chan *exchange

	pending atomic.Int32 // calls that are not answered yet
	last    atomic.Bool  // the last answer of the connection is being written; what follows counts as not read
}

func newConnection(s *Server, raw net.Conn) *connection {
	c := &connection{s: s, raw: raw, queue: make(chan *exchange, ahead)}
	c.in = &limitedReader{r: raw}
	c.r = bufio.NewReaderSize(c.in, readBuffer)
	return c
}

func (c *connection) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write(cancel)
	}()
	var calls sync.WaitGroup
	if gone := c.read(ctx, &calls); gone {
		cancel()
	}
	close(c.queue)
	<-written
	calls.Wait()
	_ = c.raw.Close()
}

// read starts the calls of the connection and reports whether the caller has gone.
func (c *connection) read(ctx context.Context, calls *sync.WaitGroup) (gone bool) {
	for {
		bounds := c.s.limits()
		request, refusal, err := c.next(bounds)
		if err != nil {
			return !errors.Is(err, errIdle)
		}
		if c.last.Load() {
			return false
		}
		c.pending.Add(1)
		e := &exchange{answer: make(chan *courier.Answer, 1)}
		if refusal != nil {
			refusal.Close = true
			e.close = true
			e.answer <- refusal
			return !c.push(ctx, e)
		}
		e.method, e.close = request.Method, request.Close
		if !c.push(ctx, e) {
			return true
		}
		calls.Go(func() { e.answer <- c.s.handle(ctx, request) })
		if request.Close {
			return c.watch()
		}
	}
}

func (c *connection) push(ctx context.Context, e *exchange) bool {
	select {
	case c.queue <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// watch waits until the caller closes the connection after its last call, and reports that it did.
func (c *connection) watch() bool {
	_ = c.raw.SetReadDeadline(time.Time{})
	_, err := c.r.ReadByte()
	return err != nil && !errors.Is(err, net.ErrClosed)
}

// errIdle reports a connection without a call within the bounds.
var errIdle = errors.New("idle")

// next reads one call. A refusal is the answer to a call that is not valid.
func (c *connection) next(bounds Bounds) (*courier.Request, *courier.Answer, error) {
	c.in.left = int64(bounds.Header) + readBuffer
	_ = c.raw.SetReadDeadline(time.Now().Add(bounds.Idle))
	if _, err := c.r.Peek(1); err != nil {
		if !isTimeout(err) {
			return nil, nil, err
		}
		if c.pending.Load() > 0 {
			return c.next(bounds)
		}
		return nil, nil, errIdle
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(bounds.Wait))
	r, err := http.ReadRequest(c.r)
	switch {
	case err == nil:
	case c.in.left <= 0:
		return nil, refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is too large"), nil
	case isTimeout(c.in.err):
		return nil, refuse(http.StatusRequestTimeout, "the header took too long"), nil
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isLost(c.in.err):
		return nil, nil, err
	default:
		return nil, refuse(http.StatusBadRequest, "malformed request: "+err.Error()), nil
	}
	c.in.left = bounds.Body + int64(bounds.Header) + readBuffer
	return c.body(r, bounds)
}

// body reads the body of a call.
func (c *connection) body(r *http.Request, bounds Bounds) (*courier.Request, *courier.Answer, error) {
	if r.ContentLength > bounds.Body {
		return nil, refuse(http.StatusRequestEntityTooLarge, "the body is too large"), nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(bounds.Idle))
	body, err := io.ReadAll(io.LimitReader(r.Body, bounds.Body+1))
	switch {
	case err != nil && isTimeout(err):
		return nil, refuse(http.StatusRequestTimeout, "the body took too long"), nil
	case err != nil:
		return nil, nil, err
	case int64(len(body)) > bounds.Body:
		return nil, refuse(http.StatusRequestEntityTooLarge, "the body is too large"), nil
	}
	courier.RemoveHopByHop(r.Header)
	r.Header.Del("Expect") // met above
	return &courier.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Close: r.Close || !r.ProtoAtLeast(1, 1),
	}, nil, nil
}

// write answers calls in order until the queue is closed or a connection ends.
func (c *connection) write(cancel context.CancelFunc) {
	for e := range c.queue {
		a := <-e.answer
		last := e.close || a.Close || c.s.closing.Load()
		a.Close = last
		c.last.Store(last)
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.raw.Write(a.Encode(e.method))
		c.pending.Add(-1)
		if err != nil {
			cancel()
		}
		if err != nil || last {
			c.finish()
			break
		}
	}
	// Calls behind the last answer count as not read; their handlers end with the connection.
	cancel()
	for range c.queue {
		continue
	}
}

// finish ends the connection so that the last answer arrives.
func (c *connection) finish() {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		_ = c.raw.Close()
		return
	}
	_ = tcp.CloseWrite()
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
}

func refuse(status int, text string) *courier.Answer {
	return &courier.Answer{Status: status, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(text + "\n")}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isLost reports an error of the connection.
func isLost(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// limitedReader bounds the bytes of one call.
type limitedReader struct {
	r    io.Reader
	left int64
	err  error // of the last read; the parser of headers hides it
}

// Read reads up to the bound.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	l.err = err
	return n, err
}
