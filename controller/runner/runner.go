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
	"bluebellhoist/core/exchanger"
	"bluebellhoist/core/gossiper"
	"bluebellhoist/core/presenter"
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
	doors         []door
}

// door is a further address with a handler in front of the node.
type door struct {
	addr    netip.AddrPort
	handler http.Handler
}

// New opens the data folder and returns a node that Run starts. A founder makes its folder on the first start.
func New(s Settings, log hclog.Logger) (*Runner, error) {
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
	if s.Gossip {
		if err := r.addGossip(); err != nil {
			return nil, errors.Join(err, store.Close())
		}
	}
	return r, nil
}

// Add puts a handler at a further address. It must be called before Run.
func (c *Runner) Add(addr netip.AddrPort, handler http.Handler) {
	c.doors = append(c.doors, door{addr, handler})
}

// Run runs the node until ctx ends or the process is told to stop, and closes the data folder.
func (c *Runner) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.settings.Listen.String())
	if err != nil {
		return errors.Join(err, c.store.Close())
	}
	return errors.Join(c.run(ctx, listener), c.store.Close())
}

// addGossip makes the node a member of the daemons' gossip, so that they find each other and all controllers.
func (c *Runner) addGossip() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.settings.Listen))
	if err != nil {
		return err
	}
	c.exchanger = exchanger.New(
		exchanger.WithConn(conn),
		exchanger.WithDeliver(func(from netip.AddrPort, data []byte) { c.gossiper.Deliver(from, data) }),
		exchanger.WithAnswer(func(msg wire.Gossip) wire.Gossip { return c.gossiper.Answer(msg) }),
		exchanger.WithLogger(c.log.Named("exchanger")),
	)
	c.gossiper = gossiper.New(
		gossiper.WithSelf(wire.Member{
			Name: "controller " + c.settings.Name, Domain: c.settings.Domain, Addr: c.settings.Listen, State: wire.Alive, Control: true,
		}),
		gossiper.WithSeeds(c.settings.Seeds),
		gossiper.WithSend(c.exchanger.Send),
		gossiper.WithExchange(c.exchanger.Exchange),
		gossiper.WithLogger(c.log.Named("gossiper")),
	)
	return nil
}

func newRunner(s Settings, store *storer.Storer, log hclog.Logger) *Runner {
	c := &Runner{settings: s, log: log, store: store, registrar: registrar.New()}
	c.messenger = messenger.New(
		messenger.WithDeliver(func(p wire.Packet) { c.replicator.Deliver(p) }),
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
		distributor.WithBarrier(c.replicator.Barrier),
		distributor.WithView(c.registrar.View),
		distributor.WithFresh(c.fresh),
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
	server := &http.Server{
		Handler:           c.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return parts },
	}

	// Settings of a controller hold from its start; a hangup must not end it.
	signal.Ignore(syscall.SIGHUP)

	var group run.Group
	own := []func(context.Context) error{c.messenger.Run, c.replicator.Run, c.expirer.Run}
	if c.gossiper != nil {
		own = append(own, c.gossiper.Run, c.exchanger.Run)
	}
	for _, part := range own {
		group.Add(func() error { return part(parts) }, func(error) { cancel() })
	}
	group.Add(
		func() error { return server.Serve(listener) },
		func(error) { _ = server.Close() },
	)
	servers := []*http.Server{server}
	for _, d := range c.doors {
		open, err := net.Listen("tcp", d.addr.String())
		if err != nil {
			return errors.Join(err, listener.Close())
		}
		front := &http.Server{Handler: d.handler, ReadHeaderTimeout: 5 * time.Second}
		servers = append(servers, front)
		group.Add(func() error { return front.Serve(open) }, func(error) { _ = front.Close() })
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
	e.GET("/metrics", echo.WrapHandler(c.Metrics()))
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

// Metrics returns the handler that shows the metrics of the process as text.
func (c *Runner) Metrics() http.Handler {
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
