package allocator

import "time"

// Lease is how long after the start of a barrier a controller may allot tokens.
const Lease = 3 * time.Second

// share derives which share of every limit this controller may allot. The shares of all controllers add up to at most 1 at any
// time.
//
// A controller allots only within one lease of the start of its last barrier, so it knows every membership that was committed
// a lease ago. It uses the smallest share of those that were in effect within the last lease, which include the last one that
// was committed a lease ago. So no controller has more than its share of that one membership.
type share struct {
	memberships []membership  // those in effect within the last lease, oldest first
	until       time.Duration // end of the lease
	unheld      time.Duration // total time without a lease
}

// membership is what a membership of the replicated log says about this controller.
type membership struct {
	from   time.Duration // when it was applied
	voters int           // number of voters
	voting bool          // this controller is a voter
}

// newShare returns the share of a process that starts now. It is zero for the first lease, since the process does not know
// which memberships were in effect before.
func newShare(now time.Duration) share {
	return share{memberships: []membership{{from: now}}, until: now}
}

// apply records that the next membership is in effect.
func (s *share) apply(now time.Duration, voters int, voting bool) {
	s.memberships = append(s.memberships, membership{now, voters, voting})
	s.prune(now)
}

// skip records that memberships may have been in effect that this controller has not seen.
func (s *share) skip(now time.Duration) {
	s.apply(now, 0, false)
}

// prune removes the memberships that were replaced more than a lease ago.
func (s *share) prune(now time.Duration) {
	for len(s.memberships) > 1 && s.memberships[1].from < now-Lease {
		s.memberships = s.memberships[1:]
	}
}

// prove records a barrier that began at start and has completed.
func (s *share) prove(start, now time.Duration) {
	if now > s.until {
		s.unheld += now - s.until
		s.until = now
	}
	s.until = max(s.until, start+Lease)
}

// proven reports whether the lease is valid.
func (s *share) proven(now time.Duration) bool {
	return now < s.until
}

// held returns the total time with a lease, by which buckets are refilled. While a controller has no lease its share may
// already belong to others.
func (s *share) held(now time.Duration) time.Duration {
	return min(now, s.until) - s.unheld
}

// current returns what may be allotted: the smallest share of the memberships, and their largest number of voters.
func (s *share) current(now time.Duration) portion {
	s.prune(now)
	p := portion{share: 1}
	for _, m := range s.memberships {
		p.voters = max(p.voters, m.voters)
		if !m.voting {
			p.share = 0
		} else {
			p.share = min(p.share, 1/float64(m.voters))
		}
	}
	return p
}
