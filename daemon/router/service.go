package router

import (
	"sync"
	"sync/atomic"
	"time"

	"bluebellhoist/core/wire"
)

// service holds the members of one service and their statistics.
type service struct {
	meanLatency movingAverage // of successful calls to all members
	index       atomic.Pointer[memberIndex]
	mu          sync.Mutex // held to replace the index and to eject a member
}

// memberIndex is the immutable index of the members of one service, built from one slice of members.
type memberIndex struct {
	source             []wire.Member
	all, local, remote []*candidate
	byName             map[string]*candidate // including members that are not ready
	meanSlots          float64               // of the members in all
}

// candidate is a member and its statistics.
type candidate struct {
	member wire.Member
	stats  *stats
}

// index returns a service and the index of its current members, which is empty if there are none.
func (r *Router) index(name string, now time.Time) (*service, *memberIndex) {
	members := r.members()
	if v, ok := r.services.Load(name); ok {
		s := v.(*service)
		if index := s.index.Load(); sameSlice(index.source, members) {
			return s, index
		}
	}
	return r.rebuild(name, members, now)
}

// rebuild replaces the index of a service. Services without members are removed, which bounds the map.
func (r *Router) rebuild(name string, members []wire.Member, now time.Time) (*service, *memberIndex) {
	created := &service{}
	created.index.Store(&memberIndex{})
	v, _ := r.services.LoadOrStore(name, created)
	s := v.(*service)
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.index.Load()
	if sameSlice(previous.source, members) && len(members) > 0 {
		return s, previous
	}
	index := newMemberIndex(name, r.domain, members, previous, now)
	s.index.Store(index)
	if len(index.byName) == 0 {
		r.services.CompareAndDelete(name, v)
	}
	return s, index
}

// sameSlice reports whether two slices have the same length and address. The index keeps its source slice reachable, so
// the address is not reused for another slice.
func sameSlice(a, b []wire.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func newMemberIndex(name, domain string, members []wire.Member, previous *memberIndex, now time.Time) *memberIndex {
	index := &memberIndex{source: members, byName: make(map[string]*candidate)}
	for i := range members {
		m := &members[i]
		if m.Service != name {
			continue
		}
		c := &candidate{member: *m}
		if old := previous.byName[m.Name]; old != nil && old.member.Since == m.Since && old.member.Addr == m.Addr {
			c.stats = old.stats
		} else {
			c.stats = &stats{firstSeen: now}
		}
		index.byName[m.Name] = c
		if !m.Ready || (m.State != wire.Alive && m.State != wire.Suspect) {
			continue
		}
		index.all = append(index.all, c)
		index.meanSlots += (c.slots() - index.meanSlots) / float64(len(index.all))
		if m.Domain == domain {
			index.local = append(index.local, c)
		} else {
			index.remote = append(index.remote, c)
		}
	}
	return index
}

// eject ejects a failing member unless more than half of the members would then be ejected. It returns the duration of
// the ejection, or zero. The lock keeps concurrent failures from exceeding the bound.
func (s *service) eject(c *candidate, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.index.Load().all
	ejected := 1
	for _, other := range all {
		if other.stats != c.stats && other.stats.ejected(now) {
			ejected++
		}
	}
	return c.stats.eject(2*ejected <= len(all), now)
}

// slowStartShare returns the fraction of its usual calls that a member gets: below 1 during slow start, then 1.
func (c *candidate) slowStartShare(now time.Time) float64 {
	// The member's clock may be ahead, so the time since this router first saw the member counts as well.
	age := max(now.Sub(time.UnixMilli(c.member.Since)), now.Sub(c.stats.firstSeen))
	if age >= slowStart {
		return 1
	}
	return max(0.1, float64(age)/float64(slowStart))
}

// relativeSpeed returns the speed of a member relative to the average of its service, at least minRelativeSpeed
// and at most 1.
func (c *candidate) relativeSpeed(now time.Time, serviceMean time.Duration, meanSlots float64) float64 {
	if serviceMean <= 0 {
		return 1
	}
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	if c.stats.probeDue(now) {
		return 1
	}
	speed := c.slots() / meanSlots * float64(serviceMean) / c.stats.expectedLatency(now, serviceMean)
	return min(max(speed, minRelativeSpeed), 1)
}
