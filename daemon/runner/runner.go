// Package runner puts the parts of a daemon together and runs them.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"bluebellhoist/core/connector"
	"bluebellhoist/core/exchanger"
	"bluebellhoist/core/gossiper"
	"bluebellhoist/core/watcher"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/announcer"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/claimer"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/dispatcher"
	"bluebellhoist/daemon/forwarder"
	"bluebellhoist/daemon/limiter"
	"bluebellhoist/daemon/pipeliner"
	"bluebellhoist/daemon/router"
	"bluebellhoist/daemon/subscriber"
)

// peerDialTimeout bounds a connect to another daemon for routed calls. It takes a few milliseconds even between regions,
// and a VM without power does not refuse it.
const peerDialTimeout = 300 * time.Millisecond

// defaultConns is the number of connections to an upstream that neither itself nor the configuration tells.
const defaultConns = 64

// headerTimeout bounds the wait for the header of a request to the daemon itself.
const headerTimeout = 5 * time.Second

// beatsMissed is how many reports of the upstream may be missing before it counts as gone.
const beatsMissed = 5

// Runner is one running daemon.
type Runner struct {
	settings   atomic.Pointer[Settings]
	log        hclog.Logger
	names      courier.Names
	subscriber *subscriber.Subscriber
	claimer    *claimer.Claimer
	exchanger  *exchanger.Exchanger
	gossiper   *gossiper.Gossiper
	announcer  *announcer.Announcer
	limiter    *limiter.Limiter
	router     *router.Router
	forwarder  *forwarder.Forwarder
	budgeter   *budgeter.Budgeter
	deliverer  *deliverer.Deliverer
	dispatcher *dispatcher.Dispatcher
	pipeliner  *pipeliner.Server
	watcher    *watcher.Watcher // nil without a settings file
	since      atomic.Int64     // start of the local upstream, as announced
	stopping   atomic.Bool
	refusing   atomic.Bool  // routed calls of callers are refused, since the daemon ends soon
	calls      atomic.Int64 // routed calls of callers in progress
	lastCall   atomic.Int64 // when one began, in nanoseconds since the Unix epoch
	doors      []door
}

// door is an address with a handler in front of the daemon.
type door struct {
	addr    netip.AddrPort
	handler http.Handler
}

// Option sets up a Runner.
type Option func(*Runner)

// WithNames sets the names of the headers of routed calls.
func WithNames(names courier.Names) Option {
	return func(r *Runner) { r.names = names }
}

// WithFile makes the daemon follow changes of its settings file, which parse reads.
func WithFile(path string, parse func(data []byte) (Settings, error)) Option {
	return func(r *Runner) {
		r.watcher = watcher.New(path, watcher.WithLogger(r.log.Named("watcher")), watcher.WithChanged(func(data []byte) error {
			s, err := parse(data)
			if err != nil {
				return err
			}
			return r.update(s)
		}))
	}
}

// New returns a daemon that Run starts. It opens the socket for gossip.
func New(s Settings, log hclog.Logger, opts ...Option) (*Runner, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &Runner{log: log, names: courier.DefaultNames()}
	for _, opt := range opts {
		opt(r)
	}
	r.settings.Store(&s)
	self := wire.Member{Name: s.Name, Domain: s.Domain, Addr: s.Peers, State: wire.Alive}
	place := exchanger.Place{Bind: s.bind(), Dial: connector.New(connector.WithSource(s.Bind.Addr())).DialText}
	var err error
	if r.exchanger, r.gossiper, err = exchanger.Join(self, place, s.Seeds, log); err != nil {
		return nil, err
	}
	r.build(s)
	return r, nil
}

// Add puts a handler at a further address. It must be called before Run.
func (r *Runner) Add(addr netip.AddrPort, handler http.Handler) {
	r.doors = append(r.doors, door{addr, handler})
}

// update takes changed settings. Addresses and names stay as they were at the start.
func (r *Runner) update(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	r.settings.Store(&s)
	r.gossiper.Reseed(s.Seeds)
	r.log.Info("settings reloaded", "service", s.Service, "seeds", s.Seeds, "budget", s.Budget)
	return nil
}

// Ready reports whether callers may send calls.
func (r *Runner) Ready() bool {
	return r.subscriber.Snapshot() != nil && !r.stopping.Load()
}

// Report takes a report of the local upstream. If it does not tell how many connections the upstream takes, the
// configuration does.
func (r *Runner) Report(report announcer.Report) error {
	if report.Upstream.Conns == 0 {
		report.Upstream.Conns = r.conns(report.Upstream.Service)
	}
	return r.announcer.Report(report)
}

// conns returns how many connections an upstream of the service takes.
func (r *Runner) conns(service string) int {
	if held := r.subscriber.Snapshot(); held != nil {
		if s, ok := held.Service(service); ok && s.Conns > 0 {
			return s.Conns
		}
	}
	return defaultConns
}

func (r *Runner) build(s Settings) {
	peers := connector.New(connector.WithSource(s.Bind.Addr()), connector.WithSilence(connector.SilenceLimit))
	r.subscriber = subscriber.New(
		subscriber.WithIdentity(s.Name, s.Domain, s.Batch),
		subscriber.WithRegion(s.Region),
		subscriber.WithControllers(s.Controllers...),
		subscriber.WithDiscovery(r.controllers),
		subscriber.WithFolder(s.Data),
		subscriber.WithDial(connector.New(connector.WithSource(s.Bind.Addr())).Dial),
		subscriber.WithLogger(r.log.Named("subscriber")),
	)
	r.claimer = claimer.New(claimer.WithRequest(r.subscriber.Request))
	var slots []limiter.Option
	if s.Routes.IsValid() {
		// After a common restart the calls of all daemons arrive at once.
		slots = append(slots, limiter.WithoutSlowStart())
	}
	r.limiter = limiter.New(slots...)
	r.router = router.New(router.WithMembers(r.gossiper.Members), router.WithDomain(s.Domain))
	r.announcer = announcer.New(
		announcer.WithMemberUpdate(r.updateMember),
		announcer.WithDrain(r.drained),
		announcer.WithLifetime(lifetime(s)),
		announcer.WithLogger(r.log.Named("announcer")),
	)
	r.forwarder = forwarder.New(
		forwarder.WithSnapshot(r.subscriber.Snapshot),
		forwarder.WithPick(r.pick),
		forwarder.WithAcquire(r.acquire),
		forwarder.WithLoad(r.limiter.Load),
		forwarder.WithUpstream(r.announcer.Upstream),
		forwarder.WithClaim(r.claimer.Claim),
		forwarder.WithRelease(r.claimer.Release),
		forwarder.WithFinish(r.claimer.Finish),
		forwarder.WithDialPeer(peers.Dial),
	)
	r.buildRoutes(s, peers)
}

// buildRoutes makes the parts that carry calls on routes.
func (r *Runner) buildRoutes(s Settings, peers *connector.Connector) {
	r.budgeter = budgeter.New(
		budgeter.WithLimits(func() budgeter.Limits { return r.settings.Load().Budget.limits() }),
		budgeter.WithMembers(r.daemons),
	)
	r.deliverer = deliverer.New(
		deliverer.WithUpstream(r.announcer.Upstream),
		deliverer.WithAcquire(r.acquireRouted),
		deliverer.WithLost(r.announcer.MarkUnreachable),
		deliverer.WithLoad(r.limiter.Load),
		deliverer.WithNames(r.names),
	)
	r.dispatcher = dispatcher.New(
		dispatcher.WithSnapshot(r.subscriber.Snapshot),
		dispatcher.WithPick(r.pickRouted),
		dispatcher.WithLocal(s.Name, r.deliverer.Deliver),
		dispatcher.WithDomain(s.Domain),
		dispatcher.WithCaller(func() string { return r.settings.Load().Service }),
		dispatcher.WithBudget(r.budgeter.Count, r.budgeter.Take),
		dispatcher.WithDial(peers.Dial, peerDialTimeout),
		dispatcher.WithNames(r.names),
		dispatcher.WithLogger(r.log.Named("dispatcher")),
	)
	r.pipeliner = pipeliner.New(
		pipeliner.WithHandle(r.handle),
		pipeliner.WithBounds(r.bounds),
		pipeliner.WithLogger(r.log.Named("pipeliner")),
	)
}

func lifetime(s Settings) time.Duration {
	if s.Beat > 0 {
		return beatsMissed * time.Duration(s.Beat)
	}
	return announcer.DefaultLifetime
}

// handle answers one routed call and counts it while it is in progress.
func (r *Runner) handle(ctx context.Context, request *courier.Request) *courier.Answer {
	// The call is counted before the look, so that a stop which has seen no call refuses this one.
	r.calls.Add(1)
	defer r.calls.Add(-1)
	if r.refusing.Load() {
		return r.dispatcher.Refuse("the daemon is stopping")
	}
	r.lastCall.Store(time.Now().UnixNano())
	return r.dispatcher.Handle(ctx, request)
}

// bounds returns the limits for callers on routes.
func (r *Runner) bounds() (pipeliner.Bounds, bool) {
	held := r.subscriber.Snapshot()
	if held == nil || held.Batch().Bounds == nil {
		return pipeliner.Bounds{}, false
	}
	b := held.Batch().Bounds
	return pipeliner.Bounds{Header: b.Header, Body: int64(b.Body), Wait: b.Wait, Idle: b.Idle}, true
}

// Run runs the daemon until ctx ends or the process is told to stop.
func (r *Runner) Run(ctx context.Context) error {
	s := *r.settings.Load()
	// Parts of the daemon run on until the planned stop has ended their work.
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	var group run.Group
	all := []func(context.Context) error{
		r.subscriber.Run, r.claimer.Run, r.gossiper.Run, r.exchanger.Run, r.announcer.Run, r.deliverer.Run, r.dispatcher.Run,
	}
	if r.watcher != nil {
		all = append(all, r.watcher.Run)
	}
	for _, part := range all {
		group.Add(func() error { return part(parts) }, func(error) { cancel() })
	}
	servers, err := r.addServers(parts, &group, s)
	if err != nil {
		return err
	}
	if s.Routes.IsValid() {
		listener, err := net.Listen("tcp", s.Routes.String())
		if err != nil {
			return err
		}
		group.Add(func() error { return r.pipeliner.Serve(parts, listener) }, func(error) { cancel() })
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

// front is a server and the address it listens on.
type front struct {
	addr   netip.AddrPort
	server *http.Server
}

// addServers opens the listeners of the settings and adds their servers to the group.
func (r *Runner) addServers(parts context.Context, group *run.Group, s Settings) ([]*http.Server, error) {
	peers := r.exchanger.Handler(r.peerHandler())
	all := []front{
		{s.Calls, forwarder.NewCallServer(r.forwarder.Egress())},
		{s.bind(), forwarder.NewPeerServer(peers)},
	}
	own := []door{{s.Local, r.localHandler()}, {s.Metrics, r.metricsHandler()}}
	for _, d := range append(own, r.doors...) {
		all = append(all, front{d.addr, &http.Server{Handler: d.handler, ReadHeaderTimeout: headerTimeout}})
	}
	var servers []*http.Server
	for _, a := range all {
		if !a.addr.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", a.addr.String())
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		servers = append(servers, a.server)
		group.Add(func() error {
			if err := a.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			<-parts.Done() // a planned stop ends the group once all servers are done
			return nil
		}, func(error) { _ = a.server.Close() })
	}
	return servers, nil
}

// peerHandler serves routed calls and calls to services of other daemons.
func (r *Runner) peerHandler() http.Handler {
	ingress := r.forwarder.Ingress()
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if deliverer.Routed(request) {
			r.deliverer.ServeHTTP(w, request)
			return
		}
		ingress.ServeHTTP(w, request)
	})
}

func (r *Runner) localHandler() http.Handler {
	e := echo.New()
	r.announcer.Register(e)
	e.GET("/v1/status", r.getStatus)
	e.GET("/metrics", echo.WrapHandler(r.metricsHandler()))
	return e
}

// metricsHandler shows the metrics of the process as text.
func (r *Runner) metricsHandler() http.Handler {
	set := r.gauges()
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WritePrometheus(w, true)
	})
}
