package relayer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/soak/relayer"
)

// dialEcho starts an echo server "b" behind a relay and returns a connection to it from a client "a".
func dialEcho(t *testing.T) (*relayer.Relayer, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(conn, conn)
		_ = conn.Close()
	}()
	ctx, cancel := context.WithCancel(context.Background())
	r := relayer.New()
	public := netip.MustParseAddrPort(freeAddr(t))
	if err := r.Open(ctx, relayer.Relay{
		Name: "b", Public: public, Private: netip.MustParseAddrPort(listener.Addr().String()), DefaultClient: "a",
	}); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", public.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = listener.Close()
		cancel()
		r.Wait()
		<-ended
	})
	return r, conn
}

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// echo sends a byte and returns an error if no byte comes back before the timeout.
func echo(t *testing.T, conn net.Conn, timeout time.Duration) error {
	t.Helper()
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

const (
	longTimeout  = 5 * time.Second
	shortTimeout = 100 * time.Millisecond
)

// TestLink guards against faults that have no effect and against faults that persist after a heal.
func TestLink(t *testing.T) {
	t.Run("cut", func(t *testing.T) {
		is := is.New(t)
		r, conn := dialEcho(t)
		is.NoErr(echo(t, conn, longTimeout))
		r.UpdateLink(relayer.Link{From: "b", To: "a"}, func(s *relayer.LinkState) { s.Cut = true })
		is.True(errors.Is(echo(t, conn, shortTimeout), syscall.ETIMEDOUT) || isTimeout(echo(t, conn, shortTimeout)))
		r.Heal()
		is.NoErr(conn.SetReadDeadline(time.Now().Add(longTimeout)))
		_, err := io.ReadFull(conn, make([]byte, 2)) // both stalled bytes arrive
		is.NoErr(err)
	})
	t.Run("silence", func(t *testing.T) {
		is := is.New(t)
		r, conn := dialEcho(t)
		is.NoErr(echo(t, conn, longTimeout))
		r.Silence("a", "b")
		is.True(isTimeout(echo(t, conn, shortTimeout)))
	})
	t.Run("reset", func(t *testing.T) {
		is := is.New(t)
		r, conn := dialEcho(t)
		is.NoErr(echo(t, conn, longTimeout))
		r.Reset("b", "a")
		err := echo(t, conn, longTimeout)
		is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
	})
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// TestEnd guards against a soak that never ends because a connection was accepted during cancellation and neither side
// closes it.
func TestEnd(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	r := relayer.New()
	public := netip.MustParseAddrPort(freeAddr(t))
	is.NoErr(r.Open(ctx, relayer.Relay{Name: "b", Public: public, Private: netip.MustParseAddrPort(listener.Addr().String()), DefaultClient: "a"}))
	conn, err := net.Dial("tcp", public.String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	server, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = server.Close() }()
	cancel()
	r.Wait() // neither side closes the connection
}
