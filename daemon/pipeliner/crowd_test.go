package pipeliner_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/accountant"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/pipeliner"
)

// TestFields guards against header sections of legal size whose many short fields take far more memory than their bytes.
func TestFields(t *testing.T) {
	for _, c := range []struct{ fields, want int }{{500, http.StatusOK}, {600, http.StatusRequestHeaderFieldsTooLarge}} {
		t.Run(fmt.Sprint(c.fields), func(t *testing.T) {
			is := is.New(t)
			_, dial := serve(t, echoBody)
			conn := dial()
			conn.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", c.fields) + "\r\n")
			status, _, _ := conn.receive()
			is.Equal(status, c.want)
		})
	}
}

// TestBlankLine guards against header fields that are dropped because they follow a line which only the parser takes for
// the end of the header.
func TestBlankLine(t *testing.T) {
	is := is.New(t)
	_, dial := serve(t, echoBody)
	conn := dial()
	conn.send("POST / HTTP/1.1\r\nHost: h\r\nA: b\r\n \r\n  \r\nContent-Length: 4\r\n\r\nbody")
	status, body, _ := conn.receive()
	is.True(status == http.StatusBadRequest || body == "body")
}

// TestConnections guards against a server that new callers cannot reach because others keep connections open without a
// complete call.
func TestConnections(t *testing.T) {
	for name, text := range map[string]string{
		"idle":              "",
		"incomplete header": "GET / HTTP/1.1\r\nHost",
		"incomplete body":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, dial := serve(t, echoBody, pipeliner.WithMaxConnections(2))
			for range 10 {
				dial().send(text)
			}
			conn := dial()
			conn.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			status, _, _ := conn.receive()
			is.Equal(status, http.StatusOK)
		})
	}
	t.Run("all busy", func(t *testing.T) {
		is := is.New(t)
		started, release := make(chan struct{}), make(chan struct{})
		_, dial := serve(t, func(context.Context, *courier.Request) *courier.Answer {
			started <- struct{}{}
			<-release
			return ok("")
		}, pipeliner.WithMaxConnections(1))
		busy := dial()
		busy.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		<-started
		refused := dial()
		refused.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _, _ := refused.receive()
		is.Equal(status, 0)
		close(release)
		status, _, _ = busy.receive()
		is.Equal(status, http.StatusOK)
	})
}

// memory is the memory of a process in tests; the account gets less than half of it.
const memory = 4 << 20

// TestMemory guards against bodies and responses that together exceed the memory for calls, and against refusing the
// callers that take little of it.
func TestMemory(t *testing.T) {
	const size = 1 << 20
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	t.Run("bodies short of their end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			account := accountant.New(accountant.WithMemory(memory))
			dial := servePiped(t, echoBody, pipeliner.WithAccount(account))
			first, second := dial(), dial()
			first.send(head + strings.Repeat("x", size-1))
			time.Sleep(time.Second)
			go second.send(head + strings.Repeat("x", size-1))
			status, _, closes := first.receive()
			is.Equal(status, http.StatusServiceUnavailable)
			is.True(closes)
			ordinary := dial()
			ordinary.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
			status, body, _ := ordinary.receive()
			is.Equal(status, http.StatusOK)
			is.Equal(body, "body")
			second.send("x")
			status, _, _ = second.receive()
			is.Equal(status, http.StatusOK)
			_, _, _ = first.Close(), second.Close(), ordinary.Close()
			synctest.Wait()
			is.Equal(account.Used(), int64(0))
		})
	})
	t.Run("too large for the process", func(t *testing.T) {
		is := is.New(t)
		_, dial := serve(t, echoBody, pipeliner.WithAccount(accountant.New(accountant.WithMemory(memory))))
		conn := dial()
		conn.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		go func() { // ends when the connection is closed
			for err := error(nil); err == nil; {
				_, err = io.WriteString(conn, "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n")
			}
		}()
		status, _, closes := conn.receive()
		is.Equal(status, http.StatusRequestEntityTooLarge)
		is.True(closes)
	})
	t.Run("unread responses", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			account := accountant.New(accountant.WithMemory(memory))
			dial := servePiped(t, func(_ context.Context, r *courier.Request) *courier.Answer {
				if r.Target == "/large" {
					return ok(strings.Repeat("x", size))
				}
				return ok("small")
			}, pipeliner.WithAccount(account))
			var slow []*caller
			for range 8 {
				conn := dial()
				conn.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
				slow = append(slow, conn)
				synctest.Wait()
				is.True(account.Used() <= account.Size())
			}
			ordinary := dial()
			ordinary.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			_, body, _ := ordinary.receive()
			is.Equal(body, "small")
			for _, conn := range append(slow, ordinary) {
				_ = conn.Close()
			}
			synctest.Wait()
			is.Equal(account.Used(), int64(0))
		})
	})
}

// TestSlowReader guards against a caller that keeps a connection by reading a response too slowly, and against cutting off
// one that reads a long response at a moderate rate.
func TestSlowReader(t *testing.T) {
	const size = 640 << 10
	for _, c := range []struct {
		name     string
		pause    time.Duration // after each 32 KiB
		complete bool
	}{
		{"moderate", 4 * time.Second, true},
		{"too slow", 6 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn := servePiped(t, func(context.Context, *courier.Request) *courier.Answer {
					return ok(strings.Repeat("x", size))
				})()
				conn.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				var total int
				buf := make([]byte, 32<<10)
				for err := error(nil); err == nil && total < size; {
					var n int
					n, err = io.ReadFull(conn, buf)
					total += n
					time.Sleep(c.pause)
				}
				is.Equal(total >= size, c.complete)
			})
		})
	}
}

// TestContinue guards against an interim response within the response to an earlier call.
func TestContinue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conn := servePiped(t, func(_ context.Context, r *courier.Request) *courier.Answer {
			time.Sleep(time.Second)
			return ok(r.Target)
		})()
		conn.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
		status, body, _ := conn.receive()
		is.Equal(status, http.StatusOK)
		is.Equal(body, "/1")
		line, _ := conn.r.ReadString('\n')
		is.Equal(line, "HTTP/1.1 100 Continue\r\n")
		_, _ = conn.r.ReadString('\n')
		conn.send("x")
		_, body, _ = conn.receive()
		is.Equal(body, "/2")
	})
}
