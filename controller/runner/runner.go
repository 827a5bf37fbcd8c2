// Package runner assembles the components of a controller and runs them.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"bluebellhoist/controller/administrator"
	"bluebellhoist/controller/distributor"
	"bluebellhoist/controller/expirer"
	"bluebellhoist/controller/messenger"
	"bluebellhoist/controller/registrar"
	"bluebellhoist/controller/replicator"
	"bluebellhoist/controller/storer"
	"bluebellhoist/core/accountant"
	"bluebellhoist/core/chronometer"
	"bluebellhoist/core/connector"
	"bluebellhoist/core/exchanger"
	"bluebellhoist/core/exposer"
	"bluebellhoist/core/gatekeeper"
	"bluebellhoist/core/gossiper"
	"bluebellhoist/core/watcher"
	"bluebellhoist/core/wire"
)

const (
	// maxContactAge is the time since the last contact with a majority after which a node no longer counts as in contact, and
	// the age of the oldest change that it may lack to count as fresh.
	maxContactAge = 1200 * time.Millisecond
	// stopLimit bounds a planned stop without a configured grace. A stop cuts off no calls, since none pass through a
	// controller.
	stopLimit = 10 * time.Second
	// exitReserve is the part of the configured grace that is reserved for the exit of the process.
	exitReserve = 500 * time.Millisecond
	// handOverLimit bounds the wait until other controllers have taken over the leadership and the vote. An election may come in
	// between, and a successor that has just started may first have to receive the state.
	handOverLimit = 3 * time.Second
	// leaveLimit bounds the wait until other gossip members have confirmed the leave.
	leaveLimit = time.Second
)

// Runner is one controller: a node of the replicated log and, if gossip is enabled, a member of the gossip membership.
type Runner struct {
	settings      Settings
	log           hclog.Logger
	account       *accountant.Account
	mainGate      *gatekeeper.Gate
	store         *storer.Storer
	registrar     *registrar.Registrar
	send          func(netip.AddrPort, wire.Packet) // sends a packet to a peer; replaced in tests
	messenger     *messenger.Messenger
	replicator    *replicator.Replicator
	wasFresh      atomic.Bool // result of the last call of fresh
	distributor   *distributor.Distributor
	administrator *administrator.Administrator
	expirer       *expirer.Expirer
	exchanger     *exchanger.Exchanger // nil without gossip
	gossiper      *gossiper.Gossiper
	watcher       *watcher.Watcher // nil without a settings file
	quota         *quota           // nil without quotas
	endpoints     []endpoint
}

// endpoint is an additional listen address and its handler.
type endpoint struct {
	addr    netip.AddrPort
	handler http.Handler
}

// Option configures a Runner.
type Option func(*Runner)

// WithFile makes the node reload its settings file, decoded by parse, whenever the file changes. Only changed seeds take
// effect without a restart.
func WithFile(path string, parse func(data []byte) (Settings, error)) Option {
	return func(r *Runner) {
		r.watcher = watcher.New(path, watcher.WithLogger(r.log.Named("watcher")), watcher.WithChanged(watcher.Parsed(parse, r.reload)))
	}
}

// New opens the data folder and returns a node that Run starts. A founder creates its data folder on the first start.
func New(s Settings, log hclog.Logger, opts ...Option) (*Runner, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	if _, err := chronometer.Now(); err != nil && s.Quota.Enabled() {
		return nil, fmt.Errorf("quotas need a clock that does not stop while the VM is suspended: %w", err)
	}
	if slices.Contains(s.Founders, s.Listen) {
		if err := storer.InitFounder(s.Data, s.Listen, s.Founders); err != nil {
			return nil, err
		}
	}
	store, err := storer.Open(s.Data, s.Name)
	if err != nil {
		return nil, err
	}
	if store.Identity().Cluster == "" {
		log.Info("node belongs to no cluster yet and asks its peers to join; run init once, on one node, to create a cluster")
	}
	r := newRunner(s, store, log)
	for _, opt := range opts {
		opt(r)
	}
	if !s.Gossip {
		return r, nil
	}
	self := wire.Member{Name: "controller " + s.Name, Domain: s.Domain, Addr: s.Listen, State: wire.Alive, Control: true}
	sockets := exchanger.SocketConfig{Bind: s.bind(), Dial: connector.New(connector.WithSource(s.Bind.Addr())).DialContext}
	if r.exchanger, r.gossiper, err = exchanger.Join(self, sockets, s.Seeds, log); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return r, nil
}

// reload applies the seeds of changed settings.
func (r *Runner) reload(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	if r.gossiper != nil {
		r.gossiper.SetSeeds(s.Seeds)
	}
	r.log.Info("settings reloaded", "seeds", s.Seeds)
	return nil
}

// AddHandler serves a handler on an additional address. It must be called before Run.
func (r *Runner) AddHandler(addr netip.AddrPort, handler http.Handler) {
	r.endpoints = append(r.endpoints, endpoint{addr, handler})
}

// Run runs the node until ctx ends or the process gets SIGTERM or SIGINT. It then makes a planned stop and closes the
// data folder.
func (r *Runner) Run(ctx context.Context) error {
	listener, err := r.mainGate.Listen(r.settings.bind())
	if err != nil {
		return errors.Join(err, r.store.Close())
	}
	return errors.Join(r.run(ctx, listener), r.store.Close())
}

// newRunner creates the components of a controller and connects them with each other.
func newRunner(s Settings, store *storer.Storer, log hclog.Logger) *Runner {
	r := &Runner{settings: s, log: log, store: store, registrar: registrar.New()}
	r.account = accountant.New(accountant.WithMemory(s.Memory<<20), accountant.WithLogger(log.Named("accountant")))
	r.mainGate = r.newGate("main", r.mainConnections())
	r.messenger = messenger.New(
		messenger.WithDeliver(func(p wire.Packet) { r.replicator.Deliver(p) }),
		messenger.WithDial(connector.New(connector.WithSource(s.Bind.Addr())).DialContext),
		messenger.WithLogger(log.Named("messenger")),
	)
	r.send = r.messenger.Send
	r.replicator = replicator.New(
		replicator.WithStore(store),
		replicator.WithNode(s.Node()),
		replicator.WithVoters(s.voters()),
		replicator.WithSeeds(s.Peers),
		replicator.WithSend(func(to netip.AddrPort, p wire.Packet) { r.send(to, p) }),
		replicator.WithApply(func(_ uint64, cmd wire.Command) wire.Result { return r.registrar.Apply(cmd) }),
		replicator.WithSave(r.registrar.Save),
		replicator.WithRestore(r.registrar.Restore),
		replicator.WithMembership(r.setMembership),
		replicator.WithLogger(log.Named("replicator")),
	)
	r.distributor = distributor.New(
		distributor.WithPropose(r.propose),
		distributor.WithBarrier(r.barrier),
		distributor.WithView(r.registrar.View),
		distributor.WithDepartures(r.registrar.Departures),
		distributor.WithFresh(r.fresh),
		distributor.WithReferral(r.referTo),
		distributor.WithLogger(log.Named("distributor")),
	)
	r.administrator = administrator.New(
		administrator.WithPropose(r.propose),
		administrator.WithBarrier(r.replicator.Barrier),
		administrator.WithView(r.registrar.View),
		administrator.WithStatus(r.status),
		administrator.WithLogger(log.Named("administrator")),
	)
	r.expirer = expirer.New(
		expirer.WithPropose(r.propose),
		expirer.WithLeading(func() bool { return r.replicator.Status().Role == "leader" }),
		expirer.WithView(r.registrar.View),
		expirer.WithLogger(log.Named("expirer")),
	)
	if s.Quota.Enabled() {
		r.quota = r.newQuota(chronometer.New())
	}
	return r
}

// setMembership passes a membership of the replicated log to the quota.
func (r *Runner) setMembership(nodes []wire.Node, skipped bool) {
	if r.quota != nil {
		r.quota.setMembership(nodes, skipped)
	}
}

// run runs the node with its main endpoint on listener.
func (r *Runner) run(ctx context.Context, listener net.Listener) error {
	// The components must outlive ctx: they run until the planned stop is complete.
	componentsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var group run.Group
	for _, component := range r.components() {
		group.Add(func() error { return component(componentsCtx) }, func(error) { cancel() })
	}
	servers := []*http.Server{addServer(componentsCtx, &group, listener, r.mainGate.Server(r.handler()))}
	for _, d := range append([]endpoint{{r.settings.Metrics, exposer.New(r.newGauges())}}, r.endpoints...) {
		if !d.addr.IsValid() {
			continue
		}
		gate := r.newGate(d.addr.String(), r.otherConnections())
		endpointListener, err := gate.Listen(d.addr)
		if err != nil {
			return errors.Join(err, listener.Close())
		}
		servers = append(servers, addServer(componentsCtx, &group, endpointListener, gate.Server(d.handler)))
	}
	group.Add(func() error {
		<-signals.Done()
		return r.stop(servers)
	}, func(error) { stop() })
	r.log.Info("serving", "listen", r.settings.Listen, "node", r.store.Identity().ID)
	err := group.Run()
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// components returns the Run functions of the components.
func (r *Runner) components() []func(context.Context) error {
	all := []func(context.Context) error{r.messenger.Run, r.replicator.Run, r.expirer.Run, r.distributor.Run}
	if r.gossiper != nil {
		all = append(all, r.gossiper.Run, r.exchanger.Run)
	}
	if r.quota != nil {
		all = append(all, r.quota.Run, r.quota.carrier.Run)
	}
	if r.watcher != nil {
		all = append(all, r.watcher.Run)
	}
	return all
}

// addServer adds a server to the group. The contexts of its requests are derived from componentsCtx.
func addServer(componentsCtx context.Context, group *run.Group, listener net.Listener, server *http.Server) *http.Server {
	server.BaseContext = func(net.Listener) context.Context { return componentsCtx }
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	return server
}

// handler serves the operators' API, the daemon sessions, the connections of peers, the metrics and the gossip.
func (r *Runner) handler() http.Handler {
	e := echo.New()
	r.administrator.Register(e)
	e.GET("/v1/session", echo.WrapHandler(r.distributor))
	e.GET("/v1/peer", echo.WrapHandler(r.messenger))
	e.GET("/metrics", echo.WrapHandler(exposer.New(r.newGauges())))
	if r.exchanger != nil {
		return r.exchanger.Handler(e)
	}
	return e
}

// propose runs a command through the replicated log. Without contact to a majority it fails immediately.
func (r *Runner) propose(ctx context.Context, cmd wire.Command) (wire.Result, error) {
	if !r.inContact() {
		return wire.Result{}, fmt.Errorf("%w", administrator.ErrUnavailable)
	}
	return r.replicator.Propose(ctx, cmd)
}

// Change runs a change through the replicated log and returns its result. An error that wraps ErrUnavailable means that the
// change was certainly not accepted.
func (r *Runner) Change(ctx context.Context, change wire.Change) (wire.Result, error) {
	return r.propose(ctx, wire.Command{Change: &change})
}

// ErrUnavailable reports that this node has no contact with a majority. A change that fails with it was not accepted.
var ErrUnavailable = administrator.ErrUnavailable

// Read returns a view that contains every change accepted before the call.
func (r *Runner) Read(ctx context.Context) (*registrar.View, error) {
	if !r.inContact() {
		return nil, ErrUnavailable
	}
	if err := r.replicator.Barrier(ctx); err != nil {
		return nil, err
	}
	return r.registrar.View(), nil
}

// barrier is the linearizable read before the first snapshot of a daemon. On a node that belongs to no cluster yet it fails
// immediately, so that the daemon tries another controller.
func (r *Runner) barrier(ctx context.Context) error {
	if r.replicator.Status().Cluster == "" {
		return ErrUnavailable
	}
	return r.replicator.Barrier(ctx)
}
