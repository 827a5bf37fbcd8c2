// Package runner assembles the components of a daemon and runs them.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"bluebellhoist/core/accountant"
	"bluebellhoist/core/carrier"
	"bluebellhoist/core/chronometer"
	"bluebellhoist/core/connector"
	"bluebellhoist/core/exchanger"
	"bluebellhoist/core/gossiper"
	"bluebellhoist/core/watcher"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/announcer"
	"bluebellhoist/daemon/authorizer"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/claimer"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/dispatcher"
	"bluebellhoist/daemon/forwarder"
	"bluebellhoist/daemon/limiter"
	"bluebellhoist/daemon/pipeliner"
	"bluebellhoist/daemon/router"
	"bluebellhoist/daemon/spender"
	"bluebellhoist/daemon/subscriber"
	"bluebellhoist/daemon/tallier"
)

// peerDialTimeout bounds connecting to another daemon for routed calls. Even between regions that takes only a few
// milliseconds, while a VM that has lost power never refuses the connection.
const peerDialTimeout = 300 * time.Millisecond

// defaultUpstreamConns is the number of connections to an upstream if neither its reports nor the configuration state it.
const defaultUpstreamConns = 64

// missedReportLimit is the number of consecutive missed reports after which the upstream is considered gone.
const missedReportLimit = 5

// Runner is a daemon.
//
// It carries two kinds of calls: service calls, in which the caller names the service (forwarder), and routed calls, whose
// service follows from the routes of the configuration (pipeliner, dispatcher and deliverer).
type Runner struct {
	settings      atomic.Pointer[Settings]
	log           hclog.Logger
	names         courier.HeaderNames
	subscriber    *subscriber.Subscriber
	authorizer    *authorizer.Authorizer
	claimer       *claimer.Claimer
	exchanger     *exchanger.Exchanger
	gossiper      *gossiper.Gossiper
	announcer     *announcer.Announcer
	limiter       *limiter.Limiter
	router        *router.Router
	forwarder     *forwarder.Forwarder
	budgeter      *budgeter.Budgeter
	tallier       *tallier.Tallier
	deliverer     *deliverer.Deliverer
	dispatcher    *dispatcher.Dispatcher
	pipeliner     *pipeliner.Server
	spender       *spender.Spender // nil without quotas
	carrier       *carrier.Carrier // nil without quotas
	account       *accountant.Account
	connections   connectionLimits
	watcher       *watcher.Watcher // nil without a settings file
	upstreamStart atomic.Int64     // announced start time of the local upstream, in milliseconds since the Unix epoch
	recovered     chan struct{}    // closed once the departures of the upstreams on this VM are known
	stopping      atomic.Bool
	refusingCalls atomic.Bool  // set when routed calls are refused because the daemon is about to exit
	inFlightCalls atomic.Int64 // routed calls of callers in flight
	lastCallStart atomic.Int64 // start of the last accepted routed call, in nanoseconds since the Unix epoch
	endpoints     []endpoint
}

// Option configures a Runner.
type Option func(*Runner)

// WithHeaderNames sets the header names of routed calls.
func WithHeaderNames(names courier.HeaderNames) Option {
	return func(r *Runner) { r.names = names }
}

// WithFile makes the daemon reload its settings file, decoded by parse, whenever the file changes.
func WithFile(path string, parse func(data []byte) (Settings, error)) Option {
	return func(r *Runner) {
		r.watcher = watcher.New(path, watcher.WithLogger(r.log.Named("watcher")), watcher.WithChanged(watcher.Parsed(parse, r.reload)))
	}
}

// New returns a daemon that Run starts. It opens the gossip socket.
func New(s Settings, log hclog.Logger, opts ...Option) (*Runner, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	if _, err := chronometer.Now(); err != nil && s.Quota.Enabled() {
		return nil, fmt.Errorf("quotas need a clock that does not stop while the VM is suspended: %w", err)
	}
	r := &Runner{log: log, names: courier.DefaultHeaderNames(), recovered: make(chan struct{})}
	for _, opt := range opts {
		opt(r)
	}
	r.settings.Store(&s)
	self := wire.Member{Name: s.Name, Domain: s.Domain, Addr: s.Peers, State: wire.Alive}
	sockets := exchanger.SocketConfig{Bind: s.bind(), Dial: connector.New(connector.WithSource(s.Bind.Addr())).DialContext}
	var err error
	if r.exchanger, r.gossiper, err = exchanger.Join(self, sockets, s.Seeds, log, gossiper.WithDeparted(r.restoreDeparture)); err != nil {
		return nil, err
	}
	r.buildComponents(s)
	return r, nil
}

// reload applies changed settings. Changed addresses and names take effect only after a restart.
func (r *Runner) reload(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	r.settings.Store(&s)
	r.gossiper.SetSeeds(s.Seeds)
	r.log.Info("settings reloaded", "service", s.Service, "seeds", s.Seeds, "budget", s.Budget)
	return nil
}

// Ready reports whether callers may send calls: the daemon has a snapshot and is not stopping.
func (r *Runner) Ready() bool {
	return r.subscriber.Snapshot() != nil && !r.stopping.Load()
}

// needsProofs reports whether calls with a key need a proof that the configuration in force is current.
func (r *Runner) needsProofs() bool {
	return r.settings.Load().Revoke > 0
}

// isProven reports whether the configuration in force is proven to have been current within the revoke time.
func (r *Runner) isProven() bool {
	age, ok := r.subscriber.ProofAge()
	return ok && age < time.Duration(r.settings.Load().Revoke)
}

// Report applies a status report of the local upstream. If the report does not state how many connections the upstream
// accepts, the number from the configuration is used.
func (r *Runner) Report(ctx context.Context, report announcer.Report) error {
	if report.Upstream.Conns == 0 {
		report.Upstream.Conns = r.upstreamConns(report.Upstream.Service)
	}
	return r.announcer.Report(ctx, report)
}

// hasService reports whether the configuration in force has a service.
func (r *Runner) hasService(name string) bool {
	inEffect := r.subscriber.Snapshot()
	if inEffect == nil {
		return false
	}
	_, ok := inEffect.Service(name)
	return ok
}

// upstreamConns returns how many connections an upstream of the service accepts.
func (r *Runner) upstreamConns(service string) int {
	if inEffect := r.subscriber.Snapshot(); inEffect != nil {
		if s, ok := inEffect.Service(service); ok && s.Conns > 0 {
			return s.Conns
		}
	}
	return defaultUpstreamConns
}

// handleRouted answers one routed call and counts it while it is in flight.
func (r *Runner) handleRouted(ctx context.Context, request *courier.Request) *courier.Answer {
	// Counting first ensures that awaitIdle counts this call, or that this call sees refusingCalls.
	r.inFlightCalls.Add(1)
	defer r.inFlightCalls.Add(-1)
	if r.refusingCalls.Load() {
		return r.dispatcher.Refuse("the daemon is stopping")
	}
	r.lastCallStart.Store(time.Now().UnixNano())
	return r.dispatcher.Handle(ctx, request)
}

// callerBounds returns the configured limits for callers of routed calls, or false if there are none.
func (r *Runner) callerBounds() (pipeliner.Bounds, bool) {
	inEffect := r.subscriber.Snapshot()
	if inEffect == nil || inEffect.Batch().Bounds == nil {
		return pipeliner.Bounds{}, false
	}
	b := inEffect.Batch().Bounds
	return pipeliner.Bounds{MaxHeaderBytes: b.Header, MaxBodyBytes: int64(b.Body), HeaderTimeout: b.Wait, IdleTimeout: b.Idle}, true
}

// Run runs the daemon until ctx ends or the process gets SIGTERM or SIGINT. It then performs a planned stop.
func (r *Runner) Run(ctx context.Context) error {
	s := *r.settings.Load()
	// The components must outlive ctx: they run until the planned stop is complete.
	componentsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	var group run.Group
	components := []func(context.Context) error{
		r.subscriber.Run, r.claimer.Run, r.gossiper.Run, r.exchanger.Run, r.announcer.Run, r.deliverer.Run, r.dispatcher.Run,
		r.tallier.Run, r.recoverDepartures,
	}
	if r.carrier != nil {
		components = append(components, r.carrier.Run)
	}
	if r.watcher != nil {
		components = append(components, r.watcher.Run)
	}
	for _, component := range components {
		group.Add(func() error { return component(componentsCtx) }, func(error) { cancel() })
	}
	servers, err := r.addServers(componentsCtx, &group, s)
	if err != nil {
		return err
	}
	if s.Routes.IsValid() {
		listener, err := net.Listen("tcp", s.Routes.String())
		if err != nil {
			return err
		}
		group.Add(func() error { return r.pipeliner.Serve(componentsCtx, listener) }, func(error) { cancel() })
	}
	group.Add(func() error {
		<-signals.Done()
		return r.stop(servers...)
	}, func(error) { stop() })
	r.log.Info("serving", "calls", s.Calls, "routes", s.Routes, "peers", s.Peers, "local", s.Local)
	err = group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
