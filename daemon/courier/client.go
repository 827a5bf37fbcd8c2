package courier

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the size in bytes of the buffer of a connection.
	readBuffer = 4 << 10
	// idleLimit is how long a connection is kept if the other side does not tell its limit.
	idleLimit = 4 * time.Second
	// idleShare is the part of the other side's idle limit after which a connection is not used again, since the close
	// of the other side may be on its way.
	idleShare = 0.6
	// sweepInterval is the time between two looks for connections that were idle for too long.
	sweepInterval = time.Second
	// maxStray is how many answers to other calls are skipped before the one that is waited for.
	maxStray = 8
)

var (
	// ErrUnsent reports a call of which no byte was sent.
	ErrUnsent = errors.New("call not sent")
	// ErrUnreachable reports an ErrUnsent because no connection could be opened.
	ErrUnreachable = errors.New("no connection")
	// ErrBroken reports a call that may have been received, without a whole answer to it.
	ErrBroken = errors.New("no whole answer")
)

// Client sends calls over kept connections. Its methods may be called concurrently.
type Client struct {
	dial    func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	timeout time.Duration
	now     func() time.Time
	memory  memory

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// Option sets up a Client.
type Option func(*Client)

// WithDial sets the function that opens connections, and how long it may take.
func WithDial(dial func(context.Context, netip.AddrPort) (net.Conn, error), timeout time.Duration) Option {
	return func(c *Client) { c.dial, c.timeout = dial, timeout }
}

// WithMemory sets how many bytes the bodies of answers may take together while they are read. By default it follows the
// memory limit of the process. Answers are held whole, so that none is cut on its way.
func WithMemory(bytes int64) Option {
	return func(c *Client) { c.memory.left.Store(bytes) }
}

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{
		dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		},
		timeout: time.Second,
		now:     time.Now,
		idle:    map[netip.AddrPort][]*conn{},
	}
	c.memory.left.Store(defaultMemory())
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Call is what the client needs to know about a request.
type Call struct {
	Request *Request
	// MaxIdle is the longest idle time of a connection that may be used; 0 for the usual limit. A connection that was
	// idle for long may be closed by the other side while the request is on its way.
	MaxIdle time.Duration
	// EchoHeader names a header that the answer must repeat with EchoValue; empty for none. Answers with another value
	// belong to other calls and are skipped.
	EchoHeader, EchoValue string
}

// conn is one connection.
type conn struct {
	net.Conn
	r      *bufio.Reader
	head   *headReader
	memory *memory
	limit  time.Duration // idle time after which it is not used again
	since  time.Time     // when it became idle
	kept   bool          // it has carried a call before
}

// Do sends a call and returns its answer. An error wraps ErrUnsent if no byte was sent, else ErrBroken.
func (c *Client) Do(ctx context.Context, to netip.AddrPort, call Call) (*Answer, error) {
	for {
		conn, err := c.connect(ctx, to, call.MaxIdle)
		if err != nil {
			return nil, fmt.Errorf("%w: %w: %v", ErrUnsent, ErrUnreachable, err)
		}
		answer, err := c.use(ctx, to, conn, call)
		if conn.kept && errors.Is(err, ErrUnsent) && ctx.Err() == nil {
			continue // the other side closed it at the same moment
		}
		return answer, err
	}
}

// use sends a call on a connection and keeps or closes that.
func (c *Client) use(ctx context.Context, to netip.AddrPort, conn *conn, call Call) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer, err := conn.exchange(call)
	if !stop() || err != nil || answer.Close || conn.r.Buffered() > 0 {
		_ = conn.Close()
		return answer, err
	}
	conn.learn(answer)
	c.keep(to, conn)
	return answer, nil
}

// exchange sends the request and reads the answer.
func (c *conn) exchange(call Call) (*Answer, error) {
	data := call.Request.encode()
	n, err := c.Write(data)
	if err != nil && n == 0 {
		return nil, fmt.Errorf("%w: %v", ErrUnsent, err)
	}
	if err != nil && n < len(data) {
		// The other side may have answered before it read the whole body.
		if a, readErr := c.readAnswer(call.Request.Method); readErr == nil && call.matches(a) {
			a.Close = true
			return a, nil
		}
		return nil, fmt.Errorf("%w: %v", ErrBroken, err)
	}
	for range maxStray {
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
	return nil, fmt.Errorf("%w: answers to other calls only", ErrBroken)
}

func (call Call) matches(a *Answer) bool {
	return call.EchoHeader == "" || a.Header.Get(call.EchoHeader) == call.EchoValue
}

// learn takes the idle limit of the other side from its answer.
func (c *conn) learn(a *Answer) {
	for part := range strings.SplitSeq(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.limit = time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
}

// connect returns the connection that became idle last, or a new one.
func (c *Client) connect(ctx context.Context, to netip.AddrPort, maxIdle time.Duration) (*conn, error) {
	for {
		kept := c.take(to, maxIdle)
		if kept == nil {
			break
		}
		if kept.quiet() {
			return kept, nil
		}
		_ = kept.Close()
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	r, head := newReader(raw)
	return &conn{Conn: raw, r: r, head: head, memory: &c.memory, limit: idleLimit}, nil
}

func (c *Client) take(to netip.AddrPort, maxIdle time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.prune(to, now)
	list := c.idle[to]
	n := len(list)
	if n == 0 || maxIdle > 0 && now.Sub(list[n-1].since) > maxIdle {
		return nil
	}
	c.idle[to] = list[:n-1]
	return list[n-1]
}

func (c *Client) keep(to netip.AddrPort, conn *conn) {
	conn.since, conn.kept = c.now(), true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[to] = append(c.idle[to], conn)
}

// prune closes the connections to an address that were idle for too long. The lock must be held.
func (c *Client) prune(to netip.AddrPort, now time.Time) {
	list := c.idle[to]
	// The oldest ones come first.
	for len(list) > 0 && now.Sub(list[0].since) > list[0].limit {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[to] = list
	if len(list) == 0 {
		delete(c.idle, to)
	}
}

// Forget closes the idle connections to an address, for example after one of them went silent.
func (c *Client) Forget(to netip.AddrPort) {
	c.mu.Lock()
	list := c.idle[to]
	delete(c.idle, to)
	c.mu.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

// Run closes connections that were idle for too long, and all idle ones when ctx ends.
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

// quiet reports whether the other side has sent nothing and not closed the connection while it was idle. It looks at the
// socket without reading from it.
func (c *conn) quiet() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
