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

// echoes answers each byte of a connection, behind a relay named "b" for callers named "a".
func echoes(t *testing.T) (*relayer.Relayer, net.Conn) {
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
	public := netip.MustParseAddrPort(free(t))
	if err := r.Open(ctx, relayer.Relay{
		Name: "b", Public: public, Private: netip.MustParseAddrPort(listener.Addr().String()), Caller: "a",
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

func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// echo sends a byte and reports whether it comes back in time.
func echo(t *testing.T, conn net.Conn, wait time.Duration) error {
	t.Helper()
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

const (
	soon    = 5 * time.Second
	shortly = 100 * time.Millisecond
)

// TestLink guards against faults that have no effect, and against a healed link that stays disturbed.
func TestLink(t *testing.T) {
	t.Run("cut", func(t *testing.T) {
		is := is.New(t)
		r, conn := echoes(t)
		is.NoErr(echo(t, conn, soon))
		r.Set(relayer.Link{From: "b", To: "a"}, func(s *relayer.State) { s.Cut = true })
		is.True(errors.Is(echo(t, conn, shortly), syscall.ETIMEDOUT) || isTimeout(echo(t, conn, shortly)))
		r.Heal()
		is.NoErr(conn.SetReadDeadline(time.Now().Add(soon)))
		_, err := io.ReadFull(conn, make([]byte, 2)) // both held bytes arrive
		is.NoErr(err)
	})
	t.Run("silence", func(t *testing.T) {
		is := is.New(t)
		r, conn := echoes(t)
		is.NoErr(echo(t, conn, soon))
		r.Silence("a", "b")
		is.True(isTimeout(echo(t, conn, shortly)))
	})
	t.Run("reset", func(t *testing.T) {
		is := is.New(t)
		r, conn := echoes(t)
		is.NoErr(echo(t, conn, soon))
		r.Reset("b", "a")
		err := echo(t, conn, soon)
		is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
	})
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// TestEnd guards against a run that never ends because a connection came as it was cancelled and nobody closes it.
func TestEnd(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	r := relayer.New()
	public := netip.MustParseAddrPort(free(t))
	is.NoErr(r.Open(ctx, relayer.Relay{Name: "b", Public: public, Private: netip.MustParseAddrPort(listener.Addr().String()), Caller: "a"}))
	conn, err := net.Dial("tcp", public.String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	far, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = far.Close() }()
	cancel()
	r.Wait() // both ends stay open
}
