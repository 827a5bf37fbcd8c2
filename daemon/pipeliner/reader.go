package pipeliner

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"bluebellhoist/daemon/courier"
)

// errIdleTimeout reports that no call arrived or was in progress for Bounds.IdleTimeout.
var errIdleTimeout = errors.New("idle")

// readCall reads one call. If the call is invalid, it returns the response that rejects it.
func (c *connection) readCall() (*courier.Request, *courier.Answer, error) {
	if err := c.awaitCall(); err != nil {
		return nil, nil, err
	}
	bounds := c.server.currentBounds()
	c.limited.remaining = int64(bounds.MaxHeaderBytes)
	c.setReadDeadline(time.Now().Add(bounds.HeaderTimeout))
	r, err := http.ReadRequest(c.r)
	switch {
	case err == nil:
	case c.limited.remaining <= 0:
		return nil, refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is too large"), nil
	case isTimeout(c.limited.lastErr):
		return nil, refuse(http.StatusRequestTimeout, "the header took too long"), nil
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isConnError(c.limited.lastErr):
		return nil, nil, err
	default:
		return nil, refuse(http.StatusBadRequest, "malformed request: "+err.Error()), nil
	}
	return c.readBody(r)
}

// awaitCall waits for the first byte of a call. It returns errIdleTimeout if none arrives in the idle time in force.
func (c *connection) awaitCall() error {
	c.limited.remaining = math.MaxInt64 // a single read of at most readBufferBytes
	began := time.Now()
	for {
		c.setReadDeadline(time.Now().Add(c.idleTimeLeft(began)))
		_, err := c.r.Peek(1)
		if err == nil || !isTimeout(err) {
			return err
		}
		if c.closing.Load() || c.idleTimeLeft(began) <= 0 {
			return errIdleTimeout
		}
	}
}

// idleTimeLeft returns the time until a connection that has been waiting for a call since began is closed.
func (c *connection) idleTimeLeft(began time.Time) time.Duration {
	idleTimeout := c.server.currentBounds().IdleTimeout
	if c.pending.Load() > 0 {
		return idleTimeout
	}
	if answered := c.lastAnswer.Load(); answered != nil && answered.After(began) {
		began = *answered
	}
	return idleTimeout - time.Since(began)
}

// readBody reads the body of a call.
func (c *connection) readBody(r *http.Request) (*courier.Request, *courier.Answer, error) {
	bounds := c.server.currentBounds()
	// Only the data of a body counts towards its limit. net/http limits what surrounds the data in chunked encoding.
	c.limited.remaining = math.MaxInt64
	if r.ContentLength > bounds.MaxBodyBytes {
		return nil, refuse(http.StatusRequestEntityTooLarge, "the body is too large"), nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	c.limited.beforeRead = func() { c.setReadDeadline(time.Now().Add(c.server.currentBounds().IdleTimeout)) }
	defer func() { c.limited.beforeRead = nil }()
	body, err := io.ReadAll(io.LimitReader(r.Body, bounds.MaxBodyBytes+1))
	switch {
	case err != nil && isTimeout(err):
		return nil, refuse(http.StatusRequestTimeout, "the body took too long"), nil
	case errors.Is(err, io.ErrUnexpectedEOF) || isConnError(c.limited.lastErr):
		return nil, nil, err
	case err != nil:
		return nil, refuse(http.StatusBadRequest, "malformed body: "+err.Error()), nil
	case int64(len(body)) > bounds.MaxBodyBytes:
		return nil, refuse(http.StatusRequestEntityTooLarge, "the body is too large"), nil
	}
	courier.RemoveHopByHop(r.Header)
	r.Header.Del("Expect") // handled above
	return &courier.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Close: r.Close || !r.ProtoAtLeast(1, 1),
	}, nil, nil
}

func refuse(status int, text string) *courier.Answer {
	return &courier.Answer{Status: status, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(text + "\n")}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// isConnError reports whether err is a network error of the connection.
func isConnError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr)
}

// limitedReader limits the bytes that are read for one call.
type limitedReader struct {
	r          io.Reader
	remaining  int64
	beforeRead func() // called before each read of r; optional
	lastErr    error  // error of the last read; http.ReadRequest does not return it
}

// Read reads up to the limit and then returns io.ErrUnexpectedEOF.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	if l.beforeRead != nil {
		l.beforeRead()
	}
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	l.lastErr = err
	return n, err
}
