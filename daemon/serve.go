package main

import (
	"context"
	"errors"
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

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/announcer"
	"bluebellhoist/daemon/claimer"
	"bluebellhoist/daemon/exchanger"
	"bluebellhoist/daemon/forwarder"
	"bluebellhoist/daemon/gossiper"
	"bluebellhoist/daemon/limiter"
	"bluebellhoist/daemon/router"
	"bluebellhoist/daemon/subscriber"
)

const (
	// stopLimit bounds a planned stop. It exceeds the longest time of a call, so that none is cut.
	stopLimit = compiler.MaxLimit + 15*time.Second
	// leaveLimit bounds the wait until other daemons have confirmed the leave.
	leaveLimit = 3 * time.Second
	// lingerTime is how long a stopping daemon still refuses calls, until all others have heard of its leave.
	lingerTime = 2 * time.Second
)

// daemon is one running proxy.
type daemon struct {
	settings   settings
	log        hclog.Logger
	subscriber *subscriber.Subscriber
	claimer    *claimer.Claimer
	exchanger  *exchanger.Exchanger
	gossiper   *gossiper.Gossiper
	announcer  *announcer.Announcer
	limiter    *limiter.Limiter
	router     *router.Router
	forwarder  *forwarder.Forwarder
	since      atomic.Int64 // start of the local upstream, as announced
}

// listeners are the open ports of a daemon.
type listeners struct {
	calls, peers, local net.Listener
	gossip              *net.UDPConn
}

// serve runs a daemon until ctx ends or the process is told to stop.
func serve(ctx context.Context, s settings, log hclog.Logger) error {
	ports, err := listen(s)
	if err != nil {
		return err
	}
	return newDaemon(s, ports.gossip, log).run(ctx, ports)
}

func listen(s settings) (listeners, error) {
	var l listeners
	var err error
	if l.calls, err = net.Listen("tcp", s.Calls.String()); err != nil {
		return l, err
	}
	if l.peers, err = net.Listen("tcp", s.Peers.String()); err != nil {
		return l, err
	}
	if l.local, err = net.Listen("tcp", s.Local.String()); err != nil {
		return l, err
	}
	l.gossip, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Peers))
	return l, err
}

func newDaemon(s settings, gossip *net.UDPConn, log hclog.Logger) *daemon {
	d := &daemon{settings: s, log: log}
	d.subscriber = subscriber.New(
		subscriber.WithName(s.Name, s.Domain, s.Batch),
		subscriber.WithRegion(s.Region),
		subscriber.WithControllers(s.Controllers...),
		subscriber.WithFolder(s.Data),
		subscriber.WithLogger(log.Named("subscriber")),
	)
	d.claimer = claimer.New(claimer.WithRequest(d.subscriber.Request))
	d.exchanger = exchanger.New(
		exchanger.WithConn(gossip),
		exchanger.WithDeliver(func(from netip.AddrPort, data []byte) { d.gossiper.Deliver(from, data) }),
		exchanger.WithAnswer(func(msg wire.Gossip) wire.Gossip { return d.gossiper.Answer(msg) }),
		exchanger.WithLogger(log.Named("exchanger")),
	)
	d.gossiper = gossiper.New(
		gossiper.WithSelf(wire.Member{Name: s.Name, Domain: s.Domain, Addr: s.Peers, State: wire.Alive}),
		gossiper.WithSeeds(s.Seeds),
		gossiper.WithSend(d.exchanger.Send),
		gossiper.WithExchange(d.exchanger.Exchange),
		gossiper.WithLogger(log.Named("gossiper")),
	)
	d.limiter = limiter.New()
	d.router = router.New(router.WithMembers(d.gossiper.Members), router.WithDomain(s.Domain))
	d.announcer = announcer.New(
		announcer.WithUpdate(d.update),
		announcer.WithDrained(d.drained),
		announcer.WithLogger(log.Named("announcer")),
	)
	d.forwarder = forwarder.New(
		forwarder.WithSnapshot(d.subscriber.Held),
		forwarder.WithPick(d.pick),
		forwarder.WithAcquire(d.acquire),
		forwarder.WithLoad(d.limiter.Load),
		forwarder.WithUpstream(d.announcer.Upstream),
		forwarder.WithClaim(d.claimer.Claim),
		forwarder.WithRelease(d.claimer.Release),
		forwarder.WithFinish(d.claimer.Finish),
	)
	return d
}

func (d *daemon) run(ctx context.Context, ports listeners) error {
	// Parts of the daemon run on until the planned stop has ended their work.
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	signals, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	var group run.Group
	for _, part := range []func(context.Context) error{
		d.subscriber.Run, d.claimer.Run, d.gossiper.Run, d.exchanger.Run, d.announcer.Run,
	} {
		group.Add(func() error { return part(parts) }, func(error) { cancel() })
	}
	calls := forwarder.NewCallServer(d.forwarder.Egress())
	peers := forwarder.NewPeerServer(d.exchanger.Handler(d.forwarder.Ingress()))
	local := &http.Server{Handler: d.localHandler(), ReadHeaderTimeout: 5 * time.Second}
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{{calls, ports.calls}, {peers, ports.peers}, {local, ports.local}} {
		group.Add(func() error {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			<-parts.Done() // a planned stop ends the group once all servers are done
			return nil
		}, func(error) { _ = s.server.Close() })
	}
	group.Add(func() error {
		<-signals.Done()
		return d.stop(calls, peers, local)
	}, func(error) { stop() })
	d.log.Info("serving", "calls", ports.calls.Addr(), "peers", ports.peers.Addr(), "local", ports.local.Addr())
	err := group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// stop leaves the mesh and returns once every call in progress has ended.
func (d *daemon) stop(servers ...*http.Server) error {
	d.log.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	d.announcer.Leave()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveLimit)
	defer cancelLeave()
	if err := d.gossiper.Leave(leaveCtx); err != nil {
		d.log.Warn("leave not confirmed", "error", err)
	}
	if err := d.forwarder.Drain(ctx); err != nil {
		d.log.Error("calls were cut off", "error", err)
	}
	if err := d.claimer.Drain(ctx); err != nil {
		d.log.Warn("claims not released", "error", err)
	}
	// Daemons that have not heard of the leave yet get refusals as not run instead of closed connections.
	select {
	case <-time.After(lingerTime):
	case <-ctx.Done():
	}
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			d.log.Error("calls were cut off", "error", err)
		}
	}
	d.forwarder.Close()
	return nil
}

func (d *daemon) localHandler() http.Handler {
	e := echo.New()
	d.announcer.Register(e)
	e.GET("/v1/status", d.getStatus)
	set := d.gauges()
	e.GET("/metrics", func(c echo.Context) error {
		set.WritePrometheus(c.Response())
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	return e
}
