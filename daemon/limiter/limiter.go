// Package limiter limits the number of concurrent calls to the local upstream and queues the others by priority class.
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
	// ErrDeadline is returned when the call would not start, or did not start, by its latest start.
	ErrDeadline = errors.New("deadline would pass in the queue")
	// ErrDraining is returned after Drain until the next cold start.
	ErrDraining = errors.New("upstream is draining")
	// ErrCanceled is returned when the context of a queued call was canceled.
	ErrCanceled = errors.New("call was canceled in the queue")
	// ErrNoUpstream is returned while the limiter has no slots.
	ErrNoUpstream = errors.New("no upstream is announced")
)

const (
	defaultQueue = 256
	// defaultGrace bounds the time after the start of a drain in which queued calls still start, because a leaving
	// upstream must not receive new calls after a few seconds.
	defaultGrace = 2 * time.Second
)

// Hooks are optional functions that observe the limiter. They are called without the lock held.
type Hooks struct {
	// Admitted is called with the time a call waited in the queue.
	Admitted func(class string, wait time.Duration)
	// Refused is called with the error that Acquire returns.
	Refused func(class string, err error)
	// Ended is called with the service time of a call, for which it held its slot.
	Ended func(class string, serviceTime time.Duration, outcome Outcome)
	// Limited is called with the new limit after an overload lowered it or a cold start reset it.
	Limited func(limit int)
}

// Limiter holds the slots and queues in front of one upstream.
type Limiter struct {
	maxQueue int
	grace    time.Duration
	now      func() time.Time
	hooks    Hooks

	load atomic.Int64 // in-flight and queued calls

	mu         sync.Mutex
	capacity   capacity
	schedule   schedule
	inflight   int
	lastChange time.Time // time of the last grant or end of a call
	draining   bool
	drained    chan struct{} // closed when no call is left or a cold start begins; nil unless Drain waits
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithSlots sets the initial number of slots, without slow start.
func WithSlots(slots int) Option {
	return func(l *Limiter) { l.capacity.slots, l.capacity.limit = max(slots, 0), float64(max(slots, 0)) }
}

// WithQueue sets the maximum queue length of each class.
func WithQueue(length int) Option {
	return func(l *Limiter) { l.maxQueue = length }
}

// WithGrace sets how long queued calls may still start after a call of Drain.
func WithGrace(grace time.Duration) Option {
	return func(l *Limiter) { l.grace = grace }
}

// WithoutSlowStart makes all slots available at a cold start. Use it if many daemons may restart at
// once and their calls would otherwise wait for the slow start.
func WithoutSlowStart() Option {
	return func(l *Limiter) { l.capacity.skipSlowStart = true }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(l *Limiter) { l.now = now }
}

// WithHooks sets the functions that observe the limiter.
func WithHooks(hooks Hooks) Option {
	return func(l *Limiter) { l.hooks = hooks }
}

// New returns a limiter. Without WithSlots it refuses all calls until SetSlots is called.
func New(opts ...Option) *Limiter {
	l := &Limiter{maxQueue: defaultQueue, grace: defaultGrace, now: time.Now}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Load returns the number of in-flight and queued calls.
func (l *Limiter) Load() int {
	return int(l.load.Load())
}

// Limit returns the current maximum number of in-flight calls.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.capacity.maxInflight()
}

// SetSlots sets the number of slots. Zero means that there is no upstream and refuses the queued calls. A change from
// zero to more is a cold start: the limit starts low, and an earlier Drain ends. Other changes keep the adapted limit.
// Repeated calls with the same number have no effect, so every announcement may call SetSlots.
func (l *Limiter) SetSlots(slots int) {
	slots = max(slots, 0)
	l.mu.Lock()
	previous := l.capacity.slots
	cold := previous == 0 && slots > 0
	switch {
	case slots == previous:
		l.mu.Unlock()
		return
	case cold:
		l.capacity.start(slots)
		l.draining = false
		l.wakeDrain()
		l.lastChange = l.now()
	default:
		l.capacity.setSlots(slots)
	}
	if slots == 0 {
		l.refuseQueued(ErrNoUpstream)
	}
	l.dispatch(l.now())
	limit := l.capacity.maxInflight()
	l.mu.Unlock()
	if cold && l.hooks.Limited != nil {
		l.hooks.Limited(limit)
	}
}
