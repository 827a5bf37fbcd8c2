// Package budgeter limits how many calls are sent to upstreams a second time, so that retries of all daemons together
// cannot multiply the load of a service.
package budgeter

import (
	"sync"
	"time"
)

const (
	// buckets is the number of parts of the window. Old parts are dropped whole, so a finer division follows the sliding
	// window more closely.
	buckets = 20
	// ownShare is the part of the ratio that a daemon uses for its own repeats. As many again are made by the runs that
	// are repeated, which cannot be told from other calls; the rest covers chance.
	ownShare = 0.4
	// slackShare is the part of the fixed allowance that is given out. It multiplies along a chain by the number of calls
	// that a run makes.
	slackShare = 0.25
)

// Limits are what all daemons together may do.
type Limits struct {
	Ratio  float64       // repeats for each call to the service
	Window time.Duration // any span of this length counts
	Slack  float64       // repeats in a window that are allowed besides
}

// DefaultLimits hold where the settings name none.
func DefaultLimits() Limits {
	return Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 20}
}

// Budgeter counts calls and repeats of each service. Its methods may be called concurrently.
type Budgeter struct {
	limits  func() Limits
	members func() int
	now     func() time.Time

	mu       sync.Mutex
	services map[string]*window
	most     int // members ever seen, since those that cannot be seen now may spend their part all the same
}

// window counts the calls and repeats of one service in the last parts of the window.
type window struct {
	part    int64 // number of the newest part
	calls   [buckets + 1]int
	repeats [buckets + 1]int
}

// Option sets up a Budgeter.
type Option func(*Budgeter)

// WithLimits sets the source of the limits.
func WithLimits(limits func() Limits) Option {
	return func(b *Budgeter) { b.limits = limits }
}

// WithMembers sets the source of the number of daemons that share the allowance.
func WithMembers(members func() int) Option {
	return func(b *Budgeter) { b.members = members }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(b *Budgeter) { b.now = now }
}

// New returns a budgeter.
func New(opts ...Option) *Budgeter {
	b := &Budgeter{
		limits:   DefaultLimits,
		members:  func() int { return 1 },
		now:      time.Now,
		services: map[string]*window{},
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Count counts one call to a service.
func (b *Budgeter) Count(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.calls[w.part%(buckets+1)]++
}

// Take reports whether a call may be sent once more, and counts that.
func (b *Budgeter) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	calls, repeats := w.sums()
	b.most = max(b.most, b.members(), 1)
	l := b.limits()
	allowed := ownShare*l.Ratio*float64(calls) + slackShare*l.Slack/float64(b.most)
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.part%(buckets+1)]++
	return true
}

// window returns the counts of a service up to now. The lock must be held.
func (b *Budgeter) window(service string) *window {
	part := b.now().UnixNano() / max(int64(b.limits().Window)/buckets, 1)
	w := b.services[service]
	if w == nil {
		w = &window{part: part}
		b.services[service] = w
	}
	if part-w.part > buckets {
		*w = window{part: part}
	}
	for w.part < part {
		w.part++
		w.calls[w.part%(buckets+1)], w.repeats[w.part%(buckets+1)] = 0, 0
	}
	return w
}

// sums returns the calls and the repeats of the window. The oldest part counts for repeats only, since it lies in the
// window in part.
func (w *window) sums() (calls, repeats int) {
	for i := range buckets + 1 {
		repeats += w.repeats[i]
		if int64(i) != (w.part+1)%(buckets+1) {
			calls += w.calls[i]
		}
	}
	return calls, repeats
}
