// Package spender holds the tokens of a daemon for the calls of tenants with a limit, and asks controllers for more.
package spender

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/wire"
)

// Spender is a Ledger with a clock and a network. Its methods may be called concurrently.
type Spender struct {
	clock       func() time.Duration
	send        func(to netip.AddrPort, msg wire.Quota) error
	bound       func() Bound
	controllers func() []netip.AddrPort
	log         hclog.Logger

	mu     sync.Mutex
	ledger *Ledger
	timer  *time.Timer // runs while calls wait; nil before the first one
}

// Option configures a Spender.
type Option func(*Spender)

// WithClock sets the clock, which must not stop while the VM is suspended.
func WithClock(clock func() time.Duration) Option {
	return func(s *Spender) { s.clock = clock }
}

// WithSend sets the function that sends a message to a controller. It must not block.
func WithSend(send func(to netip.AddrPort, msg wire.Quota) error) Option {
	return func(s *Spender) { s.send = send }
}

// WithBound sets the source of the bound on the calls of a tenant.
func WithBound(bound func() Bound) Option {
	return func(s *Spender) { s.bound = bound }
}

// WithControllers sets the source of the addresses of the controllers, in the order in which they are asked.
func WithControllers(controllers func() []netip.AddrPort) Option {
	return func(s *Spender) { s.controllers = controllers }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(s *Spender) { s.log = log }
}

// New returns a spender for the tenants of a batch. All options but WithLogger are required.
func New(batch string, opts ...Option) *Spender {
	s := &Spender{log: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(s)
	}
	s.ledger = NewLedger(batch, s.bound, s.controllers, uint64(rand.Uint32())) // a small number takes fewer bytes
	s.ledger.count = newCounter(s.log).count
	return s
}

// TakeFunc is the type of Spender.Take.
type TakeFunc func(ctx context.Context, tenant string, limit Limit) (release func(used bool), err error)

// Take takes a token for a call of a tenant, which must have been received before, and waits for one if necessary. The caller
// must call release when the call has ended, with false if it was not sent to any upstream. Errors are an OverLimitError,
// ErrUnavailable, or that of ctx.
func (s *Spender) Take(ctx context.Context, tenant string, limit Limit) (release func(used bool), err error) {
	r, settled := s.take(tenant, limit)
	if settled != nil {
		select {
		case <-settled:
		case <-ctx.Done():
			s.update(func(now time.Duration) { s.ledger.Cancel(now, r) })
			return nil, ctx.Err()
		}
	}
	if r.Err != nil {
		return nil, r.Err
	}
	return func(used bool) { s.release(r, used) }, nil
}

// take requests a token and returns a channel that is closed once the request is settled, or nil if it is settled already.
func (s *Spender) take(tenant string, limit Limit) (r *Request, settled chan struct{}) {
	s.update(func(now time.Duration) {
		r = s.ledger.Take(now, tenant, limit, nil)
		if !r.Settled {
			done := make(chan struct{})
			r.settled = func(*Request) { close(done) }
			settled = done
		}
	})
	return r, settled
}

func (s *Spender) release(r *Request, used bool) {
	if !used {
		s.update(func(now time.Duration) { s.ledger.Release(now, r) })
	}
}

// Deliver handles a message from a controller.
func (s *Spender) Deliver(from netip.AddrPort, msg wire.Quota) {
	s.update(func(now time.Duration) { s.ledger.Deliver(now, from, msg) })
}

// update changes the ledger, sends its datagrams and sets the timer for its next timeout.
func (s *Spender) update(change func(now time.Duration)) {
	s.mu.Lock()
	now := s.clock()
	change(now)
	outgoing := s.ledger.Outgoing()
	s.setTimer(now)
	s.mu.Unlock()
	for _, d := range outgoing {
		if err := s.send(d.To, d.Message); err != nil {
			s.log.Debug("cannot ask for tokens", "controller", d.To, "error", err)
		}
	}
}

// setTimer sets the timer for the next timeout, or stops it if there is none.
func (s *Spender) setTimer(now time.Duration) {
	next, ok := s.ledger.Next()
	switch {
	case !ok && s.timer == nil:
	case !ok:
		s.timer.Stop()
	case s.timer == nil:
		s.timer = time.AfterFunc(next-now, s.expire)
	default:
		s.timer.Reset(next - now)
	}
}

func (s *Spender) expire() {
	s.update(func(now time.Duration) { s.ledger.Expire(now) })
}
