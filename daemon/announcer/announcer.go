// Package announcer serves the loopback API with which the local upstream announces itself and leaves.
package announcer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/wire"
)

// Lifetime is how long an announcement holds without a repeat, unless WithLifetime says otherwise.
const Lifetime = 15 * time.Second

const checkInterval = 250 * time.Millisecond

// ErrStopping reports an announcement to a daemon that is about to stop.
var ErrStopping = errors.New("daemon is stopping")

// ErrLeaving reports an announcement while a leave waits for calls in progress.
var ErrLeaving = errors.New("upstream is leaving")

// Announcer holds the announcement of the local upstream.
type Announcer struct {
	update  func(func(*wire.Member))
	drained func(context.Context) error
	life    time.Duration
	log     hclog.Logger

	// accepting is the upstream while it takes new calls, else nil. Call traffic reads it.
	accepting atomic.Pointer[wire.Upstream]

	mu       sync.Mutex // orders announcements, leaves and lapses together with their updates
	current  *wire.Upstream
	seen     time.Time
	since    int64
	heard    report // last numbered report of the upstream
	left     number // of the last leave
	leaves   int    // leaves that wait for calls in progress
	stopping bool
}

// Option configures an announcer.
type Option func(*Announcer)

// WithUpdate sets the function that changes the daemon's own member entry. It must not block.
func WithUpdate(update func(change func(*wire.Member))) Option {
	return func(a *Announcer) { a.update = update }
}

// WithDrained sets the function that waits until no call to the upstream is in progress.
func WithDrained(drained func(context.Context) error) Option {
	return func(a *Announcer) { a.drained = drained }
}

// WithLifetime sets how long an announcement holds without a repeat.
func WithLifetime(life time.Duration) Option {
	return func(a *Announcer) { a.life = life }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(a *Announcer) { a.log = log }
}

// New returns an announcer without an upstream.
func New(opts ...Option) *Announcer {
	a := &Announcer{
		update:  func(func(*wire.Member)) {},
		drained: func(context.Context) error { return nil },
		life:    Lifetime,
		log:     hclog.NewNullLogger(),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Run withdraws announcements that are not repeated in time, until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			a.expire(time.Now())
		}
	}
}

// Upstream returns the upstream, or false when none is announced or it is leaving.
func (a *Announcer) Upstream() (wire.Upstream, bool) {
	u := a.accepting.Load()
	if u == nil {
		return wire.Upstream{}, false
	}
	return *u, true
}

// Leave withdraws the upstream for the daemon's own planned stop and refuses later announcements.
func (a *Announcer) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
	a.withdraw()
}

// number orders the announcements and leaves of an upstream, over starts of its process too.
type number struct {
	start int64
	seq   uint64 // 0 if not numbered
}

// after reports whether a message was sent after another one, as far as they are numbered.
func (n number) after(other number) bool {
	if n.seq == 0 || other.seq == 0 {
		return true
	}
	return n.start > other.start || n.start == other.start && n.seq > other.seq
}

// announce takes a valid announcement.
func (a *Announcer) announce(u wire.Upstream, seq uint64, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	// A daemon that was paused may get an announcement after the leave that followed it.
	if !(number{u.Start, seq}).after(a.left) {
		return ErrStale
	}
	return a.accept(u, now)
}

// accept takes a valid announcement. The lock must be held.
func (a *Announcer) accept(u wire.Upstream, now time.Time) error {
	if a.stopping {
		return ErrStopping
	}
	// A repeat that crossed the leave on its way must not attract new calls.
	if a.leaves > 0 {
		return ErrLeaving
	}
	if a.current != nil && now.Sub(a.seen) >= a.life {
		a.withdraw()
	}
	a.seen = now
	if a.current != nil && *a.current == u {
		return nil
	}
	if a.current == nil || a.current.Address != u.Address || a.current.Service != u.Service || a.current.Start != u.Start {
		a.since = a.startOf(u, now)
	}
	a.current = &u
	a.accepting.Store(&u)
	since := a.since
	a.log.Info("upstream announced", "service", u.Service, "address", u.Address, "slots", u.Slots)
	a.update(func(m *wire.Member) {
		m.Service, m.Slots, m.Ready, m.Since = u.Service, u.Slots, true, since
	})
	return nil
}

// startOf returns the start of an upstream that is announced anew. A restarted daemon must not take its upstream for a
// cold one, so the time that the upstream tells goes first.
func (a *Announcer) startOf(u wire.Upstream, now time.Time) int64 {
	if u.Start > a.since && u.Start <= now.UnixMilli() {
		return u.Start
	}
	// A clock that steps back must still give a new start.
	return max(now.UnixMilli(), a.since+1)
}

// leave withdraws the upstream and waits for the calls in progress.
func (a *Announcer) leave(ctx context.Context, n number) error {
	a.mu.Lock()
	a.leaves++
	a.left = n
	a.withdraw()
	a.mu.Unlock()
	err := a.drained(ctx)
	a.mu.Lock()
	a.leaves--
	a.mu.Unlock()
	return err
}

func (a *Announcer) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && now.Sub(a.seen) >= a.life {
		a.log.Warn("announcement lapsed", "service", a.current.Service, "address", a.current.Address)
		a.withdraw()
	}
}

func (a *Announcer) withdraw() {
	if a.current == nil {
		return
	}
	a.current = nil
	a.accepting.Store(nil)
	a.update(func(m *wire.Member) { m.Ready = false })
}

// status returns the announcement and its start.
func (a *Announcer) status() (wire.Upstream, int64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return wire.Upstream{}, 0, false
	}
	return *a.current, a.since, true
}
