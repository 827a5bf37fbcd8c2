// Package deliverer delivers routed calls to the local upstream: it waits for a slot, sends the call and reports
// whether the upstream ran it.
package deliverer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bluebellhoist/core/accountant"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/courier"
)

const (
	// answerGrace is how long the deliverer waits after the deadline for the answer of the upstream itself.
	answerGrace = 100 * time.Millisecond
	// minTimeLeft is the minimum time until the deadline for which a call is still sent.
	minTimeLeft = 5 * time.Millisecond
	// maxIdleOnce is the maximum idle time of a connection that is reused for a call that may run only once: an
	// upstream may close an idle connection, and after a reset it is unknown whether the call ran.
	maxIdleOnce = 300 * time.Millisecond
)

// Outcome tells whether a call ran, as far as is known.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered" // the upstream answered
	NotRun   Outcome = "not-run"  // the call did not run and will not run
	Unknown  Outcome = "unknown"  // the call was sent and may have run
)

// Call is a routed call to the upstream of a daemon.
type Call struct {
	Request     *courier.Request
	Service     string
	Class       string
	Deadline    time.Time
	Target      time.Time     // the answer should arrive by then; zero for none
	Route       string        // name of the route; calls on one route take about the same time
	Retryable   bool          // the call may run more than once
	CallerRetry bool          // the caller is probably retrying after a refusal
	Kind        budgeter.Kind // what the arrival at the upstream is
	Started     time.Time     // when a daemon got the call from its caller
	Tenant      string        // name of the tenant of the call; empty for none
}

// Result is the result of a call.
type Result struct {
	Outcome Outcome
	Answer  *courier.Answer // answer of the upstream, or nil
	Reason  string          // why there is no answer
	Load    int             // in-flight and waiting calls at the upstream after this one; negative if unknown
	Sent    bool            // the call was sent to the upstream, even if the upstream refused it

	// OverBudget means that the retry budget kept the call from the upstream, which may have room for other calls.
	OverBudget bool
}

// SlotOutcome tells the limiter how the call that held a slot ended.
type SlotOutcome int

// Outcomes of a slot.
const (
	OK         SlotOutcome = iota // the upstream processed the call
	Overloaded                    // the upstream refused the call, by status 421 or the not-run header
	TimedOut                      // the upstream did not answer in time
	Ignored                       // nothing is known
)

// Deliverer sends calls to the local upstream.
type Deliverer struct {
	upstream      func() (wire.Upstream, bool)
	acquire       func(ctx context.Context, class string, latest time.Time) (func(SlotOutcome), error)
	onUnreachable func(wire.Upstream)
	load          func() int
	checkBudget   func(budgeter.Arrival) error
	beginRun      func(budgeter.Arrival) (end func(sent bool), err error)
	client        *courier.Client
	names         courier.HeaderNames
	dropKey       func(http.Header)
	durations     durations
	account       *accountant.Account
	draining      atomic.Bool
}

// Option configures a Deliverer.
type Option func(*Deliverer)

// WithUpstream sets the source of the announced upstream.
func WithUpstream(upstream func() (wire.Upstream, bool)) Option {
	return func(d *Deliverer) { d.upstream = upstream }
}

// WithAcquire sets the function that acquires a slot. If none is free, it waits until latest.
func WithAcquire(acquire func(ctx context.Context, class string, latest time.Time) (func(SlotOutcome), error)) Option {
	return func(d *Deliverer) { d.acquire = acquire }
}

// WithUnreachable sets the function that is called when the upstream cannot be reached.
func WithUnreachable(onUnreachable func(wire.Upstream)) Option {
	return func(d *Deliverer) { d.onUnreachable = onUnreachable }
}

// WithLoad sets the source of the number of in-flight and waiting calls.
func WithLoad(load func() int) Option {
	return func(d *Deliverer) { d.load = load }
}

// WithBudget sets the functions that tell whether the retry budget admits an arrival at the upstream, and that admit it and
// return a function to be called at the end of the run, which takes whether the call was sent.
func WithBudget(check func(budgeter.Arrival) error, begin func(budgeter.Arrival) (end func(sent bool), err error)) Option {
	return func(d *Deliverer) { d.checkBudget, d.beginRun = check, begin }
}

// WithDropKey sets the function that removes the key of a caller, which upstreams must not get, from the header of a call.
func WithDropKey(dropKey func(http.Header)) Option {
	return func(d *Deliverer) { d.dropKey = dropKey }
}

// WithHeaderNames sets the header names.
func WithHeaderNames(names courier.HeaderNames) Option {
	return func(d *Deliverer) { d.names = names }
}

// WithAccount sets the account of the memory that calls from other daemons occupy. The default is not limited.
func WithAccount(account *accountant.Account) Option {
	return func(d *Deliverer) { d.account = account }
}

// New returns a deliverer. WithUpstream and WithAcquire are required.
func New(opts ...Option) *Deliverer {
	d := &Deliverer{
		onUnreachable: func(wire.Upstream) {},
		load:          func() int { return -1 },
		checkBudget:   func(budgeter.Arrival) error { return nil },
		beginRun:      func(budgeter.Arrival) (func(bool), error) { return func(bool) {}, nil },
		dropKey:       func(http.Header) {},
		client:        courier.New(),
		names:         courier.DefaultHeaderNames(),
		account:       accountant.New(),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Run maintains the connections to the upstream until ctx ends.
func (d *Deliverer) Run(ctx context.Context) error {
	return d.client.Run(ctx)
}

// Drain makes the deliverer refuse new calls. In-flight calls continue.
func (d *Deliverer) Drain() {
	d.draining.Store(true)
}

// Deliver sends a call to the local upstream and returns its result. If ctx ends, a waiting call is canceled; a call
// that was sent continues if it may run only once.
func (d *Deliverer) Deliver(ctx context.Context, c Call) Result {
	result := d.deliver(ctx, c)
	result.Load = d.load()
	return result
}

func (d *Deliverer) deliver(ctx context.Context, c Call) Result {
	before, ok := d.upstream()
	if reason := d.refusal(before, ok, c); reason != "" {
		return notRun(reason)
	}
	if err := d.checkBudget(d.arrival(c)); err != nil {
		return overBudget(err)
	}
	waitCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	class, latest := c.Admission(time.Now(), d.durations.mean(c.Route))
	release, err := d.acquire(waitCtx, class, latest)
	if err != nil {
		return notRun("no slot: " + err.Error())
	}
	// The upstream may have left or been replaced while the call waited.
	after, ok := d.upstream()
	if reason := d.refusal(after, ok, c); reason != "" {
		release(Ignored)
		return notRun(reason)
	}
	if left := time.Until(c.Deadline); left < minTimeLeft {
		release(Ignored)
		return notRun("the deadline passed before the call was sent")
	}
	end, err := d.beginRun(d.arrival(c))
	if err != nil {
		release(Ignored)
		return overBudget(err)
	}
	began := time.Now()
	result, slotOutcome := d.send(ctx, c, after)
	end(result.Sent)
	release(slotOutcome)
	if slotOutcome == OK || slotOutcome == TimedOut {
		d.durations.observe(c.Route, time.Since(began))
	}
	return result
}

// refusal returns the reason to refuse a call, or an empty string.
func (d *Deliverer) refusal(u wire.Upstream, ok bool, c Call) string {
	switch {
	case d.draining.Load():
		return "the daemon is stopping"
	case !ok:
		return "no upstream here"
	case u.Service != c.Service:
		return "the upstream here serves " + u.Service
	}
	return ""
}

// send sends the call to the upstream and classifies the result.
func (d *Deliverer) send(ctx context.Context, c Call, u wire.Upstream) (Result, SlotOutcome) {
	if !c.Retryable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(answerGrace))
	defer cancel()
	answer, err := d.client.Do(ctx, u.Address, d.upstreamCall(c, u))
	switch {
	case errors.Is(err, courier.ErrUnreachable):
		if ctx.Err() == nil {
			d.onUnreachable(u)
		}
		return notRun("upstream: " + err.Error()), Ignored
	case errors.Is(err, courier.ErrUnsent):
		return notRun("upstream: " + err.Error()), Ignored
	case err != nil && time.Until(c.Deadline) <= 0:
		d.client.CloseIdle(u.Address) // other connections may hang as well
		return Result{Outcome: Unknown, Reason: "no answer before the deadline", Sent: true}, TimedOut
	case err != nil:
		return Result{Outcome: Unknown, Reason: "upstream: " + err.Error(), Sent: true}, Ignored
	}
	return d.classify(answer)
}

// upstreamCall returns the call in the form that is sent to the upstream.
func (d *Deliverer) upstreamCall(c Call, u wire.Upstream) courier.Call {
	request := *c.Request
	request.Header = request.Header.Clone()
	courier.RemoveDaemonHeaders(request.Header)
	d.setTenant(request.Header, c.Tenant)
	if d.names.Deadline != "" {
		request.Header.Set(d.names.Deadline, strconv.FormatInt(time.Until(c.Deadline).Milliseconds(), 10))
	}
	if d.names.Target != "" && u.ID != "" {
		request.Header.Set(d.names.Target, u.ID)
	}
	result := courier.Call{Request: &request}
	if !c.Retryable {
		result.MaxIdle = maxIdleOnce
	}
	value := request.Header.Get(d.names.Attempt)
	if value == "" {
		result.Fresh = d.names.Attempt != ""
		return result
	}
	result.EchoHeader, result.EchoValue = d.names.Attempt, value
	return result
}

// setTenant replaces what the caller sent about its tenant.
func (d *Deliverer) setTenant(h http.Header, tenant string) {
	d.dropKey(h)
	if d.names.Tenant == "" {
		return
	}
	h.Del(d.names.Tenant)
	if tenant != "" {
		h.Set(d.names.Tenant, tenant)
	}
}

// classify returns the result of a call for an answer, and the outcome for the limiter.
func (d *Deliverer) classify(answer *courier.Answer) (Result, SlotOutcome) {
	courier.RemoveHopByHop(answer.Header)
	courier.RemoveDaemonHeaders(answer.Header)
	switch {
	case answer.Header.Get(d.names.NotRun) != "" || answer.Status == http.StatusMisdirectedRequest:
		return Result{Outcome: NotRun, Reason: "the upstream refused the call: " + strconv.Itoa(answer.Status), Sent: true}, Overloaded
	case answer.Status < http.StatusMultipleChoices && d.names.Signature != "" && answer.Header.Get(d.names.Signature) == "",
		answer.Header.Get("Content-Encoding") != "":
		return Result{Outcome: Unknown, Reason: "the answer does not come from the upstream", Sent: true}, Ignored
	}
	return Result{Outcome: Answered, Answer: answer, Sent: true}, OK
}

// arrival describes the arrival of a call at the local upstream.
func (d *Deliverer) arrival(c Call) budgeter.Arrival {
	return budgeter.Arrival{
		ID: c.Request.Header.Get(d.names.Attempt), Service: c.Service, Route: c.Route, Kind: c.Kind,
		Age: time.Since(c.Started), TimeLeft: time.Until(c.Deadline),
	}
}

func overBudget(err error) Result {
	return Result{Outcome: NotRun, Reason: err.Error(), OverBudget: true}
}

func notRun(reason string) Result {
	return Result{Outcome: NotRun, Reason: reason}
}
