package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"bluebellhoist/core/inspector"
	"bluebellhoist/core/presenter"
)

// maxResponseBytes is the maximum number of bytes read from a response body.
const maxResponseBytes = 64 << 20

// client sends requests to the controllers.
type client struct {
	controllers    []netip.AddrPort
	requestTimeout time.Duration
	http           *http.Client
}

func newClient(controllers []netip.AddrPort, requestTimeout time.Duration) *client {
	// The transport ignores proxy settings in the environment, because a proxy could delay a change and deliver it late.
	transport := inspector.New(&http.Transport{})
	return &client{controllers: controllers, requestTimeout: requestTimeout, http: &http.Client{Transport: transport}}
}

// response is the response of one controller, or the error if there was none.
type response struct {
	from   netip.AddrPort
	status int
	body   []byte
	sent   bool // whether the request may have reached the controller
	err    error
}

// do sends one request to one controller.
func (c *client) do(ctx context.Context, addr netip.AddrPort, method, path string, body []byte) response {
	ctx, cancel := context.WithTimeout(ctx, c.requestTimeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	r := response{from: addr}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.sent, r.err = sent.Load(), err
		return r
	}
	defer resp.Body.Close()
	r.sent, r.status = true, resp.StatusCode
	r.body, r.err = io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	return r
}

// getAll sends a GET request to all controllers in parallel and returns the responses in the order of c.controllers.
func (c *client) getAll(ctx context.Context, path string) []response {
	responses := make([]response, len(c.controllers))
	done := make(chan struct{})
	for i, addr := range c.controllers {
		go func() {
			responses[i] = c.do(ctx, addr, http.MethodGet, path, nil)
			done <- struct{}{}
		}()
	}
	for range c.controllers {
		<-done
	}
	return responses
}

// decode decodes the body of a successful response into v, or returns the error of a failed one.
func (r response) decode(v any) error {
	if r.err != nil {
		return r.err
	}
	if r.status != http.StatusOK {
		return fmt.Errorf("%v: status %d: %s", r.from, r.status, r.problem().Error)
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return fmt.Errorf("%v: %w", r.from, err)
	}
	return nil
}

// problem decodes the body of an error response. A body that is not JSON becomes the error text.
func (r response) problem() presenter.Problem {
	var p presenter.Problem
	if err := json.Unmarshal(r.body, &p); err != nil {
		p.Error = string(bytes.TrimSpace(r.body))
	}
	return p
}

// gather sends a GET request to all controllers and returns the decoded successful responses and the errors of the others.
// It fails if no response is successful.
func gather[T any](ctx context.Context, c *client, path string) ([]T, []error, error) {
	var decoded []T
	var failed []error
	notFound := 0
	for _, r := range c.getAll(ctx, path) {
		var v T
		if err := r.decode(&v); err != nil {
			failed = append(failed, err)
			if r.status == http.StatusNotFound {
				notFound++
			}
			continue
		}
		decoded = append(decoded, v)
	}
	if len(decoded) > 0 {
		return decoded, failed, nil
	}
	if notFound > 0 {
		return nil, failed, errNotFound
	}
	return nil, failed, fmt.Errorf("%w: %w", errUnavailable, errors.Join(failed...))
}
