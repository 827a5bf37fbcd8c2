// Package budgeter implements retry budgets: it limits the number of retries to a service, so that the retries of all
// daemons together cannot multiply the load of the service.
package budgeter

import (
	"sync"
	"time"
)

const (
	// buckets is the number of buckets of the sliding window. Buckets are dropped as a whole; more buckets make the
	// window more exact.
	buckets = 20
	// directShare is the part of the ratio that AllowRetry grants. About the same number of calls is caused by retried
	// runs, which call other services again and cannot be told from first calls. The rest allows for random variation.
	directShare = 0.4
	// slackShare is the part of the slack that AllowRetry grants. Only a part is granted, because each retried run may
	// make several calls to the next service.
	slackShare = 0.25
)

// Limits bounds the retries to a service by all daemons together.
type Limits struct {
	Ratio  float64       // retries per call to the service
	Window time.Duration // length of the sliding window; the limits hold for any span of this length
	Slack  float64       // additional retries per window, whatever the number of calls
}

// DefaultLimits returns the limits that apply if the settings contain none.
func DefaultLimits() Limits {
	return Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 20}
}

// Budgeter counts calls and retries by service. Its methods may be called concurrently.
type Budgeter struct {
	limits  func() Limits
	members func() int
	now     func() time.Time

	mu         sync.Mutex
	services   map[string]*window
	maxMembers int // maximum of members so far, since members that are no longer visible may still use their share
}

// window counts the calls and retries to one service in the newest buckets.
type window struct {
	bucket  int64 // number of the newest bucket since the Unix epoch
	calls   [buckets + 1]int
	retries [buckets + 1]int
}

// Option configures a Budgeter.
type Option func(*Budgeter)

// WithLimits sets the source of the limits.
func WithLimits(limits func() Limits) Option {
	return func(b *Budgeter) { b.limits = limits }
}

// WithMembers sets the source of the number of daemons that share the slack.
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

// CountCall counts one call to a service.
func (b *Budgeter) CountCall(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.calls[w.bucket%(buckets+1)]++
}

// AllowRetry reports whether a call to a service may be retried, and counts the retry if so.
func (b *Budgeter) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	calls, retries := w.sums()
	b.maxMembers = max(b.maxMembers, b.members(), 1)
	limits := b.limits()
	allowed := directShare*limits.Ratio*float64(calls) + slackShare*limits.Slack/float64(b.maxMembers)
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.bucket%(buckets+1)]++
	return true
}

// window returns the window of a service, advanced to the current time. The lock must be held.
func (b *Budgeter) window(service string) *window {
	bucket := b.now().UnixNano() / max(int64(b.limits().Window)/buckets, 1)
	w := b.services[service]
	if w == nil {
		w = &window{bucket: bucket}
		b.services[service] = w
	}
	if bucket-w.bucket > buckets {
		*w = window{bucket: bucket}
	}
	for w.bucket < bucket {
		w.bucket++
		w.calls[w.bucket%(buckets+1)], w.retries[w.bucket%(buckets+1)] = 0, 0
	}
	return w
}

// sums returns the number of calls and retries in the window. The oldest bucket, which lies only partly in the window,
// counts for retries but not for calls, so that the ratio is not exceeded.
func (w *window) sums() (calls, retries int) {
	for i := range buckets + 1 {
		retries += w.retries[i]
		if int64(i) != (w.bucket+1)%(buckets+1) {
			calls += w.calls[i]
		}
	}
	return calls, retries
}
