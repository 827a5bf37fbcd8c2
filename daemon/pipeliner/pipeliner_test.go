package pipeliner_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/pipeliner"
)

// caller is a connection of a caller to the server under test.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func (c *caller) send(text string) {
	_, _ = io.WriteString(c, text)
}

func (c *caller) receive() (status int, body string, closes bool) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err.Error(), true
	}
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Close
}

func serve(t *testing.T, handler func(context.Context, *courier.Request) *courier.Answer, opts ...pipeliner.Option) (*pipeliner.Server, func() *caller) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := pipeliner.New(append(opts, pipeliner.WithHandler(handler))...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); <-done })
	return s, func() *caller {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return &caller{conn, bufio.NewReader(conn)}
	}
}

func ok(text string) *courier.Answer {
	return &courier.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte(text)}
}

// TestOrder guards against calls that stay unread behind a slow one, and against responses that are written out of
// order.
func TestOrder(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	_, dial := serve(t, func(_ context.Context, r *courier.Request) *courier.Answer {
		switch r.Target {
		case "/1":
			<-second // the second call runs before the first has a response
		case "/2":
			close(second)
		}
		return ok(r.Target)
	})
	c := dial()
	c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	for _, want := range []string{"/1", "/2"} {
		status, body, closes := c.receive()
		is.Equal(status, http.StatusOK)
		is.Equal(body, want)
		is.True(!closes)
	}
}

// TestGone guards against calls, including pipelined ones, that continue after their caller has closed the connection.
func TestGone(t *testing.T) {
	ended := make(chan struct{}, 2)
	started := make(chan struct{}, 2)
	_, dial := serve(t, func(ctx context.Context, _ *courier.Request) *courier.Answer {
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return ok("")
	})
	c := dial()
	c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	<-started
	_ = c.Close()
	<-ended
	<-ended
}

// TestGoneBehindMany guards against calls that continue after their caller has left because the reader waits for room in
// the queue of pipelined calls.
func TestGoneBehindMany(t *testing.T) {
	const calls = 20 // more than may be in flight on one connection
	started, ended := make(chan struct{}, calls), make(chan struct{}, calls)
	_, dial := serve(t, func(ctx context.Context, _ *courier.Request) *courier.Answer {
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return ok("")
	})
	c := dial()
	c.send(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", calls))
	for range 16 {
		<-started
	}
	_ = c.Close()
	for range 16 {
		<-ended
	}
}

// TestLast guards against running calls that arrive after a response with "Connection: close": the caller sends them
// again.
func TestLast(t *testing.T) {
	is := is.New(t)
	runs := make(chan string, 4)
	s, dial := serve(t, func(_ context.Context, r *courier.Request) *courier.Answer {
		runs <- r.Target
		return ok(r.Target)
	})
	c := dial()
	c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _, closes := c.receive()
	is.True(!closes)
	s.Drain()
	c.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	_, body, closes := c.receive()
	is.Equal(body, "/2")
	is.True(closes)
	c.send("POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	status, _, _ := c.receive()
	is.Equal(status, 0)
	is.Equal(len(runs), 2)
}

// TestBounds guards against callers that send more than the configuration allows, or data that is not HTTP.
func TestBounds(t *testing.T) {
	bounds := pipeliner.Bounds{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 100, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 10 * time.Second}
	cases := []struct {
		name, text string
		want       int
	}{
		{"body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"chunked body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"slow header", "GET / HTTP/1.1\r\nHost", http.StatusRequestTimeout},
		{"not HTTP", "hello\r\n\r\n", http.StatusBadRequest},
		{"conflicting Content-Length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", http.StatusBadRequest},
		{"fits", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("x", 100), http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, dial := serve(t, func(_ context.Context, r *courier.Request) *courier.Answer {
				return ok(fmt.Sprint(r.Body.Len()))
			}, pipeliner.WithBounds(func() (pipeliner.Bounds, bool) { return bounds, true }))
			conn := dial()
			conn.send(c.text)
			status, _, closes := conn.receive()
			is.Equal(status, c.want)
			is.Equal(closes, c.want != http.StatusOK)
		})
	}
}
