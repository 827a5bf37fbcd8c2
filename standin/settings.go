package main

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v4"
)

// settings are the values of the flags.
type settings struct {
	listen, daemon, calls string
	name, service         string
	slots, conns, shed    int
	delay, spread         time.Duration
	cold                  time.Duration
	factor                float64
	seed                  uint64
	runs                  string
	leave                 time.Duration
	level                 string

	listenAddr, daemonAddr, callsAddr netip.AddrPort
}

func (s *settings) flags() *ff.FlagSet {
	fs := ff.NewFlagSet("standin")
	fs.StringVar(&s.listen, 0, "listen", "127.0.0.1:0", "address to serve calls on")
	fs.StringVar(&s.daemon, 0, "daemon", "", "daemon's local address for announcements; none if empty")
	fs.StringVar(&s.calls, 0, "calls", "", "daemon's calls address for nested calls")
	fs.StringVar(&s.name, 0, "name", "", "name in answers and logs; the address if empty")
	fs.StringVar(&s.service, 0, "service", "", "service to serve")
	fs.IntVar(&s.slots, 0, "slots", 20, "calls that run at once")
	fs.IntVar(&s.conns, 0, "conns", 130, "connections; 0 for no limit")
	fs.IntVar(&s.shed, 0, "shed", 0, "calls in progress above which calls get 503; 0 for no limit")
	fs.DurationVar(&s.delay, 0, "delay", 0, "mean time of a call")
	fs.DurationVar(&s.spread, 0, "spread", 0, "largest difference from the mean time")
	fs.DurationVar(&s.cold, 0, "cold", 0, "time from the start until calls take their usual time")
	fs.Float64Var(&s.factor, 0, "factor", 1, "factor on the time of a call at the start")
	fs.Uint64Var(&s.seed, 0, "seed", 1, "seed of the spread")
	fs.StringVar(&s.runs, 0, "runs", "", "file to append each run's idempotency key to")
	fs.DurationVar(&s.leave, 0, "leave", 90*time.Second, "longest wait for the daemon's answer when leaving")
	fs.StringVar(&s.level, 0, "log", "info", "log level")
	return fs
}

// parse reads the addresses and checks the ranges.
func (s *settings) parse() error {
	if s.service == "" {
		return errors.New("service is empty")
	}
	if s.slots < 1 || s.conns < 0 || s.shed < 0 || s.spread < 0 || s.spread > s.delay {
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
