// Package forwarder carries calls from callers to other daemons and from other daemons to the local upstream.
package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/connector"
	"bluebellhoist/core/wire"
)

// Values of HeaderOutcome.
const (
	NotRun  = "not-run" // the call never reached an upstream
	Unknown = "unknown" // the call may have run
)

const (
	maxDepth    = compiler.MaxDepth // a longer chain of calls cannot follow the dependencies
	maxAttempts = 3                 // members that one call is sent to
	maxBuffer   = 64 << 10          // bodies and answers up to this size are buffered
	maxOnceBody = 1 << 20           // bodies of once calls are held in memory for their digest
	maxStored   = 1 << 10           // answers up to this size are stored with the claim

	dialTimeout = time.Second           // a connection takes a few milliseconds even between regions
	idleTimeout = 15 * time.Second      // limits the connections that can go silent while idle
	pingTimeout = time.Second           // a silent connection to a daemon is closed after two of these
	maxGrace    = 20 * time.Millisecond // kept back so that an answer of the next hop arrives before the deadline
	maxClaim    = 3 * time.Second       // outlasts an election of the controllers
)

// Result tells how an attempt ended.
type Result int

// Results of an attempt.
const (
	// Success is a whole answer of the upstream that is no server error.
	Success Result = iota
	// Failed is a server error, or a failure after the call may have been sent.
	Failed
	// Shed is a 503 or 429 by the upstream itself.
	Shed
	// Timeout is a deadline that passed after the call may have been sent.
	Timeout
	// Canceled is a caller that went away.
	Canceled
	// Refused is a rejection as not run, or a slot that was not used.
	Refused
	// Unreachable is a failed connect.
	Unreachable
)

// failure returns the result of an attempt that failed after it may have been sent.
func failure(ctx context.Context) Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Timeout
	case ctx.Err() != nil:
		return Canceled
	}
	return Failed
}

// Outcome describes the end of an attempt to the picker and to the limiter.
type Outcome struct {
	Result  Result
	Latency time.Duration
	Load    int // load that the member reported, or -1
}

// Forwarder serves the two sides of the path of a call.
type Forwarder struct {
	snapshot func() *compiler.Snapshot
	pick     func(service string, skip []string) (wire.Member, func(Outcome), error)
	acquire  func(ctx context.Context, class string) (func(Outcome), error)
	load     func() int
	upstream func() (wire.Upstream, bool)
	claim    func(context.Context, wire.Claim) (wire.Verdict, error)
	release  func(wire.Claim)
	finish   func(wire.Claim)
	dial     dialFunc
	dialPeer dialFunc
	set      *metrics.Set

	peers   *http.Transport
	streams *http.Transport
	pools   pools
	budgets budgets
	gate    gate
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithSnapshot sets the source of the snapshot in effect, which is nil before the first.
func WithSnapshot(snapshot func() *compiler.Snapshot) Option {
	return func(f *Forwarder) { f.snapshot = snapshot }
}

// WithPick sets the selection of a member. The returned function is called once when the attempt has ended.
func WithPick(pick func(service string, skip []string) (wire.Member, func(Outcome), error)) Option {
	return func(f *Forwarder) { f.pick = pick }
}

// WithAcquire sets how a slot is taken. The returned function gives it back and is called once.
func WithAcquire(acquire func(ctx context.Context, class string) (func(Outcome), error)) Option {
	return func(f *Forwarder) { f.acquire = acquire }
}

// WithLoad sets the source of the load that answers report.
func WithLoad(load func() int) Option {
	return func(f *Forwarder) { f.load = load }
}

// WithUpstream sets the source of the local upstream's announcement.
func WithUpstream(upstream func() (wire.Upstream, bool)) Option {
	return func(f *Forwarder) { f.upstream = upstream }
}

// WithClaim sets the request of a claim, which returns an error if it is not answered before the context ends.
func WithClaim(claim func(context.Context, wire.Claim) (wire.Verdict, error)) Option {
	return func(f *Forwarder) { f.claim = claim }
}

// WithRelease sets how a claim is given up. It must not block.
func WithRelease(release func(wire.Claim)) Option {
	return func(f *Forwarder) { f.release = release }
}

// WithFinish sets how the answer of a claimed call is stored. It must not block.
func WithFinish(finish func(wire.Claim)) Option {
	return func(f *Forwarder) { f.finish = finish }
}

// WithDial replaces the TCP dialers to other daemons and to the upstream.
func WithDial(dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) Option {
	return func(f *Forwarder) { f.dial, f.dialPeer = dial, dial }
}

// WithDialPeer replaces the TCP dialer to other daemons.
func WithDialPeer(dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) Option {
	return func(f *Forwarder) { f.dialPeer = dial }
}

// WithMetrics sets the set that receives the metrics.
func WithMetrics(set *metrics.Set) Option {
	return func(f *Forwarder) { f.set = set }
}

// New returns a Forwarder. Seams that are not set refuse every call.
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
		release:  func(wire.Claim) {},
		finish:   func(wire.Claim) {},
		dial:     dialTCP,
		dialPeer: connector.New(connector.WithSilence(connector.SilenceLimit)).Dial,
		set:      metrics.GetDefaultSet(),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.peers = f.newPeerTransport()
	f.streams = f.newStreamTransport()
	f.pools.dial = f.dial
	return f
}

// Egress returns the handler for callers.
func (f *Forwarder) Egress() http.Handler {
	return http.HandlerFunc(f.serveEgress)
}

// Ingress returns the handler for other daemons.
func (f *Forwarder) Ingress() http.Handler {
	return http.HandlerFunc(f.serveIngress)
}

// Drain makes the ingress side refuse new calls and waits until the calls in progress have ended.
func (f *Forwarder) Drain(ctx context.Context) error {
	return f.gate.drain(ctx)
}

// Close closes the idle connections.
func (f *Forwarder) Close() {
	f.peers.CloseIdleConnections()
	f.streams.CloseIdleConnections()
	f.pools.close()
}
