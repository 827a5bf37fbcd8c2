package pipeliner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"strings"
	"time"

	"bluebellhoist/core/accountant"
	"bluebellhoist/daemon/courier"
)

var (
	// errIdleTimeout reports that no call arrived or was in progress for Bounds.IdleTimeout.
	errIdleTimeout = errors.New("idle")
	// errMalformed reports data that is not a valid call.
	errMalformed = errors.New("malformed request")
	// errTooManyFields reports a header section or a trailer with too many fields.
	errTooManyFields = errors.New("too many header fields")
	// errHeaderTooLarge reports a header section that exceeds Bounds.MaxHeaderBytes.
	errHeaderTooLarge = errors.New("the header is too large")
)

// readCall reads one call. If the call is invalid, it returns the response that rejects it.
func (c *connection) readCall(ctx context.Context, holder *accountant.Holder) (*courier.Request, *courier.Answer, error) {
	bounds := c.server.currentBounds()
	c.setReadDeadline(time.Now().Add(bounds.HeaderTimeout))
	r, err := c.readHead(ctx, holder, bounds)
	if err != nil {
		return c.refuseRead(holder, err, reasonHeaderTime)
	}
	if r.ContentLength > c.server.currentBounds().MaxBodyBytes {
		return c.refuseRead(holder, courier.ErrBodyTooLarge, reasonBodyTime)
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if err := c.writeContinue(ctx); err != nil {
			return nil, nil, err
		}
	}
	body, err := c.readBody(ctx, holder, r)
	if err != nil {
		return c.refuseRead(holder, err, reasonBodyTime)
	}
	courier.RemoveHopByHop(r.Header)
	r.Header.Del("Expect") // handled above
	return &courier.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Close: r.Close || !r.ProtoAtLeast(1, 1),
	}, nil, nil
}

// refuseRead returns the response to a call that could not be read, or the error if the connection is lost. timeoutReason
// is counted if the call took too long.
func (c *connection) refuseRead(holder *accountant.Holder, err error, timeoutReason string) (*courier.Request, *courier.Answer, error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, accountant.ErrShed) || isTimeout(err) && holder.IsShed():
		status, err = http.StatusServiceUnavailable, accountant.ErrShed
	case isTimeout(err):
		c.server.countLimited(timeoutReason, c.raw)
		status, err = http.StatusRequestTimeout, errors.New("the call took too long to arrive")
	case errors.Is(err, errHeaderTooLarge):
		c.server.countLimited(reasonHeaderBytes, c.raw)
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errTooManyFields):
		c.server.countLimited(reasonFields, c.raw)
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, courier.ErrBodyTooLarge), errors.Is(err, accountant.ErrTooLarge):
		c.server.countLimited(reasonBodyBytes, c.raw)
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isConnError(c.input.lastErr) || errors.Is(err, context.Canceled):
		return nil, nil, err
	}
	return nil, refuse(status, err.Error()), nil
}

// awaitCall waits for the first byte of a call. It returns errIdleTimeout if none arrives in the idle time in force.
func (c *connection) awaitCall() error {
	for {
		c.setReadDeadline(time.Now().Add(c.idleTimeLeft()))
		_, err := c.r.Peek(1)
		if err == nil || !isTimeout(err) {
			return err
		}
		if c.closing.Load() || c.isDeadlineFinal() || c.idleTimeLeft() <= 0 {
			return errIdleTimeout
		}
	}
}

// idleTimeLeft returns the time until a connection that waits for a call is closed.
func (c *connection) idleTimeLeft() time.Duration {
	idleTimeout := c.server.currentBounds().IdleTimeout
	if since, ok := c.idleSince(); ok {
		return idleTimeout - time.Since(since)
	}
	return idleTimeout
}

// readBody reads the body of a call. It applies the bounds in force while the body arrives.
func (c *connection) readBody(ctx context.Context, holder *accountant.Holder, r *http.Request) (courier.Body, error) {
	began := time.Now()
	c.input.count = 0
	c.input.beforeRead = func() { c.setReadDeadline(c.bodyDeadline(began)) }
	defer func() { c.input.beforeRead = nil }()
	reader := courier.BodyReader{
		Limit: func() int64 { return c.server.currentBounds().MaxBodyBytes },
		Grow:  func(bytes int64) error { return holder.Grow(ctx, bytes) },
	}
	if !slices.Contains(r.TransferEncoding, "chunked") {
		return reader.Read(c.r, max(r.ContentLength, 0))
	}
	body, err := reader.Read(httputil.NewChunkedReader(c.r), -1)
	if err == nil {
		err = c.skipTrailer()
	}
	if err != nil && !errors.Is(err, courier.ErrBodyTooLarge) && c.input.lastErr == nil && !errors.Is(err, accountant.ErrShed) {
		err = fmt.Errorf("%w: %w", errMalformed, err)
	}
	return body, err
}

// bodyDeadline returns the time until which more of a body must arrive.
func (c *connection) bodyDeadline(began time.Time) time.Time {
	idleTimeout := c.server.currentBounds().IdleTimeout
	minRateDeadline := began.Add(max(idleTimeout, minRateGrace) + time.Duration(c.input.count)*time.Second/minReadRate)
	if idleDeadline := time.Now().Add(idleTimeout); idleDeadline.Before(minRateDeadline) {
		return idleDeadline
	}
	return minRateDeadline
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

// inputReader reads from the connection of a caller.
type inputReader struct {
	r          io.Reader
	beforeRead func() // called before each read of r; optional
	count      int64  // number of bytes read
	lastErr    error  // error of the last read; readers above it may return another one
}

// Read reads from the connection, counts the bytes and keeps the error.
func (i *inputReader) Read(p []byte) (int, error) {
	if i.beforeRead != nil {
		i.beforeRead()
	}
	n, err := i.r.Read(p)
	i.count += int64(n)
	i.lastErr = err
	return n, err
}
