package router

import (
	"sync"
	"sync/atomic"
	"time"

	"bluebellhoist/core/wire"
)

// service holds what is known about the members of one service.
type service struct {
	typical latency // of all members
	group   atomic.Pointer[group]
	mu      sync.Mutex // held to replace the group and to eject a member
}

// group is the immutable index of one service for one slice of members.
type group struct {
	source             []wire.Member
	all, local, remote []*candidate
	known              map[string]*candidate // ready or not, by name
	slots              float64               // mean of all
}

// candidate is one member and the observations about it.
type candidate struct {
	member wire.Member
	stats  *stats
}

// group returns the index of a service for the present members, or nil if there are none.
func (r *Router) group(name string, now time.Time) (*service, *group) {
	members := r.members()
	if v, ok := r.services.Load(name); ok {
		s := v.(*service)
		if g := s.group.Load(); same(g.source, members) {
			return s, g
		}
	}
	return r.rebuild(name, members, now)
}

// rebuild replaces the index of a service. Only services that have members are kept, which bounds the table.
func (r *Router) rebuild(name string, members []wire.Member, now time.Time) (*service, *group) {
	fresh := &service{}
	fresh.group.Store(&group{})
	v, _ := r.services.LoadOrStore(name, fresh)
	s := v.(*service)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.group.Load()
	if same(before.source, members) && len(members) > 0 {
		return s, before
	}
	g := index(name, r.domain, members, before, now)
	s.group.Store(g)
	if len(g.known) == 0 {
		r.services.CompareAndDelete(name, v)
	}
	return s, g
}

// same reports whether two slices are the identical value. A kept slice cannot be freed, so its address is not reused.
func same(a, b []wire.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func index(name, domain string, members []wire.Member, before *group, now time.Time) *group {
	g := &group{source: members, known: make(map[string]*candidate)}
	for i := range members {
		m := &members[i]
		if m.Service != name {
			continue
		}
		c := &candidate{member: *m}
		if old := before.known[m.Name]; old != nil && old.member.Since == m.Since && old.member.Addr == m.Addr {
			c.stats = old.stats
		} else {
			c.stats = &stats{seen: now}
		}
		g.known[m.Name] = c
		if !m.Ready || (m.State != wire.Alive && m.State != wire.Suspect) {
			continue
		}
		g.all = append(g.all, c)
		g.slots += (c.slots() - g.slots) / float64(len(g.all))
		if m.Domain == domain {
			g.local = append(g.local, c)
		} else {
			g.remote = append(g.remote, c)
		}
	}
	return g
}

// eject takes a failing member out of the selection, unless half of the members are out, and returns for how long.
// The lock keeps concurrent failures from passing that bound.
func (s *service) eject(c *candidate, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.group.Load().all
	out := 1
	for _, other := range all {
		if other.stats != c.stats && other.stats.ejected(now) {
			out++
		}
	}
	return c.stats.eject(2*out <= len(all), now)
}

// ramp returns the share of its work that a member takes during slow start.
func (c *candidate) ramp(now time.Time) float64 {
	// The clock of the member may be ahead, so the time since it was first seen counts as well.
	age := max(now.Sub(time.UnixMilli(c.member.Since)), now.Sub(c.stats.seen))
	if age >= slowStart {
		return 1
	}
	return max(0.1, float64(age)/float64(slowStart))
}

// share returns the speed of a member relative to that of the service, at most 1 and at least minShare.
func (c *candidate) share(now time.Time, typical time.Duration, slots float64) float64 {
	if typical <= 0 {
		return 1
	}
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	if c.stats.trial(now) {
		return 1
	}
	speed := c.slots() / slots * float64(typical) / c.stats.latency(now, typical)
	return min(max(speed, minShare), 1)
}
