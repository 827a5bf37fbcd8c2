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

	"bluebellhoist/core/presenter"
)

// maxAnswer is the largest answer of a controller that is read.
const maxAnswer = 64 << 20

// client talks to the controllers.
type client struct {
	controllers []netip.AddrPort
	attempt     time.Duration
	http        *http.Client
}

func newClient(controllers []netip.AddrPort, attempt time.Duration) *client {
	// Controllers are addressed directly: a proxy from the environment could hold a change back and send it late.
	return &client{controllers: controllers, attempt: attempt, http: &http.Client{Transport: &http.Transport{}}}
}

// answer is the answer of one controller.
type answer struct {
	from   netip.AddrPort
	status int
	body   []byte
	sent   bool // the request may have reached the controller
	err    error
}

// do sends one request to one controller.
func (c *client) do(ctx context.Context, to netip.AddrPort, method, path string, body []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, c.attempt)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	a := answer{from: to}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.sent, a.err = sent.Load(), err
		return a
	}
	defer resp.Body.Close()
	a.sent, a.status = true, resp.StatusCode
	a.body, a.err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return a
}

// all sends a query to all controllers at once and returns the answers in the order of the controllers.
func (c *client) all(ctx context.Context, path string) []answer {
	answers := make([]answer, len(c.controllers))
	done := make(chan struct{})
	for i, to := range c.controllers {
		go func() {
			answers[i] = c.do(ctx, to, http.MethodGet, path, nil)
			done <- struct{}{}
		}()
	}
	for range c.controllers {
		<-done
	}
	return answers
}

// decode reads the body of a good answer into v.
func (a answer) decode(v any) error {
	if a.err != nil {
		return a.err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("%v: status %d: %s", a.from, a.status, a.failure().Error)
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return fmt.Errorf("%v: %w", a.from, err)
	}
	return nil
}

func (a answer) failure() presenter.Problem {
	var f presenter.Problem
	if err := json.Unmarshal(a.body, &f); err != nil {
		f.Error = string(bytes.TrimSpace(a.body))
	}
	return f
}

// gather sends a query to all controllers and decodes the good answers. It fails if there is none.
func gather[T any](ctx context.Context, c *client, path string) ([]T, []error, error) {
	var good []T
	var failed []error
	missing := 0
	for _, a := range c.all(ctx, path) {
		var v T
		if err := a.decode(&v); err != nil {
			failed = append(failed, err)
			if a.status == http.StatusNotFound {
				missing++
			}
			continue
		}
		good = append(good, v)
	}
	if len(good) > 0 {
		return good, failed, nil
	}
	if missing > 0 {
		return nil, failed, errMissing
	}
	return nil, failed, fmt.Errorf("%w: %w", errNone, errors.Join(failed...))
}
