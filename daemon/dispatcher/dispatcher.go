// Package dispatcher handles calls on routes: it selects the route, the service and a member, sends the call to the
// member and decides whether to retry it.
package dispatcher

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/authorizer"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/spender"
)

const (
	// defaultTimeout bounds a call if neither its route nor its caller sets a limit.
	defaultTimeout = time.Minute
	// peerGrace is how long the dispatcher waits after the deadline for the answer of another daemon. It exceeds
	// deliverer.answerGrace, so that the other daemon can still report the result.
	peerGrace = 200 * time.Millisecond
	// maxMembersPerCall bounds the members that are attempted for one call, including those that refuse it before it
	// reaches an upstream.
	maxMembersPerCall = 4
	// maxOverBudget is the number of members without retry budget after which a retry is given up. The members of a service
	// mostly run out of it together.
	maxOverBudget = 2
)

// Dispatcher handles calls on routes. Its methods may be called concurrently.
type Dispatcher struct {
	snapshot      func() *compiler.Snapshot
	configSource  func() (controller string, newest uint64)
	pick          func(service string, skip []string) (wire.Member, func(Outcome), error)
	deliverLocal  func(context.Context, deliverer.Call) deliverer.Result
	self          string
	domain        string
	callerService func() string
	startCall     func(id, service string) (budgeter.Kind, error)
	authorizer    *authorizer.Authorizer
	takeToken     spender.TakeFunc // nil without quotas
	peers         *courier.Client
	names         courier.HeaderNames
	log           hclog.Logger

	startedAt             time.Time
	waitingCalls          atomic.Int64  // calls that wait for the configuration or a member after startup
	splitters             sync.Map      // *splitter by route name
	timeoutTrackers       sync.Map      // *timeoutTracker by route name
	firstAttemptSuccesses atomic.Uint64 // calls that succeeded at the first attempt
}

// Outcome describes how an attempt ended. It is passed to the function that the pick function returned.
type Outcome struct {
	Result  Result
	Latency time.Duration
	Load    int // load reported by the member, or -1
}

// Result tells how an attempt ended.
type Result int

// Results of an attempt.
const (
	OK          Result = iota // the upstream answered with a status below 500
	Failed                    // the upstream answered with a 5xx status, or the result of the call is unknown
	Refused                   // the member refused the call without running it
	OverBudget                // the member refused a retry because the retry budget is spent; it may have room for other calls
	Unreachable               // the connection could not be established
	Canceled                  // the caller canceled the call
)

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithSnapshot sets the source of the configuration.
func WithSnapshot(snapshot func() *compiler.Snapshot) Option {
	return func(d *Dispatcher) { d.snapshot = snapshot }
}

// WithConfigSource sets the function that returns the controller from which the configuration comes, or "" without a session, and
// the newest version that the daemon has heard of. Both are logged with refusals.
func WithConfigSource(source func() (controller string, newest uint64)) Option {
	return func(d *Dispatcher) { d.configSource = source }
}

// WithPick sets the function that selects a member of a service, other than those in skip. The returned function takes
// the outcome of the attempt.
func WithPick(pick func(service string, skip []string) (wire.Member, func(Outcome), error)) Option {
	return func(d *Dispatcher) { d.pick = pick }
}

// WithLocalDelivery sets the name of this daemon's member and the function that delivers calls to its upstream.
func WithLocalDelivery(self string, deliverLocal func(context.Context, deliverer.Call) deliverer.Result) Option {
	return func(d *Dispatcher) { d.self, d.deliverLocal = self, deliverLocal }
}

// WithDomain sets the failure domain of this daemon, for metrics of calls that leave it.
func WithDomain(domain string) Option {
	return func(d *Dispatcher) { d.domain = domain }
}

// WithCallerService sets the source of the name of the service on this VM, which is sent to upstreams as the caller.
func WithCallerService(callerService func() string) Option {
	return func(d *Dispatcher) { d.callerService = callerService }
}

// WithStartCall sets the function that counts a call to a service and returns the kind of its first arrival, or an error if the
// retry budget forbids it.
func WithStartCall(startCall func(id, service string) (budgeter.Kind, error)) Option {
	return func(d *Dispatcher) { d.startCall = startCall }
}

// WithAuthorizer sets the authorizer. Without it, keys need no proof.
func WithAuthorizer(a *authorizer.Authorizer) Option {
	return func(d *Dispatcher) { d.authorizer = a }
}

// WithQuota sets the function that takes a token for a call of a tenant with a limit. The function that it returns takes whether
// the call was sent to an upstream. Without quotas it is nil.
func WithQuota(takeToken spender.TakeFunc) Option {
	return func(d *Dispatcher) { d.takeToken = takeToken }
}

// WithDial sets the function that opens connections to other daemons, and its timeout.
func WithDial(dial func(context.Context, netip.AddrPort) (net.Conn, error), timeout time.Duration) Option {
	return func(d *Dispatcher) { d.peers = courier.New(courier.WithDial(dial, timeout)) }
}

// WithHeaderNames sets the header names.
func WithHeaderNames(names courier.HeaderNames) Option {
	return func(d *Dispatcher) { d.names = names }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(d *Dispatcher) { d.log = log }
}

// New returns a dispatcher. WithSnapshot, WithPick and WithLocalDelivery are required.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{
		startedAt:     time.Now(),
		callerService: func() string { return "" },
		configSource:  func() (string, uint64) { return "", 0 },
		startCall:     func(string, string) (budgeter.Kind, error) { return budgeter.First, nil },
		peers:         courier.New(),
		names:         courier.DefaultHeaderNames(),
		log:           hclog.NewNullLogger(),
	}
	for _, opt := range opts {
		opt(d)
	}
	if d.authorizer == nil {
		d.authorizer = authorizer.New(authorizer.WithSnapshot(d.snapshot))
	}
	return d
}

// Run maintains the connections to other daemons until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	return d.peers.Run(ctx)
}

// Handle answers one call. The context must end when the caller disconnects.
func (d *Dispatcher) Handle(ctx context.Context, request *courier.Request) *courier.Answer {
	started := time.Now()
	d.waitForStartup(ctx, started, d.callerTimeout(request.Header, defaultCallerTimeout), func() bool { return d.canJudge(request) })
	c, refusal := d.admit(request, started)
	if refusal != nil {
		version, revision := d.configVersion()
		controller, newest := d.configSource()
		d.log.Info("call refused", "id", request.Header.Get(d.names.Attempt), "host", request.Host, "target", request.Target,
			"status", refusal.Status, "reason", strings.TrimSpace(string(refusal.Body)), "version", version, "revision", revision,
			"newest", newest, "controller", controller)
		return refusal
	}
	answer := c.run(ctx)
	c.finish(ctx, answer, time.Since(started))
	return answer
}

// canJudge reports whether the configuration is known, and proven to be current if the call has a key.
func (d *Dispatcher) canJudge(request *courier.Request) bool {
	return d.snapshot() != nil && (!authorizer.HasKey(request.Header.Values(authorizer.HeaderKey)) || d.authorizer.Ready())
}

// configVersion returns the version and the operator's revision of the configuration in force, or zeros without one.
func (d *Dispatcher) configVersion() (version, revision uint64) {
	snapshot := d.snapshot()
	if snapshot == nil {
		return 0, 0
	}
	return snapshot.Version(), snapshot.Batch().Revision
}

// restartTime is the approximate time in which a daemon restarts after a planned stop and gets the configuration.
const restartTime = time.Second

// Refuse returns the answer to a call that is refused because the daemon is stopping.
func (d *Dispatcher) Refuse(reason string) *courier.Answer {
	return d.errorResponse(http.StatusServiceUnavailable, deliverer.NotRun, reason, restartTime)
}

// admit selects the route and the service of a call, or returns the answer that refuses it.
func (d *Dispatcher) admit(request *courier.Request, arrival time.Time) (*call, *courier.Answer) {
	snapshot := d.snapshot()
	switch {
	case snapshot == nil:
		retryAfter := restartTime
		if d.starting(arrival) {
			retryAfter = startupRetryAfter
		}
		return nil, d.errorResponse(http.StatusServiceUnavailable, deliverer.NotRun, "no configuration yet", retryAfter)
	case !snapshot.InForce(arrival):
		return nil, d.errorResponse(http.StatusGone, deliverer.NotRun, "batch "+snapshot.Batch().Name+" has expired", 0)
	}
	route, ok := snapshot.Route(hostName(request.Host), request.Path())
	if !ok {
		return nil, d.errorResponse(http.StatusNotFound, deliverer.NotRun, "no route", 0)
	}
	c := &call{
		d: d, route: route, request: request, id: request.Header.Get(d.names.Attempt), started: arrival, version: snapshot.Version(),
	}
	if err := c.authorize(); err != nil {
		return nil, d.unauthorized(err)
	}
	c.service = d.splitter(route).next()
	c.deadline, c.callerTimeout = d.deadline(request.Header, route, arrival)
	c.priorWait = d.priorWait(route, c.callerTimeout)
	d.prepare(request.Header)
	return c, nil
}

// hostName returns a host without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// deadline returns the deadline of a call, which is the earlier of those of its caller and its route, and the caller
// timeout.
func (d *Dispatcher) deadline(h http.Header, route *wire.Route, arrival time.Time) (time.Time, time.Duration) {
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	callerTimeout := d.callerTimeout(h, limit)
	return arrival.Add(min(limit, callerTimeout)), callerTimeout
}

// callerTimeout returns how long the caller waits according to the deadline header, or fallback without one.
func (d *Dispatcher) callerTimeout(h http.Header, fallback time.Duration) time.Duration {
	if ms, err := strconv.ParseFloat(h.Get(d.names.Deadline), 64); err == nil && ms >= 0 {
		return time.Duration(ms * float64(time.Millisecond))
	}
	return fallback
}

// prepare removes the headers that only daemons may set from a caller's request and sets the caller for the upstream.
func (d *Dispatcher) prepare(h http.Header) {
	courier.RemoveDaemonHeaders(h)
	for _, name := range []string{d.names.Deadline, d.names.Target, d.names.Caller, d.names.NotRun, d.names.Tenant} {
		h.Del(name)
	}
	if caller := d.callerService(); caller != "" && d.names.Caller != "" {
		h.Set(d.names.Caller, caller)
	}
}

// errorResponse returns an answer by the daemon itself. A positive retryAfter tells the caller when to retry.
func (d *Dispatcher) errorResponse(status int, outcome deliverer.Outcome, reason string, retryAfter time.Duration) *courier.Answer {
	h := http.Header{"Content-Type": {"text/plain"}, courier.HeaderOutcome: {string(outcome)}}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return &courier.Answer{Status: status, Header: h, Body: []byte(reason + "\n")}
}
