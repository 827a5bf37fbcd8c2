// Package runner puts the parts of a controller together and runs them.
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
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
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
	"bluebellhoist/core/connector"
	"bluebellhoist/core/exchanger"
	"bluebellhoist/core/gossiper"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/watcher"
	"bluebellhoist/core/wire"
)

const (
	// freshLimit is the age up to which contact with a majority counts as current.
	freshLimit = 1200 * time.Millisecond
	// stopLimit bounds a planned stop. No call passes through a controller, so none is cut.
	stopLimit = 10 * time.Second
	// stopReserve is the part of the grace of the settings that is left for ending the process.
	stopReserve = 500 * time.Millisecond
	// leaveLimit bounds the wait until other members of the gossip have confirmed the leave.
	leaveLimit = time.Second
	// headerTimeout bounds the wait for the header of a request.
	headerTimeout = 5 * time.Second
)

// Runner is one running node.
type Runner struct {
	settings      Settings
	log           hclog.Logger
	store         *storer.Storer
	registrar     *registrar.Registrar
	send          func(netip.AddrPort, wire.Packet) // to a peer; tests replace it
	messenger     *messenger.Messenger
	replicator    *replicator.Replicator
	distributor   *distributor.Distributor
	administrator *administrator.Administrator
	expirer       *expirer.Expirer
	exchanger     *exchanger.Exchanger // nil without gossip
	gossiper      *gossiper.Gossiper
	watcher       *watcher.Watcher // nil without a settings file
	doors         []door
}

// door is a further address with a handler in front of the node.
type door struct {
	addr    netip.AddrPort
	handler http.Handler
}

// Option sets up a Runner.
type Option func(*Runner)

// WithFile makes the node follow changes of its settings file, which parse reads. Only the seeds can change while it
// runs.
func WithFile(path string, parse func(data []byte) (Settings, error)) Option {
	return func(c *Runner) {
		c.watcher = watcher.New(path, watcher.WithLogger(c.log.Named("watcher")), watcher.WithChanged(func(data []byte) error {
			s, err := parse(data)
			if err != nil {
				return err
			}
			return c.update(s)
		}))
	}
}

// New opens the data folder and returns a node that Run starts. A founder makes its folder on the first start.
func New(s Settings, log hclog.Logger, opts ...Option) (*Runner, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	if slices.Contains(s.Founders, s.Listen) {
		if err := storer.Found(s.Data, s.Listen, s.Founders); err != nil {
			return nil, err
		}
	}
	store, err := storer.Open(s.Data, s.Name)
	if err != nil {
		return nil, err
	}
	if store.Identity().Cluster == "" {
		log.Info("member of no cluster yet, asks its peers to join; init starts a cluster, once and on one node")
	}
	r := newRunner(s, store, log)
	for _, opt := range opts {
		opt(r)
	}
	if !s.Gossip {
		return r, nil
	}
	self := wire.Member{Name: "controller " + s.Name, Domain: s.Domain, Addr: s.Listen, State: wire.Alive, Control: true}
	place := exchanger.Place{Bind: s.bind(), Dial: connector.New(connector.WithSource(s.Bind.Addr())).DialText}
	if r.exchanger, r.gossiper, err = exchanger.Join(self, place, s.Seeds, log); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return r, nil
}

// update takes changed settings.
func (c *Runner) update(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	if c.gossiper != nil {
		c.gossiper.Reseed(s.Seeds)
	}
	c.log.Info("settings reloaded", "seeds", s.Seeds)
	return nil
}

// Add puts a handler at a further address. It must be called before Run.
func (c *Runner) Add(addr netip.AddrPort, handler http.Handler) {
	c.doors = append(c.doors, door{addr, handler})
}

// Run runs the node until ctx ends or the process is told to stop, and closes the data folder.
func (c *Runner) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.settings.bind().String())
	if err != nil {
		return errors.Join(err, c.store.Close())
	}
	return errors.Join(c.run(ctx, listener), c.store.Close())
}

func newRunner(s Settings, store *storer.Storer, log hclog.Logger) *Runner {
	c := &Runner{settings: s, log: log, store: store, registrar: registrar.New()}
	c.messenger = messenger.New(
		messenger.WithDeliver(func(p wire.Packet) { c.replicator.Deliver(p) }),
		messenger.WithDial(connector.New(connector.WithSource(s.Bind.Addr())).DialText),
		messenger.WithLogger(log.Named("messenger")),
	)
	c.send = c.messenger.Send
	c.replicator = replicator.New(
		replicator.WithStore(store),
		replicator.WithNode(s.Node()),
		replicator.WithSeats(s.Seats),
		replicator.WithSeeds(s.Peers),
		replicator.WithSend(func(to netip.AddrPort, p wire.Packet) { c.send(to, p) }),
		replicator.WithApply(func(_ uint64, cmd wire.Command) wire.Result { return c.registrar.Apply(cmd) }),
		replicator.WithSave(c.registrar.Save),
		replicator.WithRestore(c.registrar.Restore),
		replicator.WithLogger(log.Named("replicator")),
	)
	c.distributor = distributor.New(
		distributor.WithPropose(c.propose),
		distributor.WithBarrier(c.barrier),
		distributor.WithView(c.registrar.View),
		distributor.WithFresh(c.fresh),
		distributor.WithReferral(c.nearer),
		distributor.WithLogger(log.Named("distributor")),
	)
	c.administrator = administrator.New(
		administrator.WithPropose(c.propose),
		administrator.WithBarrier(c.replicator.Barrier),
		administrator.WithView(c.registrar.View),
		administrator.WithStatus(c.status),
		administrator.WithLogger(log.Named("administrator")),
	)
	c.expirer = expirer.New(
		expirer.WithPropose(c.propose),
		expirer.WithLeading(func() bool { return c.replicator.Status().Role == "leader" }),
		expirer.WithView(c.registrar.View),
		expirer.WithLogger(log.Named("expirer")),
	)
	return c
}

func (c *Runner) run(ctx context.Context, listener net.Listener) error {
	// Parts of the node run on until the planned stop has ended their work.
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var group run.Group
	for _, part := range c.parts() {
		group.Add(func() error { return part(parts) }, func(error) { cancel() })
	}
	servers := []*http.Server{addServer(parts, &group, listener, c.handler())}
	for _, d := range append([]door{{c.settings.Metrics, c.metricsHandler()}}, c.doors...) {
		if !d.addr.IsValid() {
			continue
		}
		open, err := net.Listen("tcp", d.addr.String())
		if err != nil {
			return errors.Join(err, listener.Close())
		}
		servers = append(servers, addServer(parts, &group, open, d.handler))
	}
	group.Add(func() error {
		<-signals.Done()
		return c.stop(servers)
	}, func(error) { stop() })
	c.log.Info("serving", "listen", c.settings.Listen, "node", c.store.Identity().ID)
	err := group.Run()
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// parts returns what runs as long as the node.
func (c *Runner) parts() []func(context.Context) error {
	all := []func(context.Context) error{c.messenger.Run, c.replicator.Run, c.expirer.Run}
	if c.gossiper != nil {
		all = append(all, c.gossiper.Run, c.exchanger.Run)
	}
	if c.watcher != nil {
		all = append(all, c.watcher.Run)
	}
	return all
}

// addServer adds a server to the group. The contexts of its requests end with parts.
func addServer(parts context.Context, group *run.Group, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return parts },
	}
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	return server
}

// stop hands over leadership and the daemons, and lets requests end.
func (c *Runner) stop(servers []*http.Server) error {
	limit := stopLimit
	if grace := time.Duration(c.settings.Grace); grace > 0 {
		limit = grace - stopReserve
	}
	c.log.Info("stopping", "limit", limit)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := c.replicator.Transfer(ctx); err != nil {
		c.log.Warn("leadership not handed over", "error", err)
	}
	if c.gossiper != nil {
		leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveLimit)
		defer cancelLeave()
		if err := c.gossiper.Leave(leaveCtx); err != nil {
			c.log.Warn("leave not confirmed", "error", err)
		}
	}
	if err := c.distributor.Close(ctx); err != nil {
		c.log.Warn("daemons not handed over", "error", err)
	}
	var failed error
	for _, server := range servers {
		failed = errors.Join(failed, server.Shutdown(ctx))
	}
	c.log.Info("stopped")
	return failed
}

func (c *Runner) handler() http.Handler {
	e := echo.New()
	c.administrator.Register(e)
	e.GET("/v1/session", echo.WrapHandler(c.distributor))
	e.GET("/v1/peer", echo.WrapHandler(c.messenger))
	e.GET("/metrics", echo.WrapHandler(c.metricsHandler()))
	if c.exchanger != nil {
		return c.exchanger.Handler(e)
	}
	return e
}

// gauges shows the state of the node, so that a controller that is cut off does not go unnoticed.
func (c *Runner) gauges() *metrics.Set {
	set := metrics.NewSet()
	flag := func(on bool) float64 {
		if on {
			return 1
		}
		return 0
	}
	set.NewGauge("bluebell_controller_fresh", func() float64 { return flag(c.fresh()) })
	set.NewGauge("bluebell_controller_leading", func() float64 { return flag(c.replicator.Status().Role == "leader") })
	set.NewGauge("bluebell_controller_voting", func() float64 { return flag(c.replicator.Status().Self.Voter) })
	set.NewGauge("bluebell_log_applied_index", func() float64 { return float64(c.replicator.Status().Applied) })
	set.NewGauge("bluebell_config_version", func() float64 { return float64(c.registrar.View().Version()) })
	set.NewGauge("bluebell_daemons_connected", func() float64 { return float64(len(c.distributor.Daemons())) })
	return set
}

// propose runs a command through the log, and refuses it at once without contact to a majority.
func (c *Runner) propose(ctx context.Context, cmd wire.Command) (wire.Result, error) {
	if !c.fresh() {
		return wire.Result{}, fmt.Errorf("%w", administrator.ErrUnavailable)
	}
	return c.replicator.Propose(ctx, cmd)
}

// Change runs a change through the log and returns its result. An error that wraps ErrUnavailable means that it was
// certainly not accepted.
func (c *Runner) Change(ctx context.Context, change wire.Change) (wire.Result, error) {
	return c.propose(ctx, wire.Command{Change: &change})
}

// ErrUnavailable reports a change that was certainly not accepted.
var ErrUnavailable = administrator.ErrUnavailable

// Read returns a view that holds every change accepted before the call.
func (c *Runner) Read(ctx context.Context) (*registrar.View, error) {
	if !c.fresh() {
		return nil, ErrUnavailable
	}
	if err := c.replicator.Barrier(ctx); err != nil {
		return nil, err
	}
	return c.registrar.View(), nil
}

// barrier is the read before the first snapshot of a daemon. A node that belongs to no cluster yet refuses it at once, so
// that the daemon tries another one.
func (c *Runner) barrier(ctx context.Context) error {
	if c.replicator.Status().Cluster == "" {
		return ErrUnavailable
	}
	return c.replicator.Barrier(ctx)
}

// metricsHandler shows the metrics of the process as text.
func (c *Runner) metricsHandler() http.Handler {
	set := c.gauges()
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WritePrometheus(w, true)
	})
}

// fresh reports whether a leader with a majority was heard from lately.
func (c *Runner) fresh() bool {
	return time.Since(c.replicator.Status().Fresh) < freshLimit
}

func (c *Runner) status() presenter.Status {
	s := c.replicator.Status()
	status := presenter.Status{
		Name:    c.settings.Name,
		Role:    s.Role,
		Leader:  s.Leader.Name,
		Term:    s.Term,
		Commit:  s.Commit,
		Applied: s.Applied,
		Version: c.registrar.View().Version(),
		Fresh:   c.fresh(),
		Nodes:   []presenter.Node{},
		Daemons: c.distributor.Daemons(),
	}
	for _, n := range s.Nodes {
		status.Nodes = append(status.Nodes, presenter.Node{Name: n.Name, Addr: n.Addr.String(), Voter: n.Voter})
	}
	return status
}
