// Package forwarder forwards calls from callers to other daemons and from other daemons to the local upstream.
package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellhoist/core/accountant"
	"bluebellhoist/core/compiler"
	"bluebellhoist/core/connector"
	"bluebellhoist/core/inspector"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/authorizer"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/spender"
)

// Values of HeaderOutcome on responses that a daemon generates itself.
const (
	OutcomeNotRun  = "not-run" // the call did not run and will not run
	OutcomeUnknown = "unknown" // the call may have run
)

const (
	maxDepth         = compiler.MaxDepth // a deeper call chain cannot follow the declared dependencies, so it is a loop
	maxAttempts      = 3                 // members that one call is sent to, not counting hedged requests
	maxBufferBytes   = 64 << 10          // request and response bodies up to this size are buffered
	maxOnceBodyBytes = 1 << 20           // bodies of calls that need a claim are held in memory for their digest
	maxStoredBytes   = 1 << 10           // response bodies up to this size are stored with the claim

	dialTimeout       = time.Second           // connecting takes a few milliseconds even between regions
	idleTimeout       = 15 * time.Second      // limits how many idle connections can go silent unnoticed
	pingTimeout       = time.Second           // a silent connection to a daemon is closed after twice this time
	maxDeadlineMargin = 20 * time.Millisecond // time for the response of the next hop to arrive before the deadline
	maxClaimWait      = 3 * time.Second       // longer than a leader election of the controllers
)

// Result describes how an attempt ended.
type Result int

// Results of an attempt.
const (
	// Success is a complete response of the upstream that is not a server error.
	Success Result = iota
	// Failed is a server error, or a failure after the call may have been sent.
	Failed
	// Overloaded is a 503 or 429 response of the upstream itself.
	Overloaded
	// Timeout is a deadline that passed after the call may have been sent.
	Timeout
	// Canceled is a call whose caller disconnected.
	Canceled
	// OverBudget is a retry that was refused because the retry budget is spent. The member may have room for other calls.
	OverBudget
	// Refused is a call that was refused before it ran, or a slot that was acquired but not used.
	Refused
	// Unreachable is a failure to connect.
	Unreachable
)

// failureResult returns the result of an attempt that failed after the call may have been sent.
func failureResult(ctx context.Context) Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Timeout
	case ctx.Err() != nil:
		return Canceled
	}
	return Failed
}

// Outcome describes the end of an attempt. It is reported to the router and to the limiter.
type Outcome struct {
	Result  Result
	Latency time.Duration
	Load    int // load that the member reported; -1 if unknown
}

// Forwarder serves the egress and the ingress side of calls.
type Forwarder struct {
	snapshot func() *compiler.Snapshot
	pick     func(service string, skip []string) (wire.Member, func(Outcome), error)
	acquire  func(ctx context.Context, class string) (func(Outcome), error)
	load     func() int
	upstream func() (wire.Upstream, bool)
	claim    func(context.Context, wire.Claim) (wire.Verdict, error)
	release  func(wire.Claim)
	finish   func(wire.Claim)
	budget   Budget
	dial     dialFunc
	dialPeer dialFunc
	metrics  *metrics.Set
	account  *accountant.Account

	authorizer   *authorizer.Authorizer
	tenantHeader string           // name of the header that tells the upstream the tenant
	takeToken    spender.TakeFunc // nil without quotas

	peerTransport   *inspector.Transport
	streamTransport *inspector.Transport
	pool            currentPool
	budgets         retryBudgets
	inFlight        callTracker
	stopBy          atomic.Pointer[time.Time] // when a planned stop ends; nil if none has begun
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithSnapshot sets the function that returns the configuration snapshot in effect, or nil before there is one.
func WithSnapshot(snapshot func() *compiler.Snapshot) Option {
	return func(f *Forwarder) { f.snapshot = snapshot }
}

// WithPick sets the function that selects a member other than those in skip. The returned function is called once, when
// the attempt has ended.
func WithPick(pick func(service string, skip []string) (wire.Member, func(Outcome), error)) Option {
	return func(f *Forwarder) { f.pick = pick }
}

// WithAcquire sets the function that acquires a concurrency slot. The returned function releases the slot and is called
// once.
func WithAcquire(acquire func(ctx context.Context, class string) (func(Outcome), error)) Option {
	return func(f *Forwarder) { f.acquire = acquire }
}

// WithLoad sets the function that returns the load that responses report.
func WithLoad(load func() int) Option {
	return func(f *Forwarder) { f.load = load }
}

// WithUpstream sets the function that returns the announced local upstream, if there is one.
func WithUpstream(upstream func() (wire.Upstream, bool)) Option {
	return func(f *Forwarder) { f.upstream = upstream }
}

// WithClaim sets the function that requests a claim. It returns an error if there is no verdict before the context
// ends.
func WithClaim(claim func(context.Context, wire.Claim) (wire.Verdict, error)) Option {
	return func(f *Forwarder) { f.claim = claim }
}

// WithRelease sets the function that releases a claim whose call was not sent. It must not block.
func WithRelease(release func(wire.Claim)) Option {
	return func(f *Forwarder) { f.release = release }
}

// WithFinish sets the function that stores the response of a claimed call. It must not block.
func WithFinish(finish func(wire.Claim)) Option {
	return func(f *Forwarder) { f.finish = finish }
}

// Budget is the retry budget of all daemons together.
type Budget struct {
	// StartNestedCall counts a call that a run makes and returns the kind of its first arrival, or an error if it must not be sent.
	StartNestedCall func(parentID string, ofRetry bool, service string) (budgeter.Kind, error)
	// Check returns an error if Begin would refuse the arrival of a call at the local upstream.
	Check func(budgeter.Arrival) error
	// Begin admits the arrival of a call that is about to be sent to the local upstream. The returned function must be called at
	// the end of the run and takes whether the call was sent.
	Begin func(budgeter.Arrival) (end func(sent bool), err error)
}

// WithBudget sets the retry budget. Without it, all retries are admitted.
func WithBudget(budget Budget) Option {
	return func(f *Forwarder) { f.budget = budget }
}

// WithAuthorizer sets the authorizer. Without it, keys need no proof.
func WithAuthorizer(a *authorizer.Authorizer) Option {
	return func(f *Forwarder) { f.authorizer = a }
}

// WithQuota sets the function that takes a token for an attempt of a tenant with a limit. The function that it returns takes
// whether the attempt may have reached an upstream. Without quotas it is nil.
func WithQuota(takeToken spender.TakeFunc) Option {
	return func(f *Forwarder) { f.takeToken = takeToken }
}

// WithHeaderNames sets the header names, of which service calls use only that of the tenant.
func WithHeaderNames(names courier.HeaderNames) Option {
	return func(f *Forwarder) { f.tenantHeader = names.Tenant }
}

// WithDial replaces the dialers for connections to other daemons and to the upstream.
func WithDial(dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) Option {
	return func(f *Forwarder) { f.dial, f.dialPeer = dial, dial }
}

// WithDialPeer replaces the dialer for buffered calls to other daemons.
func WithDialPeer(dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) Option {
	return func(f *Forwarder) { f.dialPeer = dial }
}

// WithMetrics sets the metrics set. The default is the global set.
func WithMetrics(set *metrics.Set) Option {
	return func(f *Forwarder) { f.metrics = set }
}

// WithAccount sets the account of the memory that calls occupy. The default is not limited.
func WithAccount(account *accountant.Account) Option {
	return func(f *Forwarder) { f.account = account }
}

// New returns a Forwarder. Without WithSnapshot, WithPick, WithAcquire, WithUpstream or WithClaim, it refuses the calls
// that need the missing function.
func New(opts ...Option) *Forwarder {
	f := &Forwarder{
		snapshot: func() *compiler.Snapshot { return nil },
		pick: func(string, []string) (wire.Member, func(Outcome), error) {
			return wire.Member{}, nil, errors.New("no members")
		},
		acquire:  func(context.Context, string) (func(Outcome), error) { return nil, errors.New("no slots") },
		load:     func() int { return 0 },
		upstream: func() (wire.Upstream, bool) { return wire.Upstream{}, false },
		claim: func(context.Context, wire.Claim) (wire.Verdict, error) {
			return wire.Verdict{}, errors.New("no session")
		},
		release: func(wire.Claim) {},
		finish:  func(wire.Claim) {},
		budget: Budget{
			StartNestedCall: func(string, bool, string) (budgeter.Kind, error) { return budgeter.First, nil },
			Check:           func(budgeter.Arrival) error { return nil },
			Begin:           func(budgeter.Arrival) (func(bool), error) { return func(bool) {}, nil },
		},
		dial:     dialTCP,
		dialPeer: connector.New(connector.WithUserTimeout(connector.UserTimeout)).Dial,
		metrics:  metrics.GetDefaultSet(),

		tenantHeader: courier.DefaultHeaderNames().Tenant,
		account:      accountant.New(),
	}
	for _, opt := range opts {
		opt(f)
	}
	if f.authorizer == nil {
		f.authorizer = authorizer.New(authorizer.WithSnapshot(f.snapshot))
	}
	f.peerTransport = f.newPeerTransport()
	f.streamTransport = f.newStreamTransport()
	f.pool.dial = f.dial
	return f
}

// Egress returns the handler for calls from callers.
func (f *Forwarder) Egress() http.Handler {
	return http.HandlerFunc(f.serveEgress)
}

// Ingress returns the handler for calls from other daemons.
func (f *Forwarder) Ingress() http.Handler {
	return http.HandlerFunc(f.serveIngress)
}

// StopBy makes the egress side refuse calls that may last beyond the given time, because the process ends then.
func (f *Forwarder) StopBy(end time.Time) {
	f.stopBy.Store(&end)
}

// outlastsStop reports whether a call may last beyond the end of a planned stop. A call that a run makes belongs to a call in
// progress, which a refusal would fail for certain.
func (f *Forwarder) outlastsStop(deadline time.Time, h http.Header) bool {
	end := f.stopBy.Load()
	return end != nil && deadline.After(*end) && h.Get(HeaderAttempt) == ""
}

// Drain makes the ingress side refuse new calls and waits until the calls in flight have ended.
func (f *Forwarder) Drain(ctx context.Context) error {
	return f.inFlight.drain(ctx)
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.peerTransport.CloseIdleConnections()
	f.streamTransport.CloseIdleConnections()
	f.pool.close()
}
