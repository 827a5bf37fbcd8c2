// Package router selects the member that a call is sent to.
package router

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhoist/core/wire"
)

// ErrNoMember is returned when no member can take the call.
var ErrNoMember = errors.New("no member")

// Router selects members of services. Its methods may be called concurrently.
type Router struct {
	members func() []wire.Member
	domain  string
	random  func(n int) int
	now     func() time.Time
	ejected func(member wire.Member, duration time.Duration)

	services sync.Map // of *service by name
}

// Option configures a Router.
type Option func(*Router)

// WithMembers sets the source of members: an immutable slice that is replaced on every change.
func WithMembers(members func() []wire.Member) Option {
	return func(r *Router) { r.members = members }
}

// WithDomain sets the failure domain whose members are preferred.
func WithDomain(domain string) Option {
	return func(r *Router) { r.domain = domain }
}

// WithRandom sets the random source: a function that returns a number in [0, n) and may be called concurrently.
func WithRandom(random func(n int) int) Option {
	return func(r *Router) { r.random = random }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(r *Router) { r.now = now }
}

// WithEjected sets a function that is called for each ejection.
func WithEjected(ejected func(member wire.Member, duration time.Duration)) Option {
	return func(r *Router) { r.ejected = ejected }
}

// New returns a router.
func New(opts ...Option) *Router {
	r := &Router{
		members: func() []wire.Member { return nil },
		random:  rand.IntN,
		now:     time.Now,
		ejected: func(wire.Member, time.Duration) {},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Pick selects a member of the service that is not named in skip. The caller must call the returned function once with
// the outcome of the call; further calls of it have no effect.
func (r *Router) Pick(service string, skip []string) (wire.Member, func(Outcome), error) {
	now := r.now()
	s, index := r.index(service, now)
	if index == nil || len(index.all) == 0 {
		return wire.Member{}, nil, r.noMemberError(service)
	}
	p := pick{router: r, service: s, index: index, skip: skip, now: now, serviceMean: s.meanLatency.value()}
	chosen := p.choose()
	if chosen == nil {
		return wire.Member{}, nil, fmt.Errorf("%w: service %q: all %d ready members were tried or are unreachable", ErrNoMember, service, len(index.all))
	}
	chosen.stats.claimReconnect(now)
	chosen.stats.begin(now)
	c := &call{router: r, service: s, chosen: chosen, start: now}
	return chosen.member, c.end, nil
}

// noMemberError returns the error for a service without a ready member.
func (r *Router) noMemberError(service string) error {
	total, ready := 0, 0
	for _, m := range r.members() {
		if m.Service != service {
			continue
		}
		total++
		if m.Ready {
			ready++
		}
	}
	if total == 0 {
		return fmt.Errorf("%w: service %q: no upstream is announced", ErrNoMember, service)
	}
	return fmt.Errorf("%w: service %q: %d members known, %d ready, none of these alive", ErrNoMember, service, total, ready)
}

// call is an in-flight call to a member.
type call struct {
	router  *Router
	service *service
	chosen  *candidate
	start   time.Time
	ended   atomic.Bool
}

func (c *call) end(o Outcome) {
	if c.ended.Swap(true) {
		return
	}
	now := c.router.now()
	if o.Result == OK {
		c.service.meanLatency.observe(o.Latency, now)
	}
	if failing := c.chosen.stats.end(o, c.start, now, c.service.meanLatency.value()); !failing {
		return
	}
	if d := c.service.eject(c.chosen, now); d > 0 {
		c.router.ejected(c.chosen.member, d)
	}
}

// pick is the state of one selection.
type pick struct {
	router      *Router
	service     *service
	index       *memberIndex
	skip        []string
	now         time.Time
	serviceMean time.Duration
}

// choose prefers members in the same failure domain while they accept calls. If no member is eligible, or the best one
// is failing and not due for a probe, it falls back to the cheapest member that was not selected yet, even an ejected one.
func (p *pick) choose() *candidate {
	chosen, chosenCost := p.bestOfTwo(p.index.local)
	remote, remoteCost := p.bestOfTwo(p.index.remote)
	if remote != nil && (chosen == nil || shouldSpill(chosenCost, remoteCost)) {
		chosen, chosenCost = remote, remoteCost
	}
	if chosen == nil || (chosenCost.score > 0 && chosen.stats.failing()) {
		return p.fallback()
	}
	return chosen
}

// bestOfTwo returns the cheaper of two random eligible members and its cost, or nil if none is eligible.
func (p *pick) bestOfTwo(candidates []*candidate) (*candidate, cost) {
	first := p.sample(candidates, nil)
	if first == nil {
		return nil, cost{}
	}
	firstCost := first.stats.cost(first, p.now, p.serviceMean)
	second := p.sample(candidates, first)
	if second == nil {
		return first, firstCost
	}
	if secondCost := second.stats.cost(second, p.now, p.serviceMean); secondCost.score < firstCost.score {
		return second, secondCost
	}
	return first, firstCost
}

// sample returns a random eligible member other than exclude, or nil. It draws independent samples before it scans,
// because a scan alone would double the share of the member that follows an ineligible one.
func (p *pick) sample(candidates []*candidate, exclude *candidate) *candidate {
	if len(candidates) == 0 || (len(candidates) == 1 && candidates[0] == exclude) {
		return nil
	}
	single := len(candidates) == 1
	for range maxSamples {
		if c := candidates[p.router.random(len(candidates))]; c != exclude && p.eligible(c, single) {
			return c
		}
	}
	start := p.router.random(len(candidates))
	for i := range candidates {
		if c := candidates[(start+i)%len(candidates)]; c != exclude && p.eligible(c, single) {
			return c
		}
	}
	return nil
}

// eligible reports whether a member takes part in the selection. A member that is slower or has fewer slots than the
// service average does so with a lower probability, because pairs of slow members would otherwise get more calls than
// they can serve. This does not apply to the only local or the only remote member. During slow start the probability
// rises.
func (p *pick) eligible(c *candidate, single bool) bool {
	if c.stats.ejected(p.now) || !c.stats.reachable(p.now) || slices.Contains(p.skip, c.member.Name) {
		return false
	}
	probability := c.slowStartShare(p.now)
	if !single {
		probability *= c.relativeSpeed(p.now, p.serviceMean, p.index.meanSlots)
	}
	return probability >= 1 || p.router.random(1000) < int(probability*1000)
}

// shouldSpill reports whether a call goes to another failure domain although a local member is available.
func shouldSpill(local, remote cost) bool {
	if remote.score == 0 {
		return local.refusedRecently // a probe may take long to fail, so it is no reason to leave a domain that accepts calls
	}
	if local.refusedRecently != remote.refusedRecently {
		return local.refusedRecently
	}
	// If both refuse calls, refusals are no criterion: spilling would only exchange calls between full domains.
	if local.utilization < busyUtilization {
		return local.latency > idleSpillRatio*remote.latency
	}
	return local.loadedLatency > busySpillRatio*remote.loadedLatency
}

// fallback returns the cheapest member that is not in skip, regardless of ejection and slow start, or nil if there is
// none. A score penalty ranks ejected members last. A retry skips unreachable members, since their connect would
// probably fail again.
func (p *pick) fallback() *candidate {
	var best *candidate
	var lowest float64
	for _, c := range p.index.all {
		if slices.Contains(p.skip, c.member.Name) || len(p.skip) > 0 && !c.stats.reachable(p.now) {
			continue
		}
		score := c.stats.cost(c, p.now, p.serviceMean).score
		if c.stats.ejected(p.now) {
			score *= ejectedPenalty
		}
		if best == nil || score < lowest {
			best, lowest = c, score
		}
	}
	return best
}
