package pipeliner_test

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/pipeliner"
)

// pipeListener accepts connections in memory, so that time in a synctest bubble advances while they wait.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// servePiped starts a server in a synctest bubble and returns a function that connects to it.
func servePiped(t *testing.T, handler func(context.Context, *courier.Request) *courier.Answer, opts ...pipeliner.Option) func() *caller {
	t.Helper()
	listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	s := pipeliner.New(append(opts, pipeliner.WithHandler(handler))...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); <-done })
	return func() *caller {
		near, far := net.Pipe()
		listener.conns <- far
		t.Cleanup(func() { _ = near.Close() })
		return &caller{near, bufio.NewReader(near)}
	}
}

// config holds bounds that a test changes while connections are open.
type config struct {
	atomic.Pointer[pipeliner.Bounds]
}

func newConfig(bounds pipeliner.Bounds) *config {
	c := &config{}
	c.Store(&bounds)
	return c
}

func (c *config) bounds() (pipeliner.Bounds, bool) {
	return *c.Load(), true
}

// change sets changed bounds.
func (c *config) change(edit func(*pipeliner.Bounds)) {
	bounds := *c.Load()
	edit(&bounds)
	c.Store(&bounds)
}

var narrowBounds = pipeliner.Bounds{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 100, HeaderTimeout: time.Second, IdleTimeout: time.Second}

func echoBody(_ context.Context, r *courier.Request) *courier.Answer {
	return ok(string(r.Body.Bytes()))
}

// TestChangedBounds guards against judging a call on a kept connection by bounds that were replaced before it arrived.
func TestChangedBounds(t *testing.T) {
	longHeader := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	longBody := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("x", 200)
	for _, c := range []struct {
		name, text string
		raised     bool
		want       int
	}{
		{"larger header allowed", longHeader, true, http.StatusOK},
		{"larger header no longer allowed", longHeader, false, http.StatusRequestHeaderFieldsTooLarge},
		{"larger body allowed", longBody, true, http.StatusOK},
		{"larger body no longer allowed", longBody, false, http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			narrow, wide := narrowBounds, narrowBounds
			narrow.IdleTimeout, wide.IdleTimeout = time.Minute, time.Minute
			wide.MaxHeaderBytes, wide.MaxBodyBytes = 32<<10, 1000
			before, after := narrow, wide
			if !c.raised {
				before, after = wide, narrow
			}
			cfg := newConfig(before)
			_, dial := serve(t, echoBody, pipeliner.WithBounds(cfg.bounds))
			conn := dial()
			for range 2 { // the second call shows that the reader waits for a call with the bounds before the change
				conn.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				status, _, _ := conn.receive()
				is.Equal(status, http.StatusOK)
			}
			cfg.Store(&after)
			conn.send(c.text)
			status, _, _ := conn.receive()
			is.Equal(status, c.want)
		})
	}
}

// TestIdleTimeout guards against closing a kept connection before the idle time in force has passed since its last
// response.
func TestIdleTimeout(t *testing.T) {
	t.Run("raised while waiting", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			cfg := newConfig(narrowBounds)
			conn := servePiped(t, echoBody, pipeliner.WithBounds(cfg.bounds))()
			for range 2 {
				conn.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				status, _, _ := conn.receive()
				is.Equal(status, http.StatusOK)
				cfg.change(func(b *pipeliner.Bounds) { b.IdleTimeout = time.Minute })
				time.Sleep(50 * time.Second)
			}
		})
	})
	t.Run("after a long call", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			cfg := newConfig(narrowBounds)
			conn := servePiped(t, func(context.Context, *courier.Request) *courier.Answer {
				time.Sleep(cfg.Load().IdleTimeout * 9 / 10)
				return ok("")
			}, pipeliner.WithBounds(cfg.bounds))()
			for range 3 {
				conn.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				status, _, _ := conn.receive()
				is.Equal(status, http.StatusOK)
				time.Sleep(cfg.Load().IdleTimeout * 8 / 10)
			}
		})
	})
	t.Run("closed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			conn := servePiped(t, echoBody, pipeliner.WithBounds(newConfig(narrowBounds).bounds))()
			status, _, _ := conn.receive() // returns when the server closes the connection
			is.New(t).Equal(status, 0)
		})
	})
}

// TestChunkedBody guards against a body within the limit that is cut off because of the size of its chunk headers, and
// against closing the connection without an answer to malformed chunks.
func TestChunkedBody(t *testing.T) {
	const limit = 64 << 10
	head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, body string
		want       int
	}{
		{"small chunks, at the limit", strings.Repeat("1\r\nx\r\n", limit) + "0\r\n\r\n", http.StatusOK},
		{"small chunks, above the limit", strings.Repeat("1\r\nx\r\n", limit+1) + "0\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"long chunk extensions", strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\nx\r\n", 100) + "0\r\n\r\n", http.StatusBadRequest},
		{"malformed chunk header", "z\r\n", http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			bounds := narrowBounds
			bounds.MaxBodyBytes, bounds.IdleTimeout = limit, time.Minute
			_, dial := serve(t, func(_ context.Context, r *courier.Request) *courier.Answer {
				return ok(strconv.FormatInt(r.Body.Len(), 10))
			}, pipeliner.WithBounds(newConfig(bounds).bounds))
			conn := dial()
			conn.send(head + c.body)
			status, body, _ := conn.receive()
			is.Equal(status, c.want)
			if c.want == http.StatusOK {
				is.Equal(body, strconv.Itoa(limit))
			}
		})
	}
}

// TestFlowingBody guards against refusing a body that keeps arriving but takes longer than the idle time, and against
// waiting for one that has stopped arriving.
func TestFlowingBody(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration // between two bytes
		want  int
	}{
		{"flowing", narrowBounds.IdleTimeout * 9 / 10, http.StatusOK},
		{"stopped", narrowBounds.IdleTimeout * 11 / 10, http.StatusRequestTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn := servePiped(t, echoBody, pipeliner.WithBounds(newConfig(narrowBounds).bounds))()
				var sender sync.WaitGroup
				sender.Go(func() {
					conn.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n")
					for range 20 {
						time.Sleep(c.pause)
						conn.send("x")
					}
				})
				status, _, _ := conn.receive()
				is.Equal(status, c.want)
				sender.Wait()
			})
		})
	}
}

// TestLargestBounds guards against bounds that overflow when something is added to them, so that a call within them is refused.
func TestLargestBounds(t *testing.T) {
	largest := pipeliner.Bounds{
		MaxHeaderBytes: math.MaxInt, MaxBodyBytes: math.MaxInt64, HeaderTimeout: math.MaxInt64, IdleTimeout: math.MaxInt64,
	}
	for name, text := range map[string]string{
		"short header": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"long header":  "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n",
		"body":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"chunked body": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, dial := serve(t, echoBody, pipeliner.WithBounds(newConfig(largest).bounds))
			conn := dial()
			for range 2 {
				conn.send(text)
				status, _, _ := conn.receive()
				is.Equal(status, http.StatusOK)
			}
		})
	}
}
