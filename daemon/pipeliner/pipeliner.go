// Package pipeliner serves HTTP/1.1 connections of callers with pipelining: it reads further calls while earlier ones
// run, writes the responses in order, and cancels the calls of a caller that closes its connection.
package pipeliner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/accountant"
	"bluebellhoist/daemon/courier"
)

const (
	// maxPipelined is how many calls of one connection may run or wait for their response to be written.
	maxPipelined = 16
	// maxFields is the largest number of header fields of a call, and of fields in the trailer of its body.
	maxFields = 512
	// closeCheckInterval is the time between two checks whether a caller with a full queue of calls has left.
	closeCheckInterval = 50 * time.Millisecond
	// continueCheckInterval is the time between two checks whether all earlier calls of a caller that waits for
	// "100 Continue" have been answered.
	continueCheckInterval = 5 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// socketBufferBytes is the size of the buffers of the kernel for a connection, in each direction. What callers have
	// sent and the daemon has not read counts towards its memory.
	socketBufferBytes = 32 << 10
	// ConnectionBytes is the memory of a connection without calls: two goroutines, the read buffer and the socket.
	ConnectionBytes = 32 << 10
	// writePieceBytes is the part of a response that a caller must accept within writeTimeout. The two give the lowest
	// rate at which callers may read.
	writePieceBytes = 64 << 10
	writeTimeout    = 10 * time.Second
	// minReadRate is the lowest rate in bytes per second at which a body may arrive on average, apart from minRateGrace
	// or the idle time, whichever is longer.
	minReadRate  = 256
	minRateGrace = 30 * time.Second
	// lingerTimeout is how long the remaining input of a caller is read after the last response. Closing a connection
	// with unread data would reset it before the response arrives.
	lingerTimeout = 500 * time.Millisecond
)

// Bounds limits the size and duration of what a caller sends.
type Bounds struct {
	MaxHeaderBytes int           // largest header section in bytes
	MaxBodyBytes   int64         // largest body in bytes
	HeaderTimeout  time.Duration // longest time to receive a header section
	IdleTimeout    time.Duration // longest time without a call, and longest pause between two reads of a body
}

// defaultBounds applies while the configuration sets no bounds.
var defaultBounds = Bounds{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}

// Server serves the connections of callers. Its methods may be called concurrently.
type Server struct {
	handler func(context.Context, *courier.Request) *courier.Answer
	bounds  func() (Bounds, bool)
	log     hclog.Logger
	account *accountant.Account
	slots   chan struct{} // one element for each open connection; nil for no limit

	draining  atomic.Bool
	limitLog  limitLog
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

// WithAccount sets the account of the memory that callers occupy. The default is not limited.
func WithAccount(account *accountant.Account) Option {
	return func(s *Server) { s.account = account }
}

// WithMaxConnections sets the largest number of connections. The default is no limit.
func WithMaxConnections(connections int) Option {
	return func(s *Server) { s.slots = make(chan struct{}, connections) }
}

// New returns a Server. WithHandler is required.
func New(opts ...Option) *Server {
	s := &Server{
		bounds:  func() (Bounds, bool) { return Bounds{}, false },
		log:     hclog.NewNullLogger(),
		account: accountant.New(),
		conns:   map[*connection]struct{}{},
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
		if !s.acquireSlot() {
			s.countLimited(reasonConnections, raw)
			_ = raw.Close()
			continue
		}
		limitSocketBuffers(raw)
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
	s.account.AddFixed(ConnectionBytes)
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.account.AddFixed(-ConnectionBytes)
	c.releaseSlot()
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
