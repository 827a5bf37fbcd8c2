// Package gatekeeper limits what callers of an HTTP endpoint may occupy: connections, memory for request bodies, and time.
package gatekeeper

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/accountant"
)

const (
	// DefaultConnections is the largest number of connections of an endpoint that only the own machine, the platform and
	// operators use.
	DefaultConnections = 64
	// ConnectionBytes is the memory of a connection without a request: goroutine, buffers of net/http, and the socket.
	ConnectionBytes = 32 << 10
	// maxHeaderBytes is the largest header section of a request. net/http allows 4 KiB more.
	maxHeaderBytes = 8 << 10
	// headerCost is the memory that a byte of a header section takes at most: the shortest field has 4 bytes.
	headerCost = 24
	// socketBufferBytes is the size of the buffers of the kernel for a connection, in each direction.
	socketBufferBytes = 32 << 10

	// defaultBodyCost is the memory that a byte of a request body takes unless WithBodyCost states it.
	defaultBodyCost = 2

	// headerTimeout bounds reading the header section of a request.
	headerTimeout = 5 * time.Second
	// requestTimeout bounds reading a request and writing its response. It allows the largest configuration on a slow link.
	requestTimeout = 2 * time.Minute
	// idleTimeout is how long a connection may wait for its next request.
	idleTimeout = 2 * time.Minute
	// logInterval is the shortest time between two log lines for the same reason.
	logInterval = time.Second
)

// Gate guards one endpoint. Its methods may be called concurrently.
type Gate struct {
	name     string
	account  *accountant.Account
	bodyCost int64 // memory that a byte of a request body takes
	log      hclog.Logger
	slots    chan struct{} // one element for each open connection

	mu       sync.Mutex
	conns    map[*conn]struct{}
	lastLog  map[string]time.Time // by reason
	unlogged map[string]int       // connections closed since the last log line, by reason
}

// Reasons for which connections are closed.
const (
	reasonConnections = "connections" // there are too many
	reasonRequest     = "request"     // the header section of a request was too large, too slow, malformed or incomplete
)

// Option configures a Gate.
type Option func(*Gate)

// WithAccount sets the account of the memory that callers occupy. The default is not limited.
func WithAccount(account *accountant.Account) Option {
	return func(g *Gate) { g.account = account }
}

// WithMaxConnections sets the largest number of connections. The default is DefaultConnections.
func WithMaxConnections(connections int) Option {
	return func(g *Gate) { g.slots = make(chan struct{}, connections) }
}

// WithBodyCost sets how much memory a byte of a request body takes until the request is answered, decoded forms included.
// The default is 2.
func WithBodyCost(cost int64) Option {
	return func(g *Gate) { g.bodyCost = cost }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(g *Gate) { g.log = log }
}

// New returns a gate of the endpoint with the given name.
func New(name string, opts ...Option) *Gate {
	g := &Gate{
		name: name, account: accountant.New(), bodyCost: defaultBodyCost, log: hclog.NewNullLogger(),
		slots: make(chan struct{}, DefaultConnections), conns: map[*conn]struct{}{},
		lastLog: map[string]time.Time{}, unlogged: map[string]int{},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Listen listens on an address. If there are too many connections, the listener closes one that is idle or whose request is
// still arriving, or the new one if there is none.
func (g *Gate) Listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", g.name, err)
	}
	return &listener{Listener: l, gate: g}, nil
}

// Apply sets the limits of a server whose connections come from Listen.
func (g *Gate) Apply(s *http.Server) *http.Server {
	s.ReadHeaderTimeout, s.ReadTimeout = headerTimeout, requestTimeout
	if s.WriteTimeout == 0 {
		s.WriteTimeout = requestTimeout
	}
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = maxHeaderBytes
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = idleTimeout
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.setState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.begin()
			defer c.end()
		}
		handler.ServeHTTP(w, r)
	})
	return s
}

// Server returns a server of a handler with the limits of the gate, including the memory of request bodies.
func (g *Gate) Server(handler http.Handler) *http.Server {
	return g.Apply(&http.Server{Handler: g.Handler(handler)})
}

// acquire reserves a connection, and closes another one if there are too many. It reports false if there is none to close.
func (g *Gate) acquire() bool {
	select {
	case g.slots <- struct{}{}:
		return true
	default:
	}
	if !g.evict() {
		return false
	}
	g.slots <- struct{}{} // does not wait: only one goroutine accepts, and the closed connection has made room
	return true
}

// evict closes the connection that has been idle, or whose request has been arriving, for the longest time. It reports
// false if there is none.
func (g *Gate) evict() bool {
	g.mu.Lock()
	var victim *conn
	var earliest time.Time
	for c := range g.conns {
		if since, ok := c.evictable(); ok && (victim == nil || since.Before(earliest)) {
			victim, earliest = c, since
		}
	}
	g.mu.Unlock()
	if victim == nil {
		return false
	}
	g.countClosed(reasonConnections, victim)
	_ = victim.Close()
	return true
}

// countClosed counts a connection that is closed for the given reason, and logs the address of its caller unless others were
// logged shortly before.
func (g *Gate) countClosed(reason string, c net.Conn) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_endpoint_closed_total{endpoint=%q,reason=%q}`, g.name, reason)).Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.lastLog[reason]) < logInterval {
		g.unlogged[reason]++
		return
	}
	g.log.Warn("connection closed", "endpoint", g.name, "reason", reason, "caller", c.RemoteAddr().String(),
		"others", g.unlogged[reason])
	g.lastLog[reason], g.unlogged[reason] = now, 0
}

// add wraps an accepted connection.
func (g *Gate) add(raw net.Conn) *conn {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBufferBytes)
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
	c := &conn{Conn: raw, gate: g, idle: true, since: time.Now()}
	g.account.AddFixed(ConnectionBytes)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
}

// remove releases the memory and the slot of a closed connection.
func (g *Gate) remove(c *conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	g.account.AddFixed(-ConnectionBytes)
	<-g.slots
}
