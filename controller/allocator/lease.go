package allocator

import "time"

// Lease is how long after the start of a barrier a controller may allot tokens.
const Lease = 3 * time.Second

// lease is the lease of this controller. It derives from the memberships which share of every limit the controller may allot.
// The shares of all controllers add up to at most 1 at any time.
//
// A controller allots only within one lease of the start of its last barrier, so it knows every membership that was committed
// a lease ago. It uses the smallest share of those that were in effect within the last lease, which include the last one that
// was committed a lease ago. So no controller has more than its share of that one membership.
type lease struct {
	memberships []membership  // those in effect within the last lease, oldest first
	until       time.Duration // end of the lease
	unleased    time.Duration // total time without a lease
}

// membership is what a membership of the replicated log says about this controller.
type membership struct {
	from   time.Duration // when it was applied
	voters int           // number of voters
	voting bool          // this controller is a voter
}

// newLease returns the expired lease of a process that starts now. Its share is zero for the duration of one lease, since the
// process does not know which memberships were in effect before.
func newLease(now time.Duration) lease {
	return lease{memberships: []membership{{from: now}}, until: now}
}

// apply records that the next membership is in effect.
func (l *lease) apply(now time.Duration, voters int, voting bool) {
	l.memberships = append(l.memberships, membership{now, voters, voting})
	l.prune(now)
}

// skip records that memberships may have been in effect that this controller has not seen.
func (l *lease) skip(now time.Duration) {
	l.apply(now, 0, false)
}

// prune removes the memberships that were replaced more than a lease ago.
func (l *lease) prune(now time.Duration) {
	for len(l.memberships) > 1 && l.memberships[1].from < now-Lease {
		l.memberships = l.memberships[1:]
	}
}

// renew extends the lease by a barrier that began at start and has completed.
func (l *lease) renew(start, now time.Duration) {
	if now > l.until {
		l.unleased += now - l.until
		l.until = now
	}
	l.until = max(l.until, start+Lease)
}

// valid reports whether the lease has not ended.
func (l *lease) valid(now time.Duration) bool {
	return now < l.until
}

// leased returns the total time with a lease, by which buckets are refilled. While a controller has no lease its share may
// already belong to others.
func (l *lease) leased(now time.Duration) time.Duration {
	return min(now, l.until) - l.unleased
}

// current returns what may be allotted: the smallest share of the memberships, and their largest number of voters.
func (l *lease) current(now time.Duration) portion {
	l.prune(now)
	p := portion{share: 1}
	for _, m := range l.memberships {
		p.voters = max(p.voters, m.voters)
		if !m.voting {
			p.share = 0
		} else {
			p.share = min(p.share, 1/float64(m.voters))
		}
	}
	return p
}
