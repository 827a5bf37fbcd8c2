package main

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v4"
)

// settings holds the values of the command-line flags.
type settings struct {
	listen, daemon, calls      string
	name, service              string
	slots, maxConns, shedLimit int
	meanDelay, delaySpread     time.Duration
	warmUp                     time.Duration
	startFactor                float64
	seed                       uint64
	runsFile                   string
	leaveTimeout               time.Duration
	logLevel                   string

	listenAddr, daemonAddr, callsAddr netip.AddrPort
}

func (s *settings) flags() *ff.FlagSet {
	fs := ff.NewFlagSet("standin")
	fs.StringVar(&s.listen, 0, "listen", "127.0.0.1:0", "address to serve calls on")
	fs.StringVar(&s.daemon, 0, "daemon", "", "address of the daemon's local API for announcements; no announcements if empty")
	fs.StringVar(&s.calls, 0, "calls", "", "address at which the daemon accepts nested calls")
	fs.StringVar(&s.name, 0, "name", "", "name in answers and logs; if empty, answers contain the address")
	fs.StringVar(&s.service, 0, "service", "", "service to serve")
	fs.IntVar(&s.slots, 0, "slots", 20, "number of calls that run at once")
	fs.IntVar(&s.maxConns, 0, "conns", 130, "maximum number of connections; 0 for no limit")
	fs.IntVar(&s.shedLimit, 0, "shed", 0, "calls in progress, waiting ones included, above which calls get 503; 0 for no limit")
	fs.DurationVar(&s.meanDelay, 0, "delay", 0, "mean duration of a call")
	fs.DurationVar(&s.delaySpread, 0, "spread", 0, "maximum difference from the mean duration")
	fs.DurationVar(&s.warmUp, 0, "cold", 0, "warm-up time after the start, until calls have their usual duration")
	fs.Float64Var(&s.startFactor, 0, "factor", 1, "factor on the duration of a call at the start of the warm-up")
	fs.Uint64Var(&s.seed, 0, "seed", 1, "seed of the random call durations")
	fs.StringVar(&s.runsFile, 0, "runs", "", "runs file, to which the idempotency key of each run is appended")
	fs.DurationVar(&s.leaveTimeout, 0, "leave", 90*time.Second, "timeout of the leave request to the daemon")
	fs.StringVar(&s.logLevel, 0, "log", "info", "log level")
	return fs
}

// parse parses the addresses and checks the ranges of the values.
func (s *settings) parse() error {
	if s.service == "" {
		return errors.New("service is empty")
	}
	if s.slots < 1 || s.maxConns < 0 || s.shedLimit < 0 || s.delaySpread < 0 || s.delaySpread > s.meanDelay {
		return errors.New("slots must be at least 1, conns and shed at least 0, spread between 0 and delay")
	}
	for _, addr := range []struct {
		flag, text string
		to         *netip.AddrPort
	}{{"listen", s.listen, &s.listenAddr}, {"daemon", s.daemon, &s.daemonAddr}, {"calls", s.calls, &s.callsAddr}} {
		if addr.text == "" {
			continue
		}
		var err error
		if *addr.to, err = netip.ParseAddrPort(addr.text); err != nil {
			return fmt.Errorf("%s: %w", addr.flag, err)
		}
	}
	return nil
}
