// Package announcer serves the loopback API through which the local upstream registers with its daemon and deregisters.
package announcer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/wire"
)

// DefaultLifetime is how long an announcement stays valid without being repeated, unless WithLifetime sets another time.
const DefaultLifetime = 15 * time.Second

// expiryCheckInterval is the time between two checks for an expired announcement.
const expiryCheckInterval = 250 * time.Millisecond

// ErrStopping reports an announcement that is refused because the daemon is stopping.
var ErrStopping = errors.New("daemon is stopping")

// ErrLeaving reports an announcement that is refused because a leave still waits for in-flight calls.
var ErrLeaving = errors.New("upstream is leaving")

// Announcer holds the current announcement of the local upstream and reflects it in the daemon's member entry.
type Announcer struct {
	updateMember func(func(*wire.Member))
	confirm      func(context.Context) error
	record       func(context.Context, wire.Departure) error
	store        store
	recovered    <-chan struct{} // nil if nothing is recovered
	drain        func(context.Context) error
	hasService   func(string) bool
	isConfigured func() bool
	lifetime     time.Duration
	log          hclog.Logger

	// accepting is the upstream while it takes new calls, else nil. It is read for each call, without the lock.
	accepting atomic.Pointer[wire.Upstream]

	mu            sync.Mutex // serializes announcements, leaves and expiries, each with its member update
	current       *wire.Upstream
	currentSeq    uint64 // sequence number of the last announcement of the current upstream
	lastSeen      time.Time
	startedAt     int64
	lastReport    reportID       // last report of the upstream that was not stale
	departed      wire.Departure // last leave, as the other members hold it
	departures    departures     // last leave of each upstream
	held          *heldUpstream  // announced before the departure was recovered
	pendingLeaves int            // leaves that wait for in-flight calls
	stopping      bool
}

// Option configures an announcer.
type Option func(*Announcer)

// WithMemberUpdate sets the function that changes the daemon's own gossip member entry. It must not block.
func WithMemberUpdate(update func(change func(*wire.Member))) Option {
	return func(a *Announcer) { a.updateMember = update }
}

// WithConfirm sets the function that returns once other members hold the daemon's member entry, so that a leave can be
// acknowledged.
func WithConfirm(confirm func(context.Context) error) Option {
	return func(a *Announcer) { a.confirm = confirm }
}

// WithRecord sets the function that stores a departure so that it outlasts the processes of all members. A leave is acknowledged
// only after it has returned.
func WithRecord(record func(context.Context, wire.Departure) error) Option {
	return func(a *Announcer) { a.record = record }
}

// WithFolder sets the data folder that keeps the departures across restarts.
func WithFolder(folder string) Option {
	return func(a *Announcer) { a.store = store{folder: folder} }
}

// WithRecovered sets a channel that is closed once Restore and RestoreAll have been called if others remember departures. Until
// then no upstream is announced.
func WithRecovered(recovered <-chan struct{}) Option {
	return func(a *Announcer) { a.recovered = recovered }
}

// WithServices sets the function that reports whether the configuration has a service.
func WithServices(has func(service string) bool) Option {
	return func(a *Announcer) { a.hasService = has }
}

// WithConfigured sets the function that reports whether there is a configuration yet.
func WithConfigured(configured func() bool) Option {
	return func(a *Announcer) { a.isConfigured = configured }
}

// WithDrain sets the function that waits until no call to the upstream is in flight.
func WithDrain(drain func(context.Context) error) Option {
	return func(a *Announcer) { a.drain = drain }
}

// WithLifetime sets how long an announcement stays valid without being repeated.
func WithLifetime(lifetime time.Duration) Option {
	return func(a *Announcer) { a.lifetime = lifetime }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(a *Announcer) { a.log = log }
}

// New returns an Announcer without an upstream.
func New(opts ...Option) *Announcer {
	a := &Announcer{
		updateMember: func(func(*wire.Member)) {},
		confirm:      func(context.Context) error { return nil },
		record:       func(context.Context, wire.Departure) error { return nil },
		departures:   newDepartures(),
		drain:        func(context.Context) error { return nil },
		hasService:   func(string) bool { return true },
		isConfigured: func() bool { return true },
		lifetime:     DefaultLifetime,
		log:          hclog.NewNullLogger(),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.loadDepartures()
	return a
}

// Run announces what was held back until the departure was recovered, and withdraws the announcement when it is not repeated
// in time, until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	recovered := a.recovered
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-recovered:
			recovered = nil
			a.announceHeld()
		case <-ticker.C:
			a.expire(time.Now())
		}
	}
}

// Upstream returns the upstream that accepts calls, or false if none is announced or it is leaving.
func (a *Announcer) Upstream() (wire.Upstream, bool) {
	u := a.accepting.Load()
	if u == nil {
		return wire.Upstream{}, false
	}
	return *u, true
}

// Leave withdraws the upstream because the daemon is stopping. Later announcements are refused.
func (a *Announcer) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
	a.withdraw()
}

// sequence is the place of a message among those of an upstream, also across restarts of its process.
type sequence struct {
	start int64
	seq   uint64 // 0 if not numbered
}

// announce applies an announcement from the API unless a later leave has arrived before it.
func (a *Announcer) announce(u wire.Upstream, seq uint64, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	// A daemon whose process was paused may handle an announcement after the leave that was sent later.
	if a.isDeparted(u.ID, u.Start, seq) {
		return ErrStale
	}
	return a.accept(u, seq, now)
}

// accept applies a valid announcement. The caller holds the lock.
func (a *Announcer) accept(u wire.Upstream, seq uint64, now time.Time) error {
	if a.stopping {
		return ErrStopping
	}
	// An announcement that was sent before the leave must not make the upstream ready again.
	if a.pendingLeaves > 0 {
		return ErrLeaving
	}
	if !a.isRecovered() {
		a.held = &heldUpstream{u, seq, now}
		return nil
	}
	if a.current != nil && now.Sub(a.lastSeen) >= a.lifetime {
		a.withdraw()
	}
	a.lastSeen, a.currentSeq = now, seq
	if a.current != nil && *a.current == u {
		return nil
	}
	if a.current == nil || a.current.Address != u.Address || a.current.Service != u.Service || a.current.Start != u.Start {
		a.startedAt = a.startTimeOf(u, now)
	}
	a.current = &u
	a.accepting.Store(&u)
	startedAt := a.startedAt
	a.log.Info("upstream announced", "service", u.Service, "address", u.Address, "slots", u.Slots)
	a.updateMember(func(m *wire.Member) {
		m.Service, m.Slots, m.Ready, m.Since = u.Service, u.Slots, true, startedAt
	})
	return nil
}

// startTimeOf returns the start time of a newly announced upstream, in milliseconds since the Unix epoch. The time that the
// upstream itself states takes precedence, so that a restarted daemon does not treat a warm upstream as cold.
func (a *Announcer) startTimeOf(u wire.Upstream, now time.Time) int64 {
	if u.Start > a.startedAt && u.Start <= now.UnixMilli() {
		return u.Start
	}
	// The start time must increase even if the clock has been set back.
	return max(now.UnixMilli(), a.startedAt+1)
}

// leave withdraws the upstream and waits until its in-flight calls have ended and other members know of the leave. Until
// then announcements are refused. The leave of an earlier process does not withdraw the upstream.
func (a *Announcer) leave(ctx context.Context, n sequence) error {
	a.mu.Lock()
	if a.current != nil && n.start != 0 && n.start < a.current.Start {
		a.mu.Unlock()
		return nil
	}
	id := a.announcedID()
	if n.seq != 0 {
		a.depart(wire.Departure{Upstream: wire.HashUpstream(id), Start: n.start, Seq: n.seq})
	}
	a.pendingLeaves++
	a.held = nil
	a.withdraw()
	a.mu.Unlock()
	err := a.drain(ctx)
	a.mu.Lock()
	a.pendingLeaves--
	a.mu.Unlock()
	if err != nil {
		return fmt.Errorf("calls are still in progress: %w", err)
	}
	return a.confirmDeparture(ctx, id)
}

// expire withdraws the announcement if its lifetime has passed.
func (a *Announcer) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && now.Sub(a.lastSeen) >= a.lifetime {
		a.log.Warn("announcement lapsed", "service", a.current.Service, "address", a.current.Address)
		a.withdraw()
	}
}

// withdraw removes the announcement, if there is one. The caller holds the lock.
func (a *Announcer) withdraw() {
	if a.current == nil {
		return
	}
	a.current = nil
	a.accepting.Store(nil)
	a.updateMember(func(m *wire.Member) { m.Ready = false })
}

// status returns the announced upstream and its start time.
func (a *Announcer) status() (wire.Upstream, int64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return wire.Upstream{}, 0, false
	}
	return *a.current, a.startedAt, true
}
