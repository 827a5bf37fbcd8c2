package courier_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/daemon/courier"
)

// TestEndless guards against a daemon that runs out of memory because an upstream sends without end until the connection is
// closed.
func TestEndless(t *testing.T) {
	const (
		most  = 8 << 20  // bytes that may be read before the connection is closed
		until = 96 << 20 // the upstream gives up, so that a client without a limit fails the test and nothing else
	)
	line := strings.Repeat("x", 1000)
	for name, c := range map[string]struct{ begin, more string }{
		"status line":        {"HTTP/1.1 200 ", line},
		"header":             {"HTTP/1.1 200 OK\r\n", "A: " + line + "\r\n"},
		"header line":        {"HTTP/1.1 200 OK\r\nA: ", line},
		"interim answers":    {"", "HTTP/1.1 102 Processing\r\nA: " + line + "\r\n\r\n"},
		"body to the end":    {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", line},
		"body with a length": {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 90000000\r\n\r\n", line},
		"chunks":             {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
		"no protocol":        {"", line},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			ended := make(chan struct{})
			to := upstream(t, func(conn net.Conn, next func() *http.Request) {
				defer close(ended)
				next()
				_, _ = io.WriteString(conn, c.begin)
				block := bytes.Repeat([]byte(c.more), 64)
				for sent.Load() < until {
					n, err := conn.Write(block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			_, err := courier.New(courier.WithMemory(4<<20)).Do(context.Background(), to, call("1"))
			is.True(errors.Is(err, courier.ErrBroken))
			<-ended
			is.True(sent.Load() < most+kernelBuffers)
		})
	}
}

// kernelBuffers covers the bytes that wait in the sockets of both sides when a connection is closed.
const kernelBuffers = 16 << 20

// TestLargeAnswer guards against a limit that refuses an answer which fits.
func TestLargeAnswer(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 3<<20)
	to := upstream(t, func(conn net.Conn, next func() *http.Request) {
		for next() != nil {
			_, _ = io.WriteString(conn, answer("1", body))
		}
	})
	c := courier.New(courier.WithMemory(4 << 20))
	for range 3 { // what one answer took is free again
		a, err := c.Do(context.Background(), to, call("1"))
		is.NoErr(err)
		is.Equal(len(a.Body), len(body))
	}
}
