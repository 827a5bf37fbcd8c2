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

// settings holds the values of the command-line flags.
type settings struct {
	targets, mix, atMostOnce, chains, direct     string
	standins, runsFiles                          string
	rate                                         float64
	duration, attemptTimeout, settle             time.Duration
	maxCalls, maxInFlight, maxAttempts, bodySize int
	answerSizes, method                          string
	seed                                         uint64
	jsonPath, textPath                           string

	standinAddrs  []netip.AddrPort
	runsFilePaths []nameValue
}

func (s *settings) flags() *ff.FlagSet {
	fs := ff.NewFlagSet("loadgen")
	fs.StringVar(&s.targets, 0, "targets", "", "addresses at which daemons accept calls, separated by commas")
	fs.StringVar(&s.mix, 0, "mix", "", "services and their weights, as in seller=10,payout=1")
	fs.StringVar(&s.atMostOnce, 0, "once", "", "services of the mix whose calls may run at most once")
	fs.StringVar(&s.chains, 0, "call", "", "chains of nested calls, as in seller=stock+price")
	fs.StringVar(&s.direct, 0, "direct", "", "stand-ins to call without a daemon, as in seller=127.0.0.1:9000+127.0.0.1:9001; if targets are set too, half of the calls are direct")
	fs.StringVar(&s.standins, 0, "standins", "", "addresses of the stand-ins to read run counts from, separated by commas")
	fs.StringVar(&s.runsFiles, 0, "files", "", "runs files of stopped stand-ins, as in payout=/path")
	fs.Float64Var(&s.rate, 0, "rate", 100, "average number of calls per second")
	fs.DurationVar(&s.duration, 0, "duration", 10*time.Second, "time during which calls are started")
	fs.IntVar(&s.maxCalls, 0, "count", 1_000_000, "maximum number of calls")
	fs.IntVar(&s.maxInFlight, 0, "inflight", 4096, "maximum number of calls in flight; calls planned above it are skipped")
	fs.DurationVar(&s.attemptTimeout, 0, "timeout", 10*time.Second, "timeout of one attempt")
	fs.IntVar(&s.maxAttempts, 0, "attempts", 5, "maximum number of attempts of an at-most-once call whose outcome is unknown")
	fs.DurationVar(&s.settle, 0, "settle", time.Second, "delay between the last answer and reading the run counts")
	fs.StringVar(&s.method, 0, "method", "GET", "method of calls that may run more than once; at-most-once calls use POST")
	fs.IntVar(&s.bodySize, 0, "body", 64, "size of request bodies in bytes; GET requests have none")
	fs.StringVar(&s.answerSizes, 0, "sizes", "", "sizes of answers in bytes to choose from, separated by commas; -1, the default, is a JSON answer")
	fs.Uint64Var(&s.seed, 0, "seed", 1, "seed of the random sequence of calls")
	fs.StringVar(&s.jsonPath, 0, "json", "", "file for the JSON report")
	fs.StringVar(&s.textPath, 0, "report", "", "file for the text report; standard output if empty")
	return fs
}

// newGenerator returns a generator with these settings.
func (s *settings) newGenerator() (*generator.Generator, error) {
	services, err := s.services()
	if err != nil {
		return nil, err
	}
	targets, err := parseAddrs(s.targets, ",")
	if err != nil {
		return nil, err
	}
	var answerSizes []int
	for _, text := range split(s.answerSizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			return nil, fmt.Errorf("sizes: %w", err)
		}
		answerSizes = append(answerSizes, size)
	}
	return generator.New(
		generator.WithTargets(targets),
		generator.WithServices(services),
		generator.WithRate(s.rate, s.duration, s.maxCalls),
		generator.WithMaxInFlight(s.maxInFlight),
		generator.WithAttempts(s.attemptTimeout, s.maxAttempts),
		generator.WithSeed(s.seed),
		generator.WithRequests(s.method, s.bodySize, answerSizes),
	)
}

// parseRunSources parses the addresses and files from which run counts are read.
func (s *settings) parseRunSources() error {
	var err error
	if s.standinAddrs, err = parseAddrs(s.standins, ","); err != nil {
		return err
	}
	if s.runsFilePaths, err = parseNameValues(s.runsFiles); err != nil {
		return err
	}
	return generator.CheckLoopback(s.standinAddrs)
}

// services returns the services of the mix.
func (s *settings) services() ([]generator.Service, error) {
	chains, err := parseNameValues(s.chains)
	if err != nil {
		return nil, err
	}
	direct, err := parseNameValues(s.direct)
	if err != nil {
		return nil, err
	}
	mix, err := parseNameValues(s.mix)
	if err != nil {
		return nil, err
	}
	atMostOnce := split(s.atMostOnce, ",")
	var services []generator.Service
	for _, p := range mix {
		weight, err := strconv.Atoi(p.value)
		if err != nil {
			return nil, fmt.Errorf("mix: %w", err)
		}
		addrs, err := parseAddrs(lookup(direct, p.name), "+")
		if err != nil {
			return nil, err
		}
		services = append(services, generator.Service{
			Name:          p.name,
			Weight:        weight,
			AtMostOnce:    slices.Contains(atMostOnce, p.name),
			Chain:         strings.ReplaceAll(lookup(chains, p.name), "+", ","),
			DirectTargets: addrs,
		})
	}
	return services, nil
}

type nameValue struct {
	name, value string
}

// parseNameValues parses name=value pairs that are separated by commas, and keeps their order.
func parseNameValues(text string) ([]nameValue, error) {
	var list []nameValue
	for _, part := range split(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%q is not name=value", part)
		}
		list = append(list, nameValue{name, value})
	}
	return list, nil
}

// lookup returns the value of the first pair with the given name, or an empty string.
func lookup(list []nameValue, name string) string {
	for _, p := range list {
		if p.name == name {
			return p.value
		}
	}
	return ""
}

// parseAddrs parses the addresses in text.
func parseAddrs(text, separator string) ([]netip.AddrPort, error) {
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

// split is strings.Split, but returns no elements for an empty text.
func split(text, separator string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, separator)
}
