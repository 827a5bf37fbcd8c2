package courier_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/daemon/courier"
)

// TestResetDuringUpload guards against taking a part of a response for the whole: an upstream responds while the request
// is still being sent and resets the connection. The failed write consumes the error of the socket, so that the reader
// sees an orderly end.
func TestResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, c := range map[string]struct {
		reply string
		want  error
	}{
		"no length":         {head + "\r\npart of the body", courier.ErrIncompleteAnswer},
		"no length, closes": {head + "Connection: close\r\n\r\npart of the body", courier.ErrIncompleteAnswer},
		"HTTP/1.0":          {"HTTP/1.0 200 OK\r\nId: 1\r\n\r\npart of the body", courier.ErrIncompleteAnswer},
		"length not met":    {head + "Content-Length: 100\r\n\r\npart of the body", courier.ErrIncompleteAnswer},
		"no last chunk":     {head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", courier.ErrIncompleteAnswer},
		"length met":        {head + "Content-Length: 5\r\n\r\nwhole", nil},
		"last chunk":        {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to := upstream(t, func(conn net.Conn, _ func() *http.Request) {
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(conn, c.reply)
				_ = conn.(*net.TCPConn).SetLinger(0) // the close resets the connection
			})
			upload := call("1")
			upload.Request.Method = http.MethodPost
			upload.Request.Body = courier.NewBody(bytes.Repeat([]byte("x"), uploadBytes))
			a, err := courier.New().Do(context.Background(), to, upload)
			is.True(errors.Is(err, c.want))
			if c.want == nil {
				is.Equal(string(a.Body), "whole")
				is.True(a.Close)
			}
		})
	}
}

// uploadBytes is more than the socket buffers of both sides hold, so that the upload still goes on when the connection is
// reset.
const uploadBytes = 64 << 20

// TestReset guards against taking a part of a response for the whole if the connection is reset after the request was sent.
func TestReset(t *testing.T) {
	to := upstream(t, func(conn net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart of the body")
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	_, err := courier.New().Do(context.Background(), to, call("1"))
	is.New(t).True(errors.Is(err, courier.ErrIncompleteAnswer))
}
