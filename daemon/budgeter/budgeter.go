// Package budgeter implements retry budgets: it limits the number of retries to a service, so that the retries of all
// daemons together cannot multiply the load of the service.
//
// The daemon of an upstream decides whether a retry may arrive there, and counts the calls that arrive. A retried run makes
// calls to other services, which count as retries there. The daemon on its VM pays for them with the calls that first runs
// make, before the retry runs.
package budgeter

import (
	"errors"
	"sync"
	"time"
)

const (
	// nestedShare is the part of a nested call that pays for calls of retried runs. The rest pays for its own retries.
	nestedShare = 0.5
	// upstreamDelay and nestedDelay are how many buckets may pass until a granted retry arrives at the local upstream, and
	// a granted call of a retried run at the upstream of another VM.
	upstreamDelay = 1
	nestedDelay   = 6
	// maxNestedAge is the age in buckets up to which a call of a retried run may be sent to an upstream. The rest of
	// nestedDelay is for its way there.
	maxNestedAge = nestedDelay - 1
)

var (
	// ErrSpent reports that the retry budget allows no further retry at this upstream now.
	ErrSpent = errors.New("retry budget spent")
	// ErrLate reports a call of a retried run that arrives too late to be counted in the window that paid for it.
	ErrLate = errors.New("call of a retry is too old")
)

// firstPart is the part of a call that its first arrival adds to the account of the upstream, by kind.
var firstPart = map[Kind]float64{First: 1, Nested: 1 - nestedShare}

// Limits bounds the retries to a service by all daemons together.
type Limits struct {
	Ratio  float64       // retries per call to the service
	Window time.Duration // length of the sliding window; the limits hold for any span of this length
	Slack  float64       // additional retries per window, whatever the number of calls
	Shares int           // number of parts into which the slack is divided, one for each upstream; 0 if it is not used
}

// DefaultLimits returns the limits that apply if the settings contain none.
func DefaultLimits() Limits {
	return Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 20, Shares: 10}
}

// Arrival is the arrival of a call at the local upstream.
type Arrival struct {
	ID       string // of the call; the calls that its run makes have IDs that begin with it
	Service  string
	Route    string // calls on one route make about the same calls
	Kind     Kind
	Age      time.Duration // time since a daemon got the call from its caller
	TimeLeft time.Duration // time until the deadline
}

// Budgeter grants retries. Its methods may be called concurrently.
type Budgeter struct {
	limits func() Limits
	now    func() time.Duration
	count  func(service string, kind Kind, admitted bool)

	mu       sync.Mutex
	since    time.Duration // when the counting began
	width    time.Duration // length of a bucket
	services map[string]*service
	runs     runs
}

// service holds the accounts of one service.
type service struct {
	upstream account // calls and retries that arrive at the local upstream
	nested   account // calls that runs at the local upstream make to the service
	reserved int     // calls of the running retries that have not been made, out of nested
}

// Option configures a Budgeter.
type Option func(*Budgeter)

// WithLimits sets the source of the limits.
func WithLimits(limits func() Limits) Option {
	return func(b *Budgeter) { b.limits = limits }
}

// WithClock sets the clock: the time since any fixed moment. It must not go back, nor stop while the VM is suspended.
func WithClock(now func() time.Duration) Option {
	return func(b *Budgeter) { b.now = now }
}

// WithCount sets a function that is called for each arrival at the local upstream and for each retry that is refused.
func WithCount(count func(service string, kind Kind, admitted bool)) Option {
	return func(b *Budgeter) { b.count = count }
}

// New returns a budgeter.
func New(opts ...Option) *Budgeter {
	created := time.Now()
	b := &Budgeter{
		limits: DefaultLimits,
		now:    func() time.Duration { return time.Since(created) },
		count:  func(string, Kind, bool) {},
	}
	for _, opt := range opts {
		opt(b)
	}
	b.runs = newRuns(b.now())
	b.services = map[string]*service{}
	return b
}

// Used returns how much of the limit for the local upstream of a service is used: 0 without retries, 1 if no further one is
// admitted now.
func (b *Budgeter) Used(name string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.update()
	if b.services[name] == nil {
		return 0
	}
	return b.service(t, name).upstream.used(t.limits.Ratio, b.slack(t))
}

// Check returns an error if Begin would refuse the arrival now.
func (b *Budgeter) Check(a Arrival) error {
	b.mu.Lock()
	err := b.check(b.update(), a)
	b.mu.Unlock()
	if err != nil {
		b.count(a.Service, a.Kind, false)
	}
	return err
}

// Begin admits a call that is about to be sent to the local upstream, or returns an error. The returned function must be called
// when the upstream has answered or the call has ended otherwise. It takes whether the call was sent.
func (b *Budgeter) Begin(a Arrival) (end func(sent bool), err error) {
	b.mu.Lock()
	t := b.update()
	if err = b.check(t, a); err == nil {
		end = b.begin(t, a)
	}
	b.mu.Unlock()
	b.count(a.Service, a.Kind, err == nil)
	return end, err
}

// tick is the time and the limits at which a method works.
type tick struct {
	now    time.Duration
	bucket int64
	limits Limits
}

// update returns the current tick. It counts anew if the length of the window has changed. The lock must be held.
func (b *Budgeter) update() tick {
	t := tick{now: b.now(), limits: b.limits()}
	width := max(t.limits.Window/buckets, 1)
	t.bucket = int64(t.now / width)
	if width != b.width {
		b.since, b.width = t.now, width
		for _, s := range b.services {
			s.reset(t.bucket)
		}
	}
	return t
}

// reset forgets the calls and the grants.
func (s *service) reset(bucket int64) {
	s.upstream = account{delay: upstreamDelay, newest: bucket}
	s.nested = account{delay: nestedDelay, newest: bucket}
}

// service returns the accounts of a service, advanced to the tick.
func (b *Budgeter) service(t tick, name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		s.reset(t.bucket)
		b.services[name] = s
	}
	s.upstream.advance(t.bucket)
	s.nested.advance(t.bucket)
	return s
}

// slack returns the retries that the local upstream may get whatever the number of its calls. A process that was started again
// must not use its share twice in a window.
func (b *Budgeter) slack(t tick) float64 {
	if t.limits.Shares == 0 || t.now-b.since < t.limits.Window {
		return 0
	}
	return t.limits.Slack / float64(t.limits.Shares)
}

func (b *Budgeter) check(t tick, a Arrival) error {
	switch a.Kind {
	case Retry:
		s := b.service(t, a.Service)
		if s.upstream.room(t.limits.Ratio, b.slack(t)) < 1 || !b.canReserve(t, a.Route) {
			return ErrSpent
		}
	case Caused:
		if a.Age > maxNestedAge*b.width {
			return ErrLate
		}
	}
	return nil
}

// begin counts a retry that was checked and records its run.
func (b *Budgeter) begin(t tick, a Arrival) (end func(sent bool)) {
	if a.Kind == Retry {
		b.service(t, a.Service).upstream.addGrant()
	}
	r := &run{retry: a.Kind.IsRetry(), until: t.now + max(a.TimeLeft, 0) + runGrace}
	if r.retry {
		r.reserved = b.reserve(t, a.Route)
	}
	b.runs.add(a.ID, r, t.now)
	return func(sent bool) { b.end(a, r, t.now-a.Age, sent) }
}

// end counts a first arrival, learns from its run which calls the runs of its route make, and releases what the run has not used.
// A call that was not sent may still arrive first at another upstream, which counts it then.
func (b *Budgeter) end(a Arrival, r *run, started time.Duration, sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.update()
	if part := firstPart[a.Kind]; sent && part > 0 {
		b.service(t, a.Service).upstream.addCall(int64(started/b.width), part)
	}
	b.runs.learn(a.Route, r)
	for name, left := range r.reserved {
		b.services[name].reserved -= left
	}
	r.reserved = nil
}
