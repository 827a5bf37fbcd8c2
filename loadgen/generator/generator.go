// Package generator sends calls at a given rate and checks their answers.
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

// Bounds of the load of one run.
const (
	MaxRate     = 200_000
	MaxDuration = 10 * time.Minute
	MaxCount    = 10_000_000
)

var (
	// ErrPlan reports settings that give no load.
	ErrPlan = errors.New("load cannot be planned")
	// ErrTarget reports a target that is not on the loopback interface.
	ErrTarget = errors.New("target is not a loopback address")
)

// Generator sends an open-loop load: it does not wait for answers before it sends more.
type Generator struct {
	targets  []netip.AddrPort
	services []Service
	rate     float64
	duration time.Duration
	count    int
	inflight int
	timeout  time.Duration
	attempts int
	seed     uint64
	sizes    []int
	body     int
	method   string
	client   *http.Client
}

// Option changes a setting of New.
type Option func(*Generator)

// WithTargets sets the daemons' calls addresses.
func WithTargets(targets []netip.AddrPort) Option {
	return func(g *Generator) { g.targets = targets }
}

// WithServices sets the mix of services.
func WithServices(services []Service) Option {
	return func(g *Generator) { g.services = services }
}

// WithRate sets the calls per second, the longest time and the largest number of calls.
func WithRate(rate float64, duration time.Duration, count int) Option {
	return func(g *Generator) { g.rate, g.duration, g.count = rate, duration, count }
}

// WithInflight sets the number of calls in progress above which planned calls are skipped.
func WithInflight(limit int) Option {
	return func(g *Generator) { g.inflight = limit }
}

// WithAttempts sets the time limit of one attempt and the number of attempts of a once call.
func WithAttempts(timeout time.Duration, attempts int) Option {
	return func(g *Generator) { g.timeout, g.attempts = timeout, attempts }
}

// WithSeed sets the seed of the plan.
func WithSeed(seed uint64) Option {
	return func(g *Generator) { g.seed = seed }
}

// WithRequests sets the method of calls that may be repeated, the size of bodies and the sizes of answers.
func WithRequests(method string, body int, sizes []int) Option {
	return func(g *Generator) { g.method, g.body, g.sizes = method, body, sizes }
}

// New returns a generator, or an error if the load is unbounded or a target is not on the loopback interface.
func New(opts ...Option) (*Generator, error) {
	g := &Generator{inflight: 4096, timeout: 10 * time.Second, attempts: 5, seed: 1, method: "GET"}
	for _, opt := range opts {
		opt(g)
	}
	// Connections are kept for all calls in progress, so that a burst does not measure connects.
	transport := &http.Transport{
		MaxIdleConnsPerHost: g.inflight,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	g.client = &http.Client{Transport: transport, CheckRedirect: Stay}
	return g, g.validate()
}

func (g *Generator) validate() error {
	if !(g.rate > 0 && g.rate <= MaxRate) {
		return fmt.Errorf("%w: rate %v is not between 0 and %d", ErrPlan, g.rate, MaxRate)
	}
	if g.duration <= 0 || g.duration > MaxDuration {
		return fmt.Errorf("%w: duration %v is not between 0 and %v", ErrPlan, g.duration, MaxDuration)
	}
	if g.count <= 0 || g.count > MaxCount {
		return fmt.Errorf("%w: count %d is not between 1 and %d", ErrPlan, g.count, MaxCount)
	}
	if g.inflight < 1 || g.attempts < 1 || g.timeout <= 0 {
		return fmt.Errorf("%w: inflight, attempts and timeout must be above 0", ErrPlan)
	}
	if len(g.services) == 0 {
		return fmt.Errorf("%w: no service", ErrPlan)
	}
	if err := Loopback(g.targets); err != nil {
		return err
	}
	for _, s := range g.services {
		if s.Weight < 1 {
			return fmt.Errorf("%w: service %q: weight must be above 0", ErrPlan, s.Name)
		}
		if len(g.targets) == 0 && (s.Once || len(s.Direct) == 0) {
			return fmt.Errorf("%w: service %q has no target", ErrPlan, s.Name)
		}
		if err := Loopback(s.Direct); err != nil {
			return err
		}
	}
	return nil
}

// Stay keeps an HTTP client from following redirects, which could lead off the loopback interface.
func Stay(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Loopback reports the first address that is not on the loopback interface.
func Loopback(addrs []netip.AddrPort) error {
	for _, addr := range addrs {
		if !addr.Addr().Unmap().IsLoopback() || addr.Port() == 0 {
			return fmt.Errorf("%w: %v", ErrTarget, addr)
		}
	}
	return nil
}

// Run sends the load, passes each result to handle, and returns the number of calls skipped.
// It ends after the last call, or when ctx ends. Calls to handle do not overlap.
func (g *Generator) Run(ctx context.Context, handle func(Result)) (int, error) {
	results := make(chan Result, 1024)
	ended := make(chan planned, 1)
	go func() { ended <- g.plan(ctx, results) }()
	received, total := 0, -1
	var end planned
	for total < 0 || received < total {
		select {
		case r := <-results:
			received++
			handle(r)
		case end = <-ended:
			total = end.sent
		}
	}
	g.client.CloseIdleConnections()
	return end.skipped, end.err
}

// planned counts the calls that plan started and left out.
type planned struct {
	sent    int
	skipped int
	err     error
}

// plan starts each call at its time. When it is late it starts calls at once until it has caught up.
func (g *Generator) plan(ctx context.Context, results chan<- Result) planned {
	var p planned
	source := newPlanner(g)
	slots := make(chan struct{}, g.inflight)
	start := time.Now()
	due := start
	for p.sent+p.skipped < g.count && ctx.Err() == nil {
		due = due.Add(source.gap(g.rate))
		if due.Sub(start) > g.duration {
			return p
		}
		if wait := time.Until(due); wait > 0 && !waiter.Slept(ctx, wait) {
			return p
		}
		var c Call
		if c, p.err = source.next(due); p.err != nil {
			return p
		}
		select {
		case slots <- struct{}{}:
		default:
			p.skipped++
			continue
		}
		p.sent++
		go func() {
			r := g.run(ctx, c)
			<-slots
			results <- r
		}()
	}
	return p
}
