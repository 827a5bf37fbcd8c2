// Package limiter admits calls to the local upstream: a bounded number at once, the others wait by class.
package limiter

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// ErrFull is returned when the queue of the class is full.
	ErrFull = errors.New("queue is full")
	// ErrDeadline is returned when the deadline of the call would pass, or passed, in the queue.
	ErrDeadline = errors.New("deadline would pass in the queue")
	// ErrDraining is returned while the upstream is leaving.
	ErrDraining = errors.New("upstream is draining")
	// ErrCanceled is returned when the caller gave up in the queue.
	ErrCanceled = errors.New("call was canceled in the queue")
	// ErrNoUpstream is returned while the limiter has no slots.
	ErrNoUpstream = errors.New("no upstream is announced")
)

const (
	defaultQueue = 256
	// defaultGrace bounds the time in which calls queued before a drain still start, because a leaving upstream may
	// receive no new work after a few seconds.
	defaultGrace = 2 * time.Second
)

// Hooks are functions that observe the limiter. Unset ones are not called, none is called under the lock.
type Hooks struct {
	// Admitted is called with the time a call waited in the queue.
	Admitted func(class string, wait time.Duration)
	// Refused is called with the error that Acquire returns.
	Refused func(class string, err error)
	// Ended is called with the time a call held its slot.
	Ended func(class string, held time.Duration, outcome Outcome)
	// Limited is called when an overload lowered the limit or a cold start reset it.
	Limited func(limit int)
}

// Limiter holds the slots and queues in front of one upstream.
type Limiter struct {
	queue int
	grace time.Duration
	now   func() time.Time
	hooks Hooks

	load atomic.Int64 // calls in progress and queued

	mu       sync.Mutex
	capacity capacity
	schedule schedule
	progress int
	changed  time.Time // last grant or end of a call
	draining bool
	idle     chan struct{} // closed when a draining limiter has no calls or starts anew; nil if nobody waits
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithSlots sets the initial number of slots, without slow start.
func WithSlots(slots int) Option {
	return func(l *Limiter) { l.capacity.slots, l.capacity.limit = max(slots, 0), float64(max(slots, 0)) }
}

// WithQueue sets the length of the queue of each class.
func WithQueue(length int) Option {
	return func(l *Limiter) { l.queue = length }
}

// WithGrace sets how long queued calls still start after Drain was called.
func WithGrace(grace time.Duration) Option {
	return func(l *Limiter) { l.grace = grace }
}

// WithoutSlowStart opens all slots at a cold start. It fits upstreams that announce how many calls they take at once.
func WithoutSlowStart() Option {
	return func(l *Limiter) { l.capacity.open = true }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(l *Limiter) { l.now = now }
}

// WithHooks sets the functions that observe the limiter.
func WithHooks(hooks Hooks) Option {
	return func(l *Limiter) { l.hooks = hooks }
}

// New returns a limiter. Without WithSlots it refuses all calls until Resize.
func New(opts ...Option) *Limiter {
	l := &Limiter{queue: defaultQueue, grace: defaultGrace, now: time.Now}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Load returns the number of calls in progress and queued.
func (l *Limiter) Load() int {
	return int(l.load.Load())
}

// Limit returns the number of calls that may be in progress now.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.capacity.current()
}

// Resize sets the number of slots; zero means that there is no upstream and refuses the queued calls. A change from
// zero to more is a cold start: the limit begins low, and an earlier Drain no longer holds. Other changes keep the
// learned limit, and the same number has no effect, so that it may be repeated with every announcement.
func (l *Limiter) Resize(slots int) {
	slots = max(slots, 0)
	l.mu.Lock()
	before := l.capacity.slots
	cold := before == 0 && slots > 0
	switch {
	case slots == before:
		l.mu.Unlock()
		return
	case cold:
		l.capacity.start(slots)
		l.draining = false
		l.wake()
		l.changed = l.now()
	default:
		l.capacity.resize(slots)
	}
	if slots == 0 {
		l.refuse(ErrNoUpstream)
	}
	l.dispatch(l.now())
	limit := l.capacity.current()
	l.mu.Unlock()
	if cold && l.hooks.Limited != nil {
		l.hooks.Limited(limit)
	}
}
