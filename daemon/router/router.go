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
func (r *Router) Pick(name string, skip []string) (wire.Member, func(Outcome), error) {
	now := r.now()
	s, g := r.group(name, now)
	if g == nil || len(g.all) == 0 {
		return wire.Member{}, nil, r.missing(name)
	}
	p := pick{router: r, service: s, group: g, skip: skip, now: now, typical: s.typical.value()}
	chosen := p.choose()
	if chosen == nil {
		return wire.Member{}, nil, fmt.Errorf("%w: service %q: all %d ready members were tried or are out of reach", ErrNoMember, name, len(g.all))
	}
	chosen.stats.claimTrial(now)
	chosen.stats.begin(now)
	c := &call{router: r, service: s, chosen: chosen, start: now}
	return chosen.member, c.end, nil
}

// missing explains why a service has no ready member.
func (r *Router) missing(name string) error {
	total, ready := 0, 0
	for _, m := range r.members() {
		if m.Service != name {
			continue
		}
		total++
		if m.Ready {
			ready++
		}
	}
	if total == 0 {
		return fmt.Errorf("%w: service %q: no upstream is announced", ErrNoMember, name)
	}
	return fmt.Errorf("%w: service %q: %d members known, %d ready, none of these alive", ErrNoMember, name, total, ready)
}

// call is a call in progress at a member.
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
	if o.Kind == OK {
		c.service.typical.observe(o.Latency, now)
	}
	if failing := c.chosen.stats.end(o, c.start, now, c.service.typical.value()); !failing {
		return
	}
	if d := c.service.eject(c.chosen, now); d > 0 {
		c.router.ejected(c.chosen.member, d)
	}
}

// pick is the state of one selection.
type pick struct {
	router  *Router
	service *service
	group   *group
	skip    []string
	now     time.Time
	typical time.Duration
}

// choose prefers members of the own failure domain while they accept, and tries an ejected one if there is no other.
func (p *pick) choose() *candidate {
	chosen, here := p.best(p.group.local)
	remote, there := p.best(p.group.remote)
	if remote != nil && (chosen == nil || spills(here, there)) {
		chosen, here = remote, there
	}
	if chosen == nil || (here.score > 0 && chosen.stats.failing()) {
		return p.least()
	}
	return chosen
}

// best returns the better of two random members, or nil if none may be used.
func (p *pick) best(from []*candidate) (*candidate, cost) {
	first := p.sample(from, nil)
	if first == nil {
		return nil, cost{}
	}
	a := first.stats.cost(first, p.now, p.typical)
	second := p.sample(from, first)
	if second == nil {
		return first, a
	}
	if b := second.stats.cost(second, p.now, p.typical); b.score < a.score {
		return second, b
	}
	return first, a
}

// sample returns a random usable member other than exclude, or nil. The first tries are independent, since a scan alone
// would give the neighbour of an unusable member twice its share.
func (p *pick) sample(from []*candidate, exclude *candidate) *candidate {
	if len(from) == 0 || (len(from) == 1 && from[0] == exclude) {
		return nil
	}
	alone := len(from) == 1
	for range tries {
		if c := from[p.router.random(len(from))]; c != exclude && p.usable(c, alone) {
			return c
		}
	}
	start := p.router.random(len(from))
	for i := range from {
		if c := from[(start+i)%len(from)]; c != exclude && p.usable(c, alone) {
			return c
		}
	}
	return nil
}

// usable reports whether a member takes part in the selection. A member that is slower or smaller than usual does so
// with a lower probability, because pairs of slow members would otherwise get more calls than they can serve; this does not
// apply to one that is alone in its failure domain. During slow start the probability rises.
func (p *pick) usable(c *candidate, alone bool) bool {
	if c.stats.ejected(p.now) || !c.stats.reachable(p.now) || slices.Contains(p.skip, c.member.Name) {
		return false
	}
	share := c.ramp(p.now)
	if !alone {
		share *= c.share(p.now, p.typical, p.group.slots)
	}
	return share >= 1 || p.router.random(1000) < int(share*1000)
}

// spills reports whether a call goes to another failure domain although the own one has a member.
func spills(here, there cost) bool {
	if there.score == 0 {
		return here.rejects // A trial may take long to fail, so it is not worth leaving an accepting domain for.
	}
	if here.rejects != there.rejects {
		return here.rejects
	}
	// If both reject, rejections tell nothing: leaving would only swap calls between domains that are full.
	if here.utilisation < busy {
		return here.latency > idleSpill*there.latency
	}
	return here.load > busySpill*there.load
}

// least returns the best member regardless of ejection and slow start, or nil if all were tried before. Members that
// are not ejected come first. A call that was refused elsewhere does not wait for a connect that is bound to fail.
func (p *pick) least() *candidate {
	var best *candidate
	var lowest float64
	for _, c := range p.group.all {
		if slices.Contains(p.skip, c.member.Name) || len(p.skip) > 0 && !c.stats.reachable(p.now) {
			continue
		}
		score := c.stats.cost(c, p.now, p.typical).score
		if c.stats.ejected(p.now) {
			score *= ejectedPenalty
		}
		if best == nil || score < lowest {
			best, lowest = c, score
		}
	}
	return best
}
