// Package deliverer brings routed calls to the local upstream: it waits for a slot, sends the call and tells whether it
// ran.
package deliverer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/courier"
)

const (
	// answerGrace is how long the own answer of an upstream whose deadline has passed is waited for.
	answerGrace = 100 * time.Millisecond
	// minLeft is the least time that is worth sending a call for.
	minLeft = 5 * time.Millisecond
	// freshIdle is the longest idle time of a connection for calls that may run only once: an upstream may drop an idle
	// connection, and a reset then leaves open whether the call ran.
	freshIdle = 300 * time.Millisecond
)

// Outcome tells what is known about a call.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered" // the upstream answered
	NotRun   Outcome = "not-run"  // the upstream certainly did not run the call and will not
	Unknown  Outcome = "unknown"  // the call was sent and may have run
)

// Order is one call to the local upstream.
type Order struct {
	Request  *courier.Request
	Service  string
	Class    string
	Deadline time.Time
	Target   time.Time // an answer is wanted by then; zero for none
	Kind     string    // calls of one kind take about the same time
	Repeat   bool      // the call may run more than once
	Again    bool      // the caller was probably refused before and has come back
}

// Result is the end of an order.
type Result struct {
	Outcome Outcome
	Answer  *courier.Answer // of the upstream, if it answered
	Reason  string          // why there is no answer
	Load    int             // calls here that are in progress or wait, after this one; negative if not known
	Arrived bool            // the upstream was sent the call, even if it rejected it
}

// End tells the limiter how a call ended.
type End int

// Ends of a call.
const (
	OK         End = iota // the upstream processed the call
	Overloaded            // the upstream rejected the call
	TimedOut              // the upstream did not answer in time
	Ignored               // nothing is known
)

// Deliverer sends calls to the local upstream.
type Deliverer struct {
	upstream func() (wire.Upstream, bool)
	acquire  func(ctx context.Context, class string, latest time.Time) (func(End), error)
	lost     func(wire.Upstream)
	load     func() int
	client   *courier.Client
	names    courier.Names
	times    times
	draining atomic.Bool
}

// Option sets up a Deliverer.
type Option func(*Deliverer)

// WithUpstream sets the source of the announced upstream.
func WithUpstream(upstream func() (wire.Upstream, bool)) Option {
	return func(d *Deliverer) { d.upstream = upstream }
}

// WithAcquire sets the function that waits for a slot, until latest if none is free.
func WithAcquire(acquire func(ctx context.Context, class string, latest time.Time) (func(End), error)) Option {
	return func(d *Deliverer) { d.acquire = acquire }
}

// WithLost sets the function that is told when the upstream refuses connections.
func WithLost(lost func(wire.Upstream)) Option {
	return func(d *Deliverer) { d.lost = lost }
}

// WithLoad sets the source of the number of calls in progress or waiting.
func WithLoad(load func() int) Option {
	return func(d *Deliverer) { d.load = load }
}

// WithNames sets the names of headers.
func WithNames(names courier.Names) Option {
	return func(d *Deliverer) { d.names = names }
}

// New returns a deliverer. WithUpstream and WithAcquire are required.
func New(opts ...Option) *Deliverer {
	d := &Deliverer{
		lost:   func(wire.Upstream) {},
		load:   func() int { return -1 },
		client: courier.New(),
		names:  courier.DefaultNames(),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Run keeps the connections to the upstream until ctx ends.
func (d *Deliverer) Run(ctx context.Context) error {
	return d.client.Run(ctx)
}

// Drain makes the deliverer refuse new calls. Those in progress go on.
func (d *Deliverer) Drain() {
	d.draining.Store(true)
}

// Deliver sends the call to the local upstream and returns what is known about it then. If ctx ends, a call that waits is
// given up; one that was sent goes on if it may run only once.
func (d *Deliverer) Deliver(ctx context.Context, o Order) Result {
	result := d.deliver(ctx, o)
	result.Load = d.load()
	return result
}

func (d *Deliverer) deliver(ctx context.Context, o Order) Result {
	before, ok := d.upstream()
	if refused := d.check(before, ok, o); refused != "" {
		return notRun(refused)
	}
	waiting, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	class, latest := o.Place(time.Now(), d.times.usual(o.Kind))
	free, err := d.acquire(waiting, class, latest)
	if err != nil {
		return notRun("no slot: " + err.Error())
	}
	// The upstream may have left or been replaced during the wait.
	after, ok := d.upstream()
	if refused := d.check(after, ok, o); refused != "" {
		free(Ignored)
		return notRun(refused)
	}
	if left := time.Until(o.Deadline); left < minLeft {
		free(Ignored)
		return notRun("the deadline passed before the call was sent")
	}
	began := time.Now()
	result, end := d.send(ctx, o, after)
	free(end)
	if end == OK || end == TimedOut {
		d.times.add(o.Kind, time.Since(began))
	}
	return result
}

func (d *Deliverer) check(u wire.Upstream, ok bool, o Order) string {
	switch {
	case d.draining.Load():
		return "the daemon is stopping"
	case !ok:
		return "no upstream here"
	case u.Service != o.Service:
		return "the upstream here serves " + u.Service
	}
	return ""
}

// send passes the call on and judges the answer.
func (d *Deliverer) send(ctx context.Context, o Order, u wire.Upstream) (Result, End) {
	if !o.Repeat {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, o.Deadline.Add(answerGrace))
	defer cancel()
	answer, err := d.client.Do(ctx, u.Address, d.call(o, u))
	switch {
	case errors.Is(err, courier.ErrUnreachable):
		if ctx.Err() == nil {
			d.lost(u)
		}
		return notRun("upstream: " + err.Error()), Ignored
	case errors.Is(err, courier.ErrUnsent):
		return notRun("upstream: " + err.Error()), Ignored
	case err != nil && time.Until(o.Deadline) <= 0:
		d.client.Forget(u.Address) // other connections may be as silent as this one
		return Result{Outcome: Unknown, Reason: "no answer before the deadline", Arrived: true}, TimedOut
	case err != nil:
		return Result{Outcome: Unknown, Reason: "upstream: " + err.Error(), Arrived: true}, Ignored
	}
	return d.judge(answer)
}

// call returns the call as it is sent to the upstream.
func (d *Deliverer) call(o Order, u wire.Upstream) courier.Call {
	request := *o.Request
	request.Header = request.Header.Clone()
	courier.RemoveOwn(request.Header)
	if d.names.Deadline != "" {
		request.Header.Set(d.names.Deadline, strconv.FormatInt(time.Until(o.Deadline).Milliseconds(), 10))
	}
	if d.names.Target != "" && u.ID != "" {
		request.Header.Set(d.names.Target, u.ID)
	}
	call := courier.Call{Request: &request}
	if !o.Repeat {
		call.MaxIdle = freshIdle
	}
	if value := request.Header.Get(d.names.Attempt); value != "" {
		call.EchoHeader, call.EchoValue = d.names.Attempt, value
	}
	return call
}

// judge decides what an answer of the upstream means.
func (d *Deliverer) judge(a *courier.Answer) (Result, End) {
	courier.RemoveHopByHop(a.Header)
	courier.RemoveOwn(a.Header)
	switch {
	case a.Header.Get(d.names.NotRun) != "" || a.Status == http.StatusMisdirectedRequest:
		return Result{Outcome: NotRun, Reason: "the upstream rejected the call: " + strconv.Itoa(a.Status), Arrived: true}, Overloaded
	case a.Status < http.StatusMultipleChoices && d.names.Proof != "" && a.Header.Get(d.names.Proof) == "",
		a.Header.Get("Content-Encoding") != "":
		return Result{Outcome: Unknown, Reason: "the answer is not the upstream's", Arrived: true}, Ignored
	}
	return Result{Outcome: Answered, Answer: a, Arrived: true}, OK
}

func notRun(reason string) Result {
	return Result{Outcome: NotRun, Reason: reason}
}
