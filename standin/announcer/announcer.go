// Package announcer announces a stand-in upstream to its daemon.
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/wire"
)

const (
	// every is the time between announcements. The daemon forgets an upstream after 15 s.
	every = 5 * time.Second
	// retry is the time to the next attempt after a failed announcement.
	retry = time.Second
)

// ErrDaemon reports that the daemon did not take an announcement.
var ErrDaemon = errors.New("daemon did not take the announcement")

// Announcer sends the announcements of one upstream.
type Announcer struct {
	daemon   netip.AddrPort
	upstream wire.Upstream
	leave    time.Duration
	log      hclog.Logger
	client   *http.Client
	seq      uint64 // of the last announcement or leave
}

// announcement is the upstream with the number that orders its messages.
type announcement struct {
	wire.Upstream
	Seq uint64 `json:"seq"`
}

// Option changes a setting of New.
type Option func(*Announcer)

// WithDaemon sets the daemon's local address. Without one nothing is announced.
func WithDaemon(addr netip.AddrPort) Option {
	return func(a *Announcer) { a.daemon = addr }
}

// WithUpstream sets what is announced.
func WithUpstream(u wire.Upstream) Option {
	return func(a *Announcer) { a.upstream = u }
}

// WithLeave sets the longest wait for the answer to the leave request.
func WithLeave(limit time.Duration) Option {
	return func(a *Announcer) { a.leave = limit }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(a *Announcer) { a.log = log }
}

// New returns an announcer.
func New(opts ...Option) *Announcer {
	a := &Announcer{leave: 90 * time.Second, log: hclog.NewNullLogger(), client: &http.Client{}}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Run announces the upstream until ctx ends, then leaves and waits until the daemon has ended its calls.
func (a *Announcer) Run(ctx context.Context) error {
	if !a.daemon.IsValid() {
		<-ctx.Done()
		return nil
	}
	for {
		wait := every
		if err := a.announce(ctx); err != nil && ctx.Err() == nil {
			a.log.Warn("announcement failed", "error", err)
			wait = retry
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return a.end()
		}
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	a.seq++
	body, err := json.Marshal(announcement{a.upstream, a.seq})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrDaemon, err)
	}
	// An announcement is not cut short by the end of ctx: the daemon could then handle it after the leave request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), every)
	defer cancel()
	return a.send(ctx, http.MethodPut, "", body)
}

func (a *Announcer) end() error {
	ctx, cancel := context.WithTimeout(context.Background(), a.leave)
	defer cancel()
	a.log.Info("leaving")
	a.seq++
	return a.send(ctx, http.MethodDelete, fmt.Sprintf("?start=%d&seq=%d", a.upstream.Start, a.seq), nil)
}

func (a *Announcer) send(ctx context.Context, method, query string, body []byte) error {
	url := "http://" + a.daemon.String() + "/v1/upstream" + query
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrDaemon, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrDaemon, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrDaemon, err)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%w: %s: %s", ErrDaemon, resp.Status, text)
	}
	return nil
}
