package courier

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// defaultIdleLimit is how long an idle connection is kept if the server does not send a Keep-Alive timeout.
	defaultIdleLimit = 4 * time.Second
	// idleLimitFraction is the fraction of the server's Keep-Alive timeout after which an idle connection is not
	// reused, because the server may already be closing it.
	idleLimitFraction = 0.6
	// sweepInterval is the time between two checks for connections that have been idle for too long.
	sweepInterval = time.Second
	// maxErrorsPerConn is the number of error responses after which a connection is closed. Until then it remembers the calls
	// that got them.
	maxErrorsPerConn = 64
	// maxAnswersPerCall is how many responses are read for a call, including responses to other calls that are skipped.
	maxAnswersPerCall = 8
)

var (
	// ErrUnsent reports that no byte of a call was sent.
	ErrUnsent = errors.New("call not sent")
	// ErrUnreachable reports that no connection could be opened. Errors that wrap it also wrap ErrUnsent.
	ErrUnreachable = errors.New("cannot connect")
	// ErrIncompleteAnswer reports that a call may have been received, but no complete response arrived.
	ErrIncompleteAnswer = errors.New("no complete response")
)

// Client sends calls over reused connections. Its methods may be called concurrently.
type Client struct {
	dial        func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	dialTimeout time.Duration
	now         func() time.Time
	memory      responseMemory

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// Option configures a Client.
type Option func(*Client)

// WithDial sets the function that opens connections and its timeout.
func WithDial(dial func(context.Context, netip.AddrPort) (net.Conn, error), timeout time.Duration) Option {
	return func(c *Client) { c.dial, c.dialTimeout = dial, timeout }
}

// WithMemory sets how many bytes responses may take in total while they are read, apart from small ones. The default is
// derived from the memory limit of the process. Bodies are buffered as a whole, so that no truncated response is passed on.
func WithMemory(bytes int64) Option {
	return func(c *Client) { c.memory.available.Store(bytes) }
}

// New returns a Client.
func New(opts ...Option) *Client {
	c := &Client{
		dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		},
		dialTimeout: time.Second,
		now:         time.Now,
		idle:        map[netip.AddrPort][]*conn{},
	}
	c.memory.available.Store(defaultMemoryBytes())
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Call is a request with the options for sending it.
type Call struct {
	Request *Request
	// MaxIdle is the longest idle time of a connection that may be reused; 0 means no limit other than the idle limit of
	// the connection. The server may close a connection that was idle for long while the request is in transit.
	MaxIdle time.Duration
	// EchoHeader names a header that the response must contain with the value EchoValue; empty for none. Responses with
	// another value belong to other calls and are skipped.
	EchoHeader, EchoValue string
	// Fresh is true if the call must have a connection of its own. A call without an EchoValue cannot tell its response from one
	// that the server repeats.
	Fresh bool
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	r         *bufio.Reader
	memory    *responseMemory
	idleLimit time.Duration // idle time after which the connection is not reused
	idleSince time.Time     // when the connection became idle
	reused    bool          // the connection has carried a call before
	broken    bool          // a write has failed, so the end of the connection may be that of a reset
	errorIDs  []string      // echo values of the calls that got an error response on this connection
}

// canCarry reports whether the response to a call can be told from those that the server may repeat on the connection. A server
// in trouble may send an earlier refusal once more; if the call is a further attempt of the refused one, the echo value does not
// tell them apart.
func (c *conn) canCarry(call Call) bool {
	return !call.Fresh && (call.EchoValue == "" || !slices.Contains(c.errorIDs, call.EchoValue))
}

// observe remembers a call that got an error response.
func (c *conn) observe(call Call, answer *Answer) {
	if call.EchoValue != "" && answer.Status >= http.StatusBadRequest {
		c.errorIDs = append(c.errorIDs, call.EchoValue)
	}
}

// Do sends a call and returns its response. An error wraps ErrUnsent if no byte was sent, and ErrIncompleteAnswer
// otherwise.
func (c *Client) Do(ctx context.Context, to netip.AddrPort, call Call) (*Answer, error) {
	for {
		conn, err := c.connect(ctx, to, call)
		if err != nil {
			return nil, fmt.Errorf("%w: %w: %v", ErrUnsent, ErrUnreachable, err)
		}
		reused := conn.reused // another call may have taken the connection from the pool when doOnConn returns
		answer, err := c.doOnConn(ctx, to, conn, call)
		if reused && errors.Is(err, ErrUnsent) && ctx.Err() == nil {
			continue // the server closed the idle connection; nothing was sent, so use another one
		}
		return answer, err
	}
}

// doOnConn sends a call on a connection. It closes the connection afterwards or keeps it for reuse.
func (c *Client) doOnConn(ctx context.Context, to netip.AddrPort, conn *conn, call Call) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer, err := conn.exchange(call)
	if !stop() || err != nil || answer.Close || conn.r.Buffered() > 0 || call.Fresh {
		_ = conn.Close()
		return answer, err
	}
	conn.observe(call, answer)
	if len(conn.errorIDs) >= maxErrorsPerConn {
		_ = conn.Close()
		return answer, nil
	}
	conn.updateIdleLimit(answer)
	c.putIdle(to, conn)
	return answer, nil
}

// exchange writes the request and reads the response.
func (c *conn) exchange(call Call) (*Answer, error) {
	buffers := call.Request.Body.buffers(call.Request.encodeHead())
	n, err := buffers.WriteTo(c.Conn)
	if err != nil && n == 0 {
		return nil, fmt.Errorf("%w: %v", ErrUnsent, err)
	}
	if err != nil { // net.Buffers reports an error only if not all bytes were written
		// The server may have responded before it read the whole body.
		c.broken = true
		if a, readErr := c.readAnswer(call.Request.Method); readErr == nil && call.matches(a) {
			a.Close = true
			return a, nil
		}
		return nil, fmt.Errorf("%w: %v", ErrIncompleteAnswer, err)
	}
	for range maxAnswersPerCall {
		a, err := c.readAnswer(call.Request.Method)
		if err != nil {
			return nil, err
		}
		if call.matches(a) {
			return a, nil
		}
		if a.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: received only responses to other calls", ErrIncompleteAnswer)
}

func (call Call) matches(a *Answer) bool {
	return call.EchoHeader == "" || a.Header.Get(call.EchoHeader) == call.EchoValue
}

// updateIdleLimit derives the idle limit from the Keep-Alive header of a response.
func (c *conn) updateIdleLimit(a *Answer) {
	for part := range strings.SplitSeq(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.idleLimit = time.Duration(float64(seconds) * idleLimitFraction * float64(time.Second))
		}
	}
}

// connect returns the most recently used idle connection that can carry the call, or a new one.
func (c *Client) connect(ctx context.Context, to netip.AddrPort, call Call) (*conn, error) {
	for {
		idle := c.takeIdle(to, call)
		if idle == nil {
			break
		}
		if idle.isReusable() {
			return idle, nil
		}
		_ = idle.Close()
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, readBufferBytes), memory: &c.memory, idleLimit: defaultIdleLimit}, nil
}

func (c *Client) takeIdle(to netip.AddrPort, call Call) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.prune(to, now)
	list := c.idle[to]
	for i := len(list) - 1; i >= 0; i-- {
		idle := list[i]
		if call.MaxIdle > 0 && now.Sub(idle.idleSince) > call.MaxIdle {
			return nil
		}
		if idle.canCarry(call) {
			c.idle[to] = slices.Delete(list, i, i+1)
			return idle
		}
	}
	return nil
}

func (c *Client) putIdle(to netip.AddrPort, conn *conn) {
	conn.idleSince, conn.reused = c.now(), true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[to] = append(c.idle[to], conn)
}

// prune closes the connections to an address that have been idle for too long. c.mu must be held.
func (c *Client) prune(to netip.AddrPort, now time.Time) {
	list := c.idle[to]
	// The list is ordered by idle time, longest first.
	for len(list) > 0 && now.Sub(list[0].idleSince) > list[0].idleLimit {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[to] = list
	if len(list) == 0 {
		delete(c.idle, to)
	}
}

// CloseIdle closes the idle connections to an address, for example after one of them has gone silent.
func (c *Client) CloseIdle(to netip.AddrPort) {
	c.mu.Lock()
	list := c.idle[to]
	delete(c.idle, to)
	c.mu.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

// Run closes connections that have been idle for too long, and all idle connections when ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer c.close()
	for {
		select {
		case <-ticker.C:
			c.sweep()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Client) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for to := range c.idle {
		c.prune(to, now)
	}
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
	clear(c.idle)
}

// isReusable reports whether an idle connection is still open and has received no data. It peeks at the socket without
// consuming data.
func (c *conn) isReusable() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}
