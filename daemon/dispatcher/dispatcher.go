// Package dispatcher takes calls of callers on routes: it selects the route, the service and the member, sends the call
// there and decides whether it is sent again.
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
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
)

const (
	// defaultTimeout bounds a call whose route and caller name no limit.
	defaultTimeout = time.Minute
	// peerGrace is how long an answer of another daemon is waited for after the deadline. It exceeds the time that the
	// other daemon waits for its upstream.
	peerGrace = 200 * time.Millisecond
	// maxTries bounds the members that are asked for one call, with those that refuse it before it reaches an upstream.
	maxTries = 4
)

// Dispatcher answers calls on routes. Its methods may be called concurrently.
type Dispatcher struct {
	snapshot func() *compiler.Snapshot
	pick     func(service string, skip []string) (wire.Member, func(Outcome), error)
	local    func(context.Context, deliverer.Order) deliverer.Result
	self     string
	domain   string
	caller   func() string
	count    func(service string)
	take     func(service string) bool
	peers    *courier.Client
	names    courier.Names
	log      hclog.Logger

	born      time.Time
	held      atomic.Int64  // calls that wait for the configuration or a member after the start
	shares    sync.Map      // of *share by name of the route
	patiences sync.Map      // of *patience by name of the route
	good      atomic.Uint64 // calls that went well at the first attempt
}

// Outcome describes the end of an attempt to the picker.
type Outcome struct {
	Kind    Kind
	Latency time.Duration
	Load    int // load that the member reported, or -1
}

// Kind tells how an attempt ended.
type Kind int

// Kinds of an outcome.
const (
	OK          Kind = iota // the upstream answered
	Failed                  // the upstream failed, or nothing is known about the call
	Rejected                // the member refused the call as not run
	Unreachable             // the connect failed
	Canceled                // the caller went away
)

// Option sets up a Dispatcher.
type Option func(*Dispatcher)

// WithSnapshot sets the source of the configuration.
func WithSnapshot(snapshot func() *compiler.Snapshot) Option {
	return func(d *Dispatcher) { d.snapshot = snapshot }
}

// WithPick sets the function that selects a member of a service and takes the outcome of the call.
func WithPick(pick func(service string, skip []string) (wire.Member, func(Outcome), error)) Option {
	return func(d *Dispatcher) { d.pick = pick }
}

// WithLocal sets the name of the own member and the function that brings calls to its upstream.
func WithLocal(self string, local func(context.Context, deliverer.Order) deliverer.Result) Option {
	return func(d *Dispatcher) { d.self, d.local = self, local }
}

// WithDomain sets the own failure domain, for metrics of calls that leave it.
func WithDomain(domain string) Option {
	return func(d *Dispatcher) { d.domain = domain }
}

// WithCaller sets the source of the service on this VM, which upstreams are told.
func WithCaller(caller func() string) Option {
	return func(d *Dispatcher) { d.caller = caller }
}

// WithBudget sets the functions that count a call to a service, and that ask whether one may be sent again.
func WithBudget(count func(service string), take func(service string) bool) Option {
	return func(d *Dispatcher) { d.count, d.take = count, take }
}

// WithDial sets the function that opens connections to other daemons, and how long it may take.
func WithDial(dial func(context.Context, netip.AddrPort) (net.Conn, error), timeout time.Duration) Option {
	return func(d *Dispatcher) { d.peers = courier.New(courier.WithDial(dial, timeout)) }
}

// WithNames sets the names of headers.
func WithNames(names courier.Names) Option {
	return func(d *Dispatcher) { d.names = names }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(d *Dispatcher) { d.log = log }
}

// New returns a dispatcher. WithSnapshot, WithPick and WithLocal are required.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{
		born:   time.Now(),
		caller: func() string { return "" },
		count:  func(string) {},
		take:   func(string) bool { return false },
		peers:  courier.New(),
		names:  courier.DefaultNames(),
		log:    hclog.NewNullLogger(),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Run keeps the connections to other daemons until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	return d.peers.Run(ctx)
}

// Handle answers one call. The context ends when the caller goes away.
func (d *Dispatcher) Handle(ctx context.Context, request *courier.Request) *courier.Answer {
	started := time.Now()
	d.hold(ctx, started, d.patience(request.Header, usualPatience), func() bool { return d.snapshot() != nil })
	c, refusal := d.admit(request, started)
	if refusal != nil {
		version, revision := d.inForce()
		d.log.Info("call refused", "id", request.Header.Get(d.names.Attempt), "host", request.Host, "target", request.Target,
			"status", refusal.Status, "reason", strings.TrimSpace(string(refusal.Body)), "version", version, "revision", revision)
		return refusal
	}
	answer := c.run(ctx)
	c.report(ctx, answer, time.Since(started))
	return answer
}

// inForce returns the version and the operator's revision of the configuration, or zeros without one.
func (d *Dispatcher) inForce() (version, revision uint64) {
	snapshot := d.snapshot()
	if snapshot == nil {
		return 0, 0
	}
	return snapshot.Version(), snapshot.Batch().Revision
}

// restartTime is about how long a daemon takes to come back after a planned stop, and to get the configuration.
const restartTime = time.Second

// Refuse returns the answer to a call that is not taken because the daemon stops.
func (d *Dispatcher) Refuse(reason string) *courier.Answer {
	return d.refuse(http.StatusServiceUnavailable, deliverer.NotRun, reason, restartTime)
}

// admit selects the route and the service of a call.
func (d *Dispatcher) admit(request *courier.Request, now time.Time) (*call, *courier.Answer) {
	snapshot := d.snapshot()
	switch {
	case snapshot == nil:
		wait := restartTime
		if d.starting(now) {
			wait = startWait
		}
		return nil, d.refuse(http.StatusServiceUnavailable, deliverer.NotRun, "no configuration yet", wait)
	case !snapshot.Covers(now):
		return nil, d.refuse(http.StatusGone, deliverer.NotRun, "batch "+snapshot.Batch().Name+" has expired", 0)
	}
	route, ok := snapshot.Route(hostName(request.Host), request.Path())
	if !ok {
		return nil, d.refuse(http.StatusNotFound, deliverer.NotRun, "no route", 0)
	}
	c := &call{
		d: d, route: route, request: request, id: request.Header.Get(d.names.Attempt),
		started: now, service: d.share(route).next(), version: snapshot.Version(),
	}
	c.deadline, c.patience = d.deadline(request.Header, route, now)
	c.waited = d.waited(route, c.patience)
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

// deadline returns when a call ends, by its caller and its route, and how long the caller waits.
func (d *Dispatcher) deadline(h http.Header, route *wire.Route, now time.Time) (time.Time, time.Duration) {
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	patience := d.patience(h, limit)
	return now.Add(min(limit, patience)), patience
}

// patience returns how long the caller waits by its own word, or the given time if it does not tell.
func (d *Dispatcher) patience(h http.Header, otherwise time.Duration) time.Duration {
	if ms, err := strconv.ParseFloat(h.Get(d.names.Deadline), 64); err == nil && ms >= 0 {
		return time.Duration(ms * float64(time.Millisecond))
	}
	return otherwise
}

// prepare removes what only daemons may say from the header of a caller, and tells the upstream where the call began.
func (d *Dispatcher) prepare(h http.Header) {
	courier.RemoveOwn(h)
	for _, name := range []string{d.names.Deadline, d.names.Target, d.names.Caller, d.names.NotRun} {
		h.Del(name)
	}
	if caller := d.caller(); caller != "" && d.names.Caller != "" {
		h.Set(d.names.Caller, caller)
	}
}

// refuse returns an answer by the daemon itself. With a wait it tells the caller when to come back.
func (d *Dispatcher) refuse(status int, outcome deliverer.Outcome, reason string, wait time.Duration) *courier.Answer {
	h := http.Header{"Content-Type": {"text/plain"}, courier.HeaderOutcome: {string(outcome)}}
	if wait > 0 {
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	return &courier.Answer{Status: status, Header: h, Body: []byte(reason + "\n")}
}
