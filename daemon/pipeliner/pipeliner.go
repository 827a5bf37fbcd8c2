// Package pipeliner serves HTTP/1.1 connections of callers with pipelining: it reads further calls while earlier ones
// run, writes the responses in order, and cancels the calls of a caller that closes its connection.
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
	// maxPipelined is how many calls of one connection may run or wait for their response to be written.
	maxPipelined = 16
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// writeTimeout is how long writing a response may take. It closes connections whose caller does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long the remaining input of a caller is read after the last response. Closing a connection
	// with unread data would reset it before the response arrives.
	lingerTimeout = 500 * time.Millisecond
)

// Bounds limits the size and duration of what a caller sends.
type Bounds struct {
	MaxHeaderBytes int           // largest header section in bytes
	MaxBodyBytes   int64         // largest body in bytes
	HeaderTimeout  time.Duration // longest time to receive a header section
	IdleTimeout    time.Duration // longest time without a call; also limits receiving a body
}

// defaultBounds applies while the configuration sets no bounds.
var defaultBounds = Bounds{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}

// Server serves the connections of callers. Its methods may be called concurrently.
type Server struct {
	handler func(context.Context, *courier.Request) *courier.Answer
	bounds  func() (Bounds, bool)
	log     hclog.Logger

	draining  atomic.Bool
	mu        sync.Mutex
	conns     map[*connection]struct{}
	connGroup sync.WaitGroup
}

// Option configures a Server.
type Option func(*Server)

// WithHandler sets the function that handles a call. Its context is canceled when the caller closes the connection.
func WithHandler(handler func(context.Context, *courier.Request) *courier.Answer) Option {
	return func(s *Server) { s.handler = handler }
}

// WithBounds sets the function that returns the configured bounds, or false while there are none.
func WithBounds(bounds func() (Bounds, bool)) Option {
	return func(s *Server) { s.bounds = bounds }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(s *Server) { s.log = log }
}

// New returns a Server. WithHandler is required.
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

// Serve accepts connections until ctx ends. It then closes the open connections and returns after all calls have ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.connGroup.Wait()
	defer s.closeAll()
	for {
		raw, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		case err != nil:
			// Usually too many open files. Open connections are not affected.
			s.log.Warn("failed to accept a connection; retrying", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := newConnection(s, raw)
		s.add(c)
		s.connGroup.Go(func() {
			defer s.remove(c)
			c.serve(ctx)
		})
	}
}

// Drain makes the server close each connection after its next response.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Pending returns the number of calls that were read and whose responses have not been written.
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

func (s *Server) currentBounds() Bounds {
	if b, ok := s.bounds(); ok {
		return b
	}
	return defaultBounds
}

// pipelinedCall is a call on a connection whose response is written when its turn comes.
type pipelinedCall struct {
	method string
	close  bool
	answer chan *courier.Answer
}

// connection is a connection of a caller.
type connection struct {
	server  *Server
	raw     net.Conn
	limited *limitedReader
	r       *bufio.Reader
	queue   chan *pipelinedCall

	pending atomic.Int32 // calls whose response has not been written
	closing atomic.Bool  // the last response is being written; calls read after that are discarded
}

func newConnection(s *Server, raw net.Conn) *connection {
	c := &connection{server: s, raw: raw, queue: make(chan *pipelinedCall, maxPipelined)}
	c.limited = &limitedReader{r: raw}
	c.r = bufio.NewReaderSize(c.limited, readBufferBytes)
	return c
}

func (c *connection) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeAnswers(cancel)
	}()
	var calls sync.WaitGroup
	if lost := c.readCalls(ctx, &calls); lost {
		cancel()
	}
	close(c.queue)
	<-writerDone
	calls.Wait()
	_ = c.raw.Close()
}

// readCalls reads calls and starts their handlers. It reports whether the calls in flight must be canceled,
// since the connection is lost.
func (c *connection) readCalls(ctx context.Context, calls *sync.WaitGroup) (lost bool) {
	for {
		bounds := c.server.currentBounds()
		request, rejection, err := c.readCall(bounds)
		if err != nil {
			return !errors.Is(err, errIdleTimeout)
		}
		if c.closing.Load() {
			return false
		}
		c.pending.Add(1)
		call := &pipelinedCall{answer: make(chan *courier.Answer, 1)}
		if rejection != nil {
			rejection.Close = true
			call.close = true
			call.answer <- rejection
			return !c.enqueue(ctx, call)
		}
		call.method, call.close = request.Method, request.Close
		if !c.enqueue(ctx, call) {
			return true
		}
		calls.Go(func() { call.answer <- c.server.handler(ctx, request) })
		if request.Close {
			return c.waitForClose()
		}
	}
}

func (c *connection) enqueue(ctx context.Context, call *pipelinedCall) bool {
	select {
	case c.queue <- call:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForClose waits until the caller closes the connection after its last call, and reports whether the caller did.
func (c *connection) waitForClose() bool {
	_ = c.raw.SetReadDeadline(time.Time{})
	_, err := c.r.ReadByte()
	return err != nil && !errors.Is(err, net.ErrClosed)
}

// errIdleTimeout reports that no call arrived or was in progress for Bounds.IdleTimeout.
var errIdleTimeout = errors.New("idle")

// readCall reads one call. If the call is invalid, it returns the response that rejects it.
func (c *connection) readCall(bounds Bounds) (*courier.Request, *courier.Answer, error) {
	c.limited.remaining = int64(bounds.MaxHeaderBytes) + readBufferBytes
	_ = c.raw.SetReadDeadline(time.Now().Add(bounds.IdleTimeout))
	if _, err := c.r.Peek(1); err != nil {
		if !isTimeout(err) {
			return nil, nil, err
		}
		if c.pending.Load() > 0 {
			return c.readCall(bounds)
		}
		return nil, nil, errIdleTimeout
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(bounds.HeaderTimeout))
	r, err := http.ReadRequest(c.r)
	switch {
	case err == nil:
	case c.limited.remaining <= 0:
		return nil, refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is too large"), nil
	case isTimeout(c.limited.lastErr):
		return nil, refuse(http.StatusRequestTimeout, "the header took too long"), nil
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isConnError(c.limited.lastErr):
		return nil, nil, err
	default:
		return nil, refuse(http.StatusBadRequest, "malformed request: "+err.Error()), nil
	}
	c.limited.remaining = bounds.MaxBodyBytes + int64(bounds.MaxHeaderBytes) + readBufferBytes
	return c.readBody(r, bounds)
}

// readBody reads the body of a call.
func (c *connection) readBody(r *http.Request, bounds Bounds) (*courier.Request, *courier.Answer, error) {
	if r.ContentLength > bounds.MaxBodyBytes {
		return nil, refuse(http.StatusRequestEntityTooLarge, "the body is too large"), nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(bounds.IdleTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, bounds.MaxBodyBytes+1))
	switch {
	case err != nil && isTimeout(err):
		return nil, refuse(http.StatusRequestTimeout, "the body took too long"), nil
	case err != nil:
		return nil, nil, err
	case int64(len(body)) > bounds.MaxBodyBytes:
		return nil, refuse(http.StatusRequestEntityTooLarge, "the body is too large"), nil
	}
	courier.RemoveHopByHop(r.Header)
	r.Header.Del("Expect") // handled above
	return &courier.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Close: r.Close || !r.ProtoAtLeast(1, 1),
	}, nil, nil
}

// writeAnswers writes the responses in order until the queue is closed or the connection ends.
func (c *connection) writeAnswers(cancel context.CancelFunc) {
	for call := range c.queue {
		a := <-call.answer
		last := call.close || a.Close || c.server.draining.Load()
		a.Close = last
		c.closing.Store(last)
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.raw.Write(a.Encode(call.method))
		c.pending.Add(-1)
		if err != nil {
			cancel()
		}
		if err != nil || last {
			c.closeGracefully()
			break
		}
	}
	// Calls after the last response are treated as not received. Canceling the context ends their handlers.
	cancel()
	for range c.queue {
		continue
	}
}

// closeGracefully closes the write side and lets the reader consume the remaining input, so that the last response
// arrives.
func (c *connection) closeGracefully() {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		_ = c.raw.Close()
		return
	}
	_ = tcp.CloseWrite()
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func refuse(status int, text string) *courier.Answer {
	return &courier.Answer{Status: status, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(text + "\n")}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// isConnError reports whether err is a network error of the connection.
func isConnError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr)
}

// limitedReader limits the bytes that are read for one call.
type limitedReader struct {
	r         io.Reader
	remaining int64
	lastErr   error // error of the last read; http.ReadRequest does not return it
}

// Read reads up to the limit and then returns io.ErrUnexpectedEOF.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	l.lastErr = err
	return n, err
}
