package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
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
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

const (
	// freshLimit is the age up to which contact with a majority counts as current.
	freshLimit = 3 * time.Second
	// stopLimit bounds a planned stop. No call passes through a controller, so none is cut.
	stopLimit = 10 * time.Second
)

// controller is one running node.
type controller struct {
	settings      settings
	log           hclog.Logger
	store         *storer.Storer
	registrar     *registrar.Registrar
	send          func(netip.AddrPort, wire.Packet) // to a peer; tests replace it
	messenger     *messenger.Messenger
	replicator    *replicator.Replicator
	distributor   *distributor.Distributor
	administrator *administrator.Administrator
	expirer       *expirer.Expirer
}

// serve runs a node until ctx ends or the process is told to stop.
func serve(ctx context.Context, s settings, log hclog.Logger) error {
	store, err := storer.Open(s.Data, s.Name)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	listener, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return err
	}
	if store.Identity().Cluster == "" {
		log.Info("member of no cluster yet, asks its peers to join; init starts a cluster, once and on one node")
	}
	return newController(s, store, log).run(ctx, listener)
}

func newController(s settings, store *storer.Storer, log hclog.Logger) *controller {
	c := &controller{settings: s, log: log, store: store, registrar: registrar.New()}
	c.messenger = messenger.New(
		messenger.WithDeliver(func(p wire.Packet) { c.replicator.Deliver(p) }),
		messenger.WithLogger(log.Named("messenger")),
	)
	c.send = c.messenger.Send
	c.replicator = replicator.New(
		replicator.WithStore(store),
		replicator.WithNode(s.node()),
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

func (c *controller) run(ctx context.Context, listener net.Listener) error {
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

	var group run.Group
	for _, part := range []func(context.Context) error{c.messenger.Run, c.replicator.Run, c.expirer.Run} {
		group.Add(func() error { return part(parts) }, func(error) { cancel() })
	}
	group.Add(
		func() error { return server.Serve(listener) },
		func(error) { _ = server.Close() },
	)
	group.Add(func() error {
		<-signals.Done()
		return c.stop(server)
	}, func(error) { stop() })
	c.log.Info("serving", "listen", c.settings.Listen, "node", c.store.Identity().ID)
	err := group.Run()
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop hands over leadership and the daemons, and lets requests end.
func (c *controller) stop(server *http.Server) error {
	c.log.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if err := c.replicator.Transfer(ctx); err != nil {
		c.log.Warn("leadership not handed over", "error", err)
	}
	if err := c.distributor.Close(ctx); err != nil {
		c.log.Warn("daemons not handed over", "error", err)
	}
	return server.Shutdown(ctx)
}

func (c *controller) handler() http.Handler {
	e := echo.New()
	c.administrator.Register(e)
	e.GET("/v1/session", echo.WrapHandler(c.distributor))
	e.GET("/v1/peer", echo.WrapHandler(c.messenger))
	set := c.gauges()
	e.GET("/metrics", func(ctx echo.Context) error {
		set.WritePrometheus(ctx.Response())
		metrics.WritePrometheus(ctx.Response(), true)
		return nil
	})
	return e
}

// gauges shows the state of the node, so that a controller that is cut off does not go unnoticed.
func (c *controller) gauges() *metrics.Set {
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
func (c *controller) propose(ctx context.Context, cmd wire.Command) (wire.Result, error) {
	if !c.fresh() {
		return wire.Result{}, fmt.Errorf("%w", administrator.ErrUnavailable)
	}
	return c.replicator.Propose(ctx, cmd)
}

// fresh reports whether a leader with a majority was heard from lately.
func (c *controller) fresh() bool {
	return time.Since(c.replicator.Status().Fresh) < freshLimit
}

func (c *controller) status() presenter.Status {
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
