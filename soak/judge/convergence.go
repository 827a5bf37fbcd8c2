package judge

import (
	"fmt"
	"slices"
	"time"
)

// Domains holds the failure domains of processes by name.
type Domains map[string]string

// sample is the version that a daemon reported to have in effect.
type sample struct {
	daemon  string
	version uint64
	askedAt time.Time
}

// maxFailedControllers is the number of controllers that may be disturbed while changes have to come into effect in time.
const maxFailedControllers = 1

// Convergence reports daemons that had an older version in effect later than limit after the acknowledgement of a newer one. It
// passes over daemons that were disturbed themselves, and times in which more than maxFailedControllers controllers were.
func (ck *Checker) Convergence(limit time.Duration, controllers, daemons Domains) (violations []string) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	late := map[string]bool{}
	for _, s := range ck.samples {
		for _, c := range ck.changes {
			delay := s.askedAt.Sub(c.AckedAt)
			key := fmt.Sprintf("%s lacked version %d", s.daemon, c.Version)
			if c.Version <= s.version || delay <= limit || late[key] || ck.disturbed(s.daemon, daemons[s.daemon], c.AckedAt, s.askedAt) {
				continue
			}
			if ck.disturbedControllers(controllers, c.AckedAt, s.askedAt) > maxFailedControllers {
				continue
			}
			late[key] = true
			violations = append(violations, fmt.Sprintf("%s %v after its acknowledgement", key, delay))
		}
	}
	return violations
}

// disturbed reports whether a process was stopped, or affected by a fault, between from and to or within faultQuietPeriod before.
func (ck *Checker) disturbed(process, domain string, from, to time.Time) bool {
	affects := func(i interval) bool {
		return (i.name == process || i.name == domain || i.name == process[:1]) && i.overlaps(from.Add(-faultQuietPeriod), to)
	}
	return slices.ContainsFunc(ck.faults, affects) || slices.ContainsFunc(ck.plannedStops, affects)
}

// disturbedControllers counts the controllers that were disturbed between from and to or within faultQuietPeriod before.
func (ck *Checker) disturbedControllers(controllers Domains, from, to time.Time) (count int) {
	for name, domain := range controllers {
		if ck.disturbed(name, domain, from, to) {
			count++
		}
	}
	return count
}
