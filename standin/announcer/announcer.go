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
	// announceInterval is the time between announcements. The daemon removes an upstream 15 s after its last announcement.
	announceInterval = 5 * time.Second
	// retryInterval is the delay after a failed announcement.
	retryInterval = time.Second
)

// ErrDaemon reports an announcement or a leave request that failed.
var ErrDaemon = errors.New("request to the daemon failed")

// Announcer announces one upstream.
type Announcer struct {
	daemon       netip.AddrPort
	upstream     wire.Upstream
	leaveTimeout time.Duration
	log          hclog.Logger
	client       *http.Client
	seq          uint64 // of the last announcement or leave request
}

// announcement is the body of an announcement. Seq orders the announcements and the leave request of one upstream.
type announcement struct {
	wire.Upstream
	Seq uint64 `json:"seq"`
}

// Option configures an Announcer.
type Option func(*Announcer)

// WithDaemon sets the address of the daemon's local API. Without it, nothing is announced.
func WithDaemon(addr netip.AddrPort) Option {
	return func(a *Announcer) { a.daemon = addr }
}

// WithUpstream sets the upstream to announce.
func WithUpstream(u wire.Upstream) Option {
	return func(a *Announcer) { a.upstream = u }
}

// WithLeaveTimeout sets the timeout of the leave request.
func WithLeaveTimeout(timeout time.Duration) Option {
	return func(a *Announcer) { a.leaveTimeout = timeout }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(a *Announcer) { a.log = log }
}

// New returns an announcer.
func New(opts ...Option) *Announcer {
	a := &Announcer{leaveTimeout: 90 * time.Second, log: hclog.NewNullLogger(), client: &http.Client{}}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Run announces the upstream until ctx ends. It then sends the leave request, which the daemon answers once it has ended
// its calls to the upstream.
func (a *Announcer) Run(ctx context.Context) error {
	if !a.daemon.IsValid() {
		<-ctx.Done()
		return nil
	}
	for {
		wait := announceInterval
		if err := a.announce(ctx); err != nil && ctx.Err() == nil {
			a.log.Warn("announcement failed", "error", err)
			wait = retryInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return a.sendLeave()
		}
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	a.seq++
	body, err := json.Marshal(announcement{a.upstream, a.seq})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrDaemon, err)
	}
	// The end of ctx does not cancel an announcement: the daemon could process a canceled one after the leave request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceInterval)
	defer cancel()
	return a.send(ctx, http.MethodPut, "", body)
}

// sendLeave sends the leave request and waits for the answer.
func (a *Announcer) sendLeave() error {
	ctx, cancel := context.WithTimeout(context.Background(), a.leaveTimeout)
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
