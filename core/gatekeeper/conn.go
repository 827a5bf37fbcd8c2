package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"bluebellhoist/core/accountant"
)

// listener accepts the connections of a gate.
type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection. Connections above the limit are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.gate.acquire() {
			return l.gate.add(raw), nil
		}
		l.gate.countClosed(reasonConnections, raw)
		_ = raw.Close()
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// conn is a connection of a gate.
type conn struct {
	net.Conn
	gate      *Gate
	closeOnce sync.Once // guards the release of the slot and the memory

	mu       sync.Mutex
	idle     bool               // no byte of a request has arrived
	hijacked bool               // the connection belongs to its handler, for example as a session
	closed   bool               // Close was called
	handled  bool               // a handler got the current request
	handlers int                // requests that are being handled; above 1 with HTTP/2
	bodies   int                // requests whose body is being read by their handler
	since    time.Time          // when the state or handlers changed
	header   *accountant.Holder // memory of the header section that is arriving, or nil
}

// Read reads from the connection. Until a handler has the request, it accounts for the memory of its header section.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if holder := c.headerHolder(); holder != nil && n > 0 {
		if err := holder.Grow(context.Background(), int64(n)*headerCost); err != nil {
			_ = c.Close()
			return 0, err
		}
	}
	return n, err
}

// headerHolder returns the holder of the header section that is arriving, or nil if a request is being handled.
func (c *conn) headerHolder() *accountant.Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handlers > 0 || c.hijacked || c.closed {
		return nil
	}
	if c.header == nil {
		c.header = c.gate.account.Open(c.RemoteAddr().String(), func() { _ = c.Close() })
	}
	return c.header
}

// releaseHeader releases the memory of the header section. c.mu must be held.
func (c *conn) releaseHeader() {
	if c.header != nil {
		c.header.Close()
		c.header = nil
	}
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.releaseHeader()
		c.mu.Unlock()
		c.gate.remove(c)
	})
	return err
}

// setState records a state that net/http reports.
func (c *conn) setState(state http.ConnState) {
	if state == http.StateClosed {
		c.countIncomplete()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateActive {
		c.handled = false
	}
	c.since = time.Now()
	c.idle = state == http.StateNew || state == http.StateIdle
	c.hijacked = c.hijacked || state == http.StateHijacked
	if c.idle || c.hijacked {
		c.releaseHeader()
	}
}

// countIncomplete counts the connection if it ends before its request was handled.
func (c *conn) countIncomplete() {
	c.mu.Lock()
	incomplete := !c.idle && !c.handled && !c.hijacked
	c.mu.Unlock()
	if incomplete {
		c.gate.countClosed(reasonRequest, c)
	}
}

// begin records that a handler gets a request, whose header section is complete.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers++
	c.handled = true
	c.since = time.Now()
	c.releaseHeader()
}

// end records that the handler of a request has returned.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers--
	c.since = time.Now()
}

// addBody changes the number of requests whose body is being read.
func (c *conn) addBody(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodies += change
}

// evictable reports whether the connection may be closed for a new one, and since when it has been in that state: it is idle,
// or none of its requests has arrived completely.
func (c *conn) evictable() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, !c.hijacked && (c.idle || c.handlers == c.bodies)
}
