// Command standin is a stand-in upstream for tests: it echoes calls after a configured delay, and counts runs per
// idempotency key.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"golang.org/x/net/netutil"

	"bluebellhoist/core/wire"
	"bluebellhoist/standin/announcer"
	"bluebellhoist/standin/recorder"
	"bluebellhoist/standin/responder"
)

// spareConns is added to the connection limit, so that run counts can be read while the daemon uses all its connections.
const spareConns = 4

func main() {
	cfg := &settings{}
	flags := cfg.flags()
	err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix("STANDIN"))
	if err == nil {
		err = cfg.parse()
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", ffhelp.Flags(flags), err)
		os.Exit(2)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: cfg.name, Level: hclog.LevelFromString(cfg.logLevel)})
	if err := serve(cfg, log); err != nil {
		log.Error("stopped", "error", err)
		os.Exit(1)
	}
}

// serve runs the stand-in until a signal or a failure ends it. The HTTP server stops after the daemon has answered the
// leave request, since calls may arrive until then.
func serve(cfg *settings, log hclog.Logger) error {
	records, err := recorder.New(recorder.WithFile(cfg.runsFile))
	if err != nil {
		return err
	}
	defer records.Close()
	listener, err := net.Listen("tcp", cfg.listenAddr.String())
	if err != nil {
		return err
	}
	if cfg.maxConns > 0 {
		listener = netutil.LimitListener(listener, cfg.maxConns+spareConns)
	}
	boundAddr, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return err
	}
	server := newServer(cfg, log, records, boundAddr)
	upstreamAnnouncer := announcer.New(
		announcer.WithDaemon(cfg.daemonAddr),
		announcer.WithUpstream(wire.Upstream{
			Service: cfg.service, Address: boundAddr, Slots: cfg.slots, Conns: cfg.maxConns, Start: time.Now().UnixMilli(),
		}),
		announcer.WithLeaveTimeout(cfg.leaveTimeout),
		announcer.WithLogger(log),
	)
	// The first signal restores the default action, so that a second one ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)

	var group run.Group
	group.Add(func() error { return upstreamAnnouncer.Run(ctx) }, func(error) { stop() })
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { shutdown(server, log) })
	log.Info("serving", "address", boundAddr, "service", cfg.service, "slots", cfg.slots, "conns", cfg.maxConns)
	return group.Run()
}

// newServer returns an HTTP server that serves calls and run counts.
func newServer(cfg *settings, log hclog.Logger, records *recorder.Recorder, boundAddr netip.AddrPort) *http.Server {
	name := cfg.name
	if name == "" {
		name = boundAddr.String()
	}
	handler := responder.New(
		responder.WithName(name, cfg.service),
		responder.WithSlots(cfg.slots),
		responder.WithShedLimit(cfg.shedLimit),
		responder.WithDaemon(cfg.callsAddr),
		responder.WithDelay(responder.NewDelay(cfg.meanDelay, cfg.delaySpread, cfg.warmUp, cfg.startFactor, cfg.seed)),
		responder.WithRecord(records.Record, records.Runs),
		responder.WithLogger(log),
	)
	router := echo.New()
	handler.Register(router)
	return &http.Server{Handler: router, ReadHeaderTimeout: 10 * time.Second}
}

// shutdown stops the server, and waits up to 10 s for calls in progress.
func shutdown(server *http.Server, log hclog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.Warn("shutdown did not complete; calls in progress are cut off", "error", err)
	}
}
