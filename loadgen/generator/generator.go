// Package generator sends calls at a given average rate and checks their answers.
package generator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"bluebellhoist/core/waiter"
)

// Limits of one load.
const (
	MaxRate     = 200_000 // calls per second
	MaxDuration = 10 * time.Minute
	MaxCalls    = 10_000_000
)

var (
	// ErrPlan reports settings from which no load can be generated.
	ErrPlan = errors.New("load cannot be planned")
	// ErrTarget reports an address that is not on the loopback interface or has no port.
	ErrTarget = errors.New("target is not a loopback address")
)

// Generator sends an open-loop load: it starts calls at their planned times without waiting for earlier answers.
type Generator struct {
	targets        []netip.AddrPort
	services       []Service
	rate           float64
	duration       time.Duration
	maxCalls       int
	maxInFlight    int
	attemptTimeout time.Duration
	maxAttempts    int
	seed           uint64
	answerSizes    []int
	bodySize       int
	method         string
	client         *http.Client
}

// Option configures a Generator.
type Option func(*Generator)

// WithTargets sets the addresses at which the daemons accept calls.
func WithTargets(targets []netip.AddrPort) Option {
	return func(g *Generator) { g.targets = targets }
}

// WithServices sets the services to call and their weights.
func WithServices(services []Service) Option {
	return func(g *Generator) { g.services = services }
}

// WithRate sets the average number of calls per second. The load ends after duration or after maxCalls planned calls,
// whichever comes first.
func WithRate(rate float64, duration time.Duration, maxCalls int) Option {
	return func(g *Generator) { g.rate, g.duration, g.maxCalls = rate, duration, maxCalls }
}

// WithMaxInFlight sets the maximum number of calls in flight. Calls planned above it are skipped.
func WithMaxInFlight(limit int) Option {
	return func(g *Generator) { g.maxInFlight = limit }
}

// WithAttempts sets the timeout of one attempt and the maximum number of attempts of an at-most-once call.
func WithAttempts(timeout time.Duration, maxAttempts int) Option {
	return func(g *Generator) { g.attemptTimeout, g.maxAttempts = timeout, maxAttempts }
}

// WithSeed sets the seed of the random sequence of calls.
func WithSeed(seed uint64) Option {
	return func(g *Generator) { g.seed = seed }
}

// WithRequests sets the method of calls that may run more than once, the size of request bodies and the sizes of answers
// to choose from.
func WithRequests(method string, bodySize int, answerSizes []int) Option {
	return func(g *Generator) { g.method, g.bodySize, g.answerSizes = method, bodySize, answerSizes }
}

// New returns a generator, or an error if a setting exceeds its limit or a target is not on the loopback interface.
func New(opts ...Option) (*Generator, error) {
	g := &Generator{maxInFlight: 4096, attemptTimeout: 10 * time.Second, maxAttempts: 5, seed: 1, method: "GET"}
	for _, opt := range opts {
		opt(g)
	}
	// One connection is kept for each call in flight, so that latencies measured in a burst do not include connecting.
	transport := &http.Transport{
		MaxIdleConnsPerHost: g.maxInFlight,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	g.client = &http.Client{Transport: transport, CheckRedirect: RefuseRedirect}
	return g, g.validate()
}

func (g *Generator) validate() error {
	if !(g.rate > 0 && g.rate <= MaxRate) {
		return fmt.Errorf("%w: rate %v is not between 0 and %d", ErrPlan, g.rate, MaxRate)
	}
	if g.duration <= 0 || g.duration > MaxDuration {
		return fmt.Errorf("%w: duration %v is not between 0 and %v", ErrPlan, g.duration, MaxDuration)
	}
	if g.maxCalls <= 0 || g.maxCalls > MaxCalls {
		return fmt.Errorf("%w: count %d is not between 1 and %d", ErrPlan, g.maxCalls, MaxCalls)
	}
	if g.maxInFlight < 1 || g.maxAttempts < 1 || g.attemptTimeout <= 0 {
		return fmt.Errorf("%w: inflight, attempts and timeout must be above 0", ErrPlan)
	}
	if len(g.services) == 0 {
		return fmt.Errorf("%w: no service", ErrPlan)
	}
	if err := CheckLoopback(g.targets); err != nil {
		return err
	}
	for _, s := range g.services {
		if s.Weight < 1 {
			return fmt.Errorf("%w: service %q: weight must be above 0", ErrPlan, s.Name)
		}
		if len(g.targets) == 0 && (s.AtMostOnce || len(s.DirectTargets) == 0) {
			return fmt.Errorf("%w: service %q has no target", ErrPlan, s.Name)
		}
		if err := CheckLoopback(s.DirectTargets); err != nil {
			return err
		}
	}
	return nil
}

// RefuseRedirect is a CheckRedirect function that follows no redirect, since it could lead off the loopback interface.
func RefuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// CheckLoopback returns an error for the first address that is not on the loopback interface or has no port.
func CheckLoopback(addrs []netip.AddrPort) error {
	for _, addr := range addrs {
		if !addr.Addr().Unmap().IsLoopback() || addr.Port() == 0 {
			return fmt.Errorf("%w: %v", ErrTarget, addr)
		}
	}
	return nil
}

// Run sends the load, passes each result to handle, and returns the number of skipped calls. When ctx ends, it starts no
// more calls and cancels those in flight. It returns after the last result. Calls to handle do not overlap.
func (g *Generator) Run(ctx context.Context, handle func(Result)) (int, error) {
	results := make(chan Result, 1024)
	done := make(chan callCounts, 1)
	go func() { done <- g.startCalls(ctx, results) }()
	received, total := 0, -1
	var counts callCounts
	for total < 0 || received < total {
		select {
		case r := <-results:
			received++
			handle(r)
		case counts = <-done:
			total = counts.sent
		}
	}
	g.client.CloseIdleConnections()
	return counts.skipped, counts.err
}

// callCounts counts the calls that startCalls started and skipped.
type callCounts struct {
	sent    int
	skipped int
	err     error
}

// startCalls starts each call at its planned time. When it falls behind, it starts overdue calls without a pause until it
// has caught up.
func (g *Generator) startCalls(ctx context.Context, results chan<- Result) callCounts {
	var counts callCounts
	planner := newPlanner(g)
	slots := make(chan struct{}, g.maxInFlight)
	start := time.Now()
	due := start
	for counts.sent+counts.skipped < g.maxCalls && ctx.Err() == nil {
		due = due.Add(planner.interArrivalTime(g.rate))
		if due.Sub(start) > g.duration {
			return counts
		}
		if wait := time.Until(due); wait > 0 && !waiter.SleepCompleted(ctx, wait) {
			return counts
		}
		var c Call
		if c, counts.err = planner.next(due); counts.err != nil {
			return counts
		}
		select {
		case slots <- struct{}{}:
		default:
			counts.skipped++
			continue
		}
		counts.sent++
		go func() {
			r := g.callWithRetries(ctx, c)
			<-slots
			results <- r
		}()
	}
	return counts
}
