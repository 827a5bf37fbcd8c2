// Package expirer commits the expiry of batches whose support contract has ended.
package expirer

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/wire"
)

// retryInterval is the time between two attempts to commit a due expiry.
const retryInterval = time.Second

// Expirer proposes an expire command when a batch reaches its expiry, on the leader only.
type Expirer struct {
	propose func(context.Context, wire.Command) (wire.Result, error)
	leading func() bool
	view    func() *registrar.View
	log     hclog.Logger
}

// Option configures an Expirer.
type Option func(*Expirer)

// WithPropose sets the function that runs a command through the replicated log.
func WithPropose(propose func(context.Context, wire.Command) (wire.Result, error)) Option {
	return func(e *Expirer) { e.propose = propose }
}

// WithLeading sets the function that reports whether this controller is the leader.
func WithLeading(leading func() bool) Option {
	return func(e *Expirer) { e.leading = leading }
}

// WithView sets the function that returns the current view of all batches.
func WithView(view func() *registrar.View) Option {
	return func(e *Expirer) { e.view = view }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(e *Expirer) { e.log = log }
}

// New returns an Expirer. WithPropose, WithLeading and WithView are required.
func New(opts ...Option) *Expirer {
	e := &Expirer{log: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Run proposes due expiries until ctx ends.
func (e *Expirer) Run(ctx context.Context) error {
	for {
		view := e.view()
		timer := time.NewTimer(e.waitTime(view))
		select {
		case <-view.Changed():
		case <-timer.C:
			e.expire(ctx, view)
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// waitTime returns the time until the next expiry is due, but at least retryInterval and at most maxWait.
func (e *Expirer) waitTime(view *registrar.View) time.Duration {
	const maxWait = time.Hour
	next, ok := view.NextExpiry()
	if !ok {
		return maxWait
	}
	return min(max(time.Until(next), retryInterval), maxWait)
}

// expire proposes the next expiry of the view if it is due and this controller is the leader.
func (e *Expirer) expire(ctx context.Context, view *registrar.View) {
	next, ok := view.NextExpiry()
	if !ok || time.Now().Before(next) || !e.leading() {
		return
	}
	result, err := e.propose(ctx, wire.Command{Expire: true})
	if err != nil {
		e.log.Warn("expiry not committed", "error", err)
		return
	}
	e.log.Info("expired contracts withdrawn", "version", result.Version)
}
