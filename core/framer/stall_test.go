package framer_test

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
)

// slowConn is the end of a connection that writes at a rate in bytes per second, and blocks after the first blockAfter bytes.
type slowConn struct {
	net.Conn
	rate       int
	blockAfter int
	written    int
	closed     chan struct{}
}

// Write writes in parts of up to 1 KiB.
func (c *slowConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if c.blockAfter > 0 && c.written >= c.blockAfter {
			<-c.closed
			return written, net.ErrClosed
		}
		part := b[written:min(len(b), written+1<<10)]
		select {
		case <-time.After(time.Duration(len(part)) * time.Second / time.Duration(c.rate)):
		case <-c.closed:
			return written, net.ErrClosed
		}
		n, err := c.Conn.Write(part)
		written += n
		c.written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close closes the connection.
func (c *slowConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.Conn.Close()
}

// oneConn is a listener of one connection.
type oneConn chan net.Conn

// Accept returns the connection, and then waits until the listener is closed.
func (l oneConn) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close ends the listener.
func (l oneConn) Close() error { close(l); return nil }

// Addr returns an empty address.
func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// transfer sends a frame with size random bytes over conn and returns how long it took and the results of both ends.
func transfer(t *testing.T, size int, slow *slowConn) (took time.Duration, sendErr, receiveErr error) {
	t.Helper()
	client, server := net.Pipe()
	slow.Conn, slow.closed = server, make(chan struct{})
	listener := make(oneConn, 1)
	listener <- slow
	sent := make(chan error, 1)
	handler := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			sent <- err
			return
		}
		defer func() { _ = conn.CloseNow() }()
		payload := make([]byte, size)
		_, _ = rand.Read(payload) // never fails
		sent <- framer.New(conn).Send(r.Context(), wire.Frame{Error: hex.EncodeToString(payload)})
	})}
	served := make(chan error, 1)
	go func() { served <- handler.Serve(listener) }()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return client, nil }}
	conn, _, err := websocket.Dial(t.Context(), "ws://controller/", &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}})
	is.New(t).NoErr(err)
	started := time.Now()
	_, receiveErr = framer.New(conn, framer.WithLimit(1<<20)).Receive(t.Context())
	took = time.Since(started)
	_ = conn.CloseNow()
	sendErr = <-sent
	_ = handler.Close()
	<-served
	return took, sendErr, receiveErr
}

// TestStall guards against large frames that never arrive over a slow link, and against waiting for the rest of a frame on a
// connection that no longer carries data.
func TestStall(t *testing.T) {
	const size = 500_000
	for _, c := range []struct {
		name  string
		conn  slowConn
		fails bool
		most  time.Duration
	}{
		{"slow", slowConn{rate: 100_000}, false, 7 * time.Second},
		{"stalled at once", slowConn{rate: 100_000, blockAfter: 200}, true, framer.ReceiveTimeout},
		{"stalled in between", slowConn{rate: 100_000, blockAfter: size / 5}, true, 2*time.Second + framer.ReceiveTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				took, sendErr, receiveErr := transfer(t, size, &c.conn)
				is.Equal(sendErr != nil, c.fails)
				is.Equal(receiveErr != nil, c.fails)
				is.True(!c.fails || errors.Is(receiveErr, framer.ErrSession))
				is.True(took <= c.most)
			})
		})
	}
}
