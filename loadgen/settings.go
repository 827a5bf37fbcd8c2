package main

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"bluebellhoist/loadgen/generator"
)

// settings are the values of the flags.
type settings struct {
	targets, mix, once, call, direct string
	standins, files                  string
	rate                             float64
	duration, timeout, settle        time.Duration
	count, inflight, attempts, body  int
	sizes, method                    string
	seed                             uint64
	json, text                       string

	standinAddrs []netip.AddrPort
	filePairs    []pair
}

func (s *settings) flags() *ff.FlagSet {
	fs := ff.NewFlagSet("loadgen")
	fs.StringVar(&s.targets, 0, "targets", "", "daemons' calls addresses, separated by commas")
	fs.StringVar(&s.mix, 0, "mix", "", "services and weights, as in seller=10,payout=1")
	fs.StringVar(&s.once, 0, "once", "", "services of the mix whose calls may run at most once")
	fs.StringVar(&s.call, 0, "call", "", "nested chains, as in seller=stock+price")
	fs.StringVar(&s.direct, 0, "direct", "", "stand-ins to call without daemons, as in seller=127.0.0.1:9000+127.0.0.1:9001; with targets each way gets half of the calls")
	fs.StringVar(&s.standins, 0, "standins", "", "addresses of the stand-ins to read runs from")
	fs.StringVar(&s.files, 0, "files", "", "files of runs of stand-ins that are gone, as in payout=/path")
	fs.Float64Var(&s.rate, 0, "rate", 100, "calls per second")
	fs.DurationVar(&s.duration, 0, "duration", 10*time.Second, "time to start calls in")
	fs.IntVar(&s.count, 0, "count", 1_000_000, "largest number of calls")
	fs.IntVar(&s.inflight, 0, "inflight", 4096, "calls in progress above which calls are skipped")
	fs.DurationVar(&s.timeout, 0, "timeout", 10*time.Second, "time limit of one attempt")
	fs.IntVar(&s.attempts, 0, "attempts", 5, "attempts of a once call whose outcome is unknown")
	fs.DurationVar(&s.settle, 0, "settle", time.Second, "wait between the last answer and the reading of runs")
	fs.StringVar(&s.method, 0, "method", "GET", "method of calls that may be repeated; once calls use POST")
	fs.IntVar(&s.body, 0, "body", 64, "size of request bodies, but for GET")
	fs.StringVar(&s.sizes, 0, "sizes", "", "sizes of answers to pick from; -1 is a JSON answer, the default")
	fs.Uint64Var(&s.seed, 0, "seed", 1, "seed of the plan")
	fs.StringVar(&s.json, 0, "json", "", "file for the JSON report")
	fs.StringVar(&s.text, 0, "report", "", "file for the readable report; standard output if empty")
	return fs
}

func (s *settings) generator() (*generator.Generator, error) {
	services, err := s.services()
	if err != nil {
		return nil, err
	}
	targets, err := addresses(s.targets, ",")
	if err != nil {
		return nil, err
	}
	var sizes []int
	for _, text := range split(s.sizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			return nil, fmt.Errorf("sizes: %w", err)
		}
		sizes = append(sizes, size)
	}
	return generator.New(
		generator.WithTargets(targets),
		generator.WithServices(services),
		generator.WithRate(s.rate, s.duration, s.count),
		generator.WithInflight(s.inflight),
		generator.WithAttempts(s.timeout, s.attempts),
		generator.WithSeed(s.seed),
		generator.WithRequests(s.method, s.body, sizes),
	)
}

// parseRuns reads where the runs are counted.
func (s *settings) parseRuns() error {
	var err error
	if s.standinAddrs, err = addresses(s.standins, ","); err != nil {
		return err
	}
	if s.filePairs, err = pairs(s.files); err != nil {
		return err
	}
	return generator.Loopback(s.standinAddrs)
}

func (s *settings) services() ([]generator.Service, error) {
	calls, err := pairs(s.call)
	if err != nil {
		return nil, err
	}
	direct, err := pairs(s.direct)
	if err != nil {
		return nil, err
	}
	mix, err := pairs(s.mix)
	if err != nil {
		return nil, err
	}
	once := split(s.once, ",")
	var services []generator.Service
	for _, p := range mix {
		weight, err := strconv.Atoi(p.value)
		if err != nil {
			return nil, fmt.Errorf("mix: %w", err)
		}
		addrs, err := addresses(find(direct, p.name), "+")
		if err != nil {
			return nil, err
		}
		services = append(services, generator.Service{
			Name:   p.name,
			Weight: weight,
			Once:   slices.Contains(once, p.name),
			Call:   strings.ReplaceAll(find(calls, p.name), "+", ","),
			Direct: addrs,
		})
	}
	return services, nil
}

type pair struct {
	name, value string
}

// pairs splits name=value pairs, in their order.
func pairs(text string) ([]pair, error) {
	var list []pair
	for _, part := range split(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%q is not name=value", part)
		}
		list = append(list, pair{name, value})
	}
	return list, nil
}

func find(list []pair, name string) string {
	for _, p := range list {
		if p.name == name {
			return p.value
		}
	}
	return ""
}

func addresses(text, separator string) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for _, part := range split(text, separator) {
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, err
		}
		list = append(list, addr)
	}
	return list, nil
}

func split(text, separator string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, separator)
}
