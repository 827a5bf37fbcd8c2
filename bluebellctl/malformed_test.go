package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// startRawController starts a controller that answers each connection with the reply and then closes it. It returns its
// address.
func startRawController(t *testing.T, reply string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	var serving sync.WaitGroup
	serving.Go(func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, reply)
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() { _ = listener.Close(); serving.Wait() })
	return listener.Addr().String()
}

// TestMalformedResponse guards against telling operators that a change was accepted or rejected, on the word of a response
// that is malformed or may be incomplete.
func TestMalformedResponse(t *testing.T) {
	const (
		accepted = "Content-Length: 14\r\n\r\n{\"version\": 7}"
		conflict = "Content-Length: 23\r\n\r\n{\"error\": \"other base\"}\n"
	)
	for name, reply := range map[string]string{
		"accepted, blank in the name of a field": "HTTP/1.1 200 OK\r\nSome Field: x\r\n" + accepted,
		"accepted, no length":                    "HTTP/1.1 200 OK\r\n\r\n{\"version\": 7}",
		"accepted, header too long":              "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 300) + accepted,
		"conflict, blank in the name of a field": "HTTP/1.1 409 Conflict\r\nSome Field: x\r\n" + conflict,
		"conflict, no length":                    "HTTP/1.1 409 Conflict\r\n\r\n{\"error\": \"oth",
		"unavailable, cut off":                   "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\n{}",
		"status 000":                             "HTTP/1.1 000 Trouble\r\n" + accepted,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startRawController(t, reply)
			var stdout, stderr bytes.Buffer
			code := execute(t.Context(), []string{"apply", "--controllers", addr, "--rounds", "1", writeFile(t, validChange)}, &stdout, &stderr)
			is.Equal(code, exitUnknown)
			is.Equal(stdout.String(), "")
		})
	}
}
