package courier_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/courier"
)

// upstream accepts one connection per script, in order, and runs the script on it. The function next reads one request
// and returns nil if the connection ends.
func upstream(t *testing.T, scripts ...func(conn net.Conn, next func() *http.Request)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		var running sync.WaitGroup
		defer running.Wait()
		for _, script := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			r := bufio.NewReader(conn)
			running.Go(func() {
				defer stop()
				script(conn, func() *http.Request {
					request, err := http.ReadRequest(r)
					if err != nil {
						return nil
					}
					_, _ = io.Copy(io.Discard, request.Body)
					return request
				})
				_ = conn.Close()
			})
		}
	}()
	t.Cleanup(func() { cancel(); _ = listener.Close(); <-done })
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func call(id string) courier.Call {
	return courier.Call{
		Request:    &courier.Request{Method: http.MethodGet, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}},
		EchoHeader: "Id", EchoValue: id,
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestForeignAnswers guards against passing on the response of another call when a reused connection carries a second
// response, before or after the expected one.
func TestForeignAnswers(t *testing.T) {
	t.Run("before the expected response", func(t *testing.T) {
		is := is.New(t)
		to := upstream(t, func(conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, answer("0", "stray")+answer("1", "own"))
			next()
		})
		a, err := courier.New().Do(context.Background(), to, call("1"))
		is.NoErr(err)
		is.Equal(string(a.Body), "own")
	})
	t.Run("after the expected response", func(t *testing.T) {
		is := is.New(t)
		to := upstream(t,
			func(conn net.Conn, next func() *http.Request) {
				next()
				_, _ = io.WriteString(conn, answer("1", "own")+answer("1", "again"))
				next()
			},
			func(conn net.Conn, next func() *http.Request) {
				next()
				_, _ = io.WriteString(conn, answer("2", "fresh"))
			},
		)
		c := courier.New()
		_, err := c.Do(context.Background(), to, call("1"))
		is.NoErr(err)
		a, err := c.Do(context.Background(), to, call("2")) // the connection with unread data is not reused
		is.NoErr(err)
		is.Equal(string(a.Body), "fresh")
	})
	t.Run("no expected response", func(t *testing.T) {
		is := is.New(t)
		to := upstream(t, func(conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, answer("0", "stray"))
		})
		_, err := courier.New().Do(context.Background(), to, call("1"))
		is.True(errors.Is(err, courier.ErrIncompleteAnswer))
	})
}

// TestBroken guards against truncated responses that look complete, and against a wrong error about whether a call was
// sent.
func TestBroken(t *testing.T) {
	cases := []struct {
		name, reply string
		want        error
		body        string
	}{
		{"cut", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf", courier.ErrIncompleteAnswer, ""},
		{"no answer", "", courier.ErrIncompleteAnswer, ""},
		{"not HTTP", "garbage\r\n\r\n", courier.ErrIncompleteAnswer, ""},
		{"truncated chunked body", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", courier.ErrIncompleteAnswer, ""},
		{"ends when the connection closes", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it", nil, "all of it"},
		{"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n", nil, "whole"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			to := upstream(t, func(conn net.Conn, next func() *http.Request) {
				next()
				_, _ = io.WriteString(conn, c.reply)
			})
			a, err := courier.New().Do(context.Background(), to, call("1"))
			is.True(errors.Is(err, c.want))
			if c.want == nil {
				is.Equal(string(a.Body), c.body)
			}
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		to := listener.Addr().(*net.TCPAddr).AddrPort()
		_ = listener.Close()
		_, err = courier.New().Do(context.Background(), to, call("1"))
		is.New(t).True(errors.Is(err, courier.ErrUnsent))
	})
}

// TestKept guards against sending a call on a connection that the server has closed or that was idle for longer than
// the call allows: after a reset it would be unknown whether the call ran.
func TestKept(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	to := upstream(t,
		func(conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, answer("1", "first"))
			_ = conn.Close()
			close(closed)
		},
		func(conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, answer("2", "second"))
			next()
		},
		func(conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, answer("3", "third"))
		},
	)
	c := courier.New()
	_, err := c.Do(context.Background(), to, call("1"))
	is.NoErr(err)
	<-closed
	a, err := c.Do(context.Background(), to, call("2"))
	is.NoErr(err)
	is.Equal(string(a.Body), "second")
	third := call("3")
	third.MaxIdle = time.Nanosecond
	a, err = c.Do(context.Background(), to, third)
	is.NoErr(err)
	is.Equal(string(a.Body), "third")
}

// TestReuseRace guards against access to a connection that another call has already taken from the pool. It fails under
// the race detector only.
func TestReuseRace(t *testing.T) {
	is := is.New(t)
	to := upstream(t, func(conn net.Conn, next func() *http.Request) {
		for request := next(); request != nil; request = next() {
			_, _ = io.WriteString(conn, answer(request.Header.Get("Id"), "x"))
		}
	})
	var dials atomic.Int32
	c := courier.New(courier.WithDial(func(_ context.Context, addr netip.AddrPort) (net.Conn, error) {
		if dials.Add(1) > 1 {
			return nil, errors.New("one connection only")
		}
		return net.Dial("tcp", addr.String())
	}, time.Minute))
	var first sync.WaitGroup
	first.Go(func() {
		_, err := c.Do(context.Background(), to, call("1"))
		is.NoErr(err)
	})
	for dials.Load() == 0 {
		runtime.Gosched()
	}
	// The second call takes the connection as soon as it is in the pool, while the first one returns.
	for err := courier.ErrUnsent; err != nil; {
		_, err = c.Do(context.Background(), to, call("2"))
	}
	first.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.Run(ctx) // closes the connection
}

// TestHead guards against waiting for the body of a response to HEAD, which states a length but has none.
func TestHead(t *testing.T) {
	is := is.New(t)
	to := upstream(t, func(conn net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\n")
		next()
	})
	head := call("1")
	head.Request.Method = http.MethodHead
	a, err := courier.New().Do(context.Background(), to, head)
	is.NoErr(err)
	is.Equal(len(a.Body), 0)
}

// TestCancel guards against calls that continue on the server after the caller has canceled them.
func TestCancel(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	to := upstream(t, func(_ net.Conn, next func() *http.Request) {
		next()
		close(started)
		next() // returns when the connection ends
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := courier.New().Do(ctx, to, call("1"))
	is.True(errors.Is(err, courier.ErrIncompleteAnswer))
	<-ended
}

// TestPath guards against selecting a route by the query or by the host of an absolute request target.
func TestPath(t *testing.T) {
	for target, want := range map[string]string{
		"/a/b?x=/c/": "/a/b", "/": "/", "http://h/a/?q": "/a/", "/a%2Fb/": "/a%2Fb/", "*": "*",
	} {
		t.Run(strings.ReplaceAll(target, "/", "_"), func(t *testing.T) {
			is.New(t).Equal((&courier.Request{Target: target}).Path(), want)
		})
	}
}
