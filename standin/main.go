// Command standin is a stand-in upstream: it echoes calls with set delays, and counts runs per idempotency key.
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

// spareConns is added to the limit of connections, so that run counts can be read while the daemon uses all of its own.
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
	log := hclog.New(&hclog.LoggerOptions{Name: cfg.name, Level: hclog.LevelFromString(cfg.level)})
	if err := serve(cfg, log); err != nil {
		log.Error("stopped", "error", err)
		os.Exit(1)
	}
}

// serve runs the stand-in until a signal or a failure ends it. The HTTP server stops after the daemon has answered the
// leave request, since calls may arrive until then.
func serve(cfg *settings, log hclog.Logger) error {
	records, err := recorder.New(recorder.WithFile(cfg.runs))
	if err != nil {
		return err
	}
	defer records.Close()
	listener, err := net.Listen("tcp", cfg.listenAddr.String())
	if err != nil {
		return err
	}
	if cfg.conns > 0 {
		listener = netutil.LimitListener(listener, cfg.conns+spareConns)
	}
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return err
	}
	server := newServer(cfg, log, records, bound)
	announce := announcer.New(
		announcer.WithDaemon(cfg.daemonAddr),
		announcer.WithUpstream(wire.Upstream{
			Service: cfg.service, Address: bound, Slots: cfg.slots, Conns: cfg.conns, Start: time.Now().UnixMilli(),
		}),
		announcer.WithLeave(cfg.leave),
		announcer.WithLogger(log),
	)
	// After the first signal the default action returns, so that a second one ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)

	var group run.Group
	group.Add(func() error { return announce.Run(ctx) }, func(error) { stop() })
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { shutdown(server, log) })
	log.Info("serving", "address", bound, "service", cfg.service, "slots", cfg.slots, "conns", cfg.conns)
	return group.Run()
}

func newServer(cfg *settings, log hclog.Logger, records *recorder.Recorder, bound netip.AddrPort) *http.Server {
	name := cfg.name
	if name == "" {
		name = bound.String()
	}
	answers := responder.New(
		responder.WithName(name, cfg.service),
		responder.WithSlots(cfg.slots),
		responder.WithShed(cfg.shed),
		responder.WithCalls(cfg.callsAddr),
		responder.WithDelay(responder.NewDelay(cfg.delay, cfg.spread, cfg.cold, cfg.factor, cfg.seed)),
		responder.WithRecord(records.Record, records.Runs),
		responder.WithLogger(log),
	)
	router := echo.New()
	answers.Register(router)
	return &http.Server{Handler: router, ReadHeaderTimeout: 10 * time.Second}
}

func shutdown(server *http.Server, log hclog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.Warn("calls were cut off", "error", err)
	}
}
