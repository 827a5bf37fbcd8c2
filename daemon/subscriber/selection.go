package subscriber

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// failbackDelay is the time after the end of a session with a controller of the daemon's own failure domain during which
// the daemon does not fail back to that controller.
const failbackDelay = 10 * time.Second

// laggingDelay is the time after a session that ended because its controller lacked a majority or a version during which the
// daemon prefers other controllers.
const laggingDelay = 10 * time.Second

// errFailback ends a session because a controller of the daemon's own failure domain can be used again.
var errFailback = errors.New("a controller in the same failure domain is available")

// referralError ends a session with a controller that referred the daemon to another one in the daemon's failure domain.
type referralError struct {
	to Controller
}

func (r *referralError) Error() string {
	return fmt.Sprintf("referred to %s", r.to.Addr)
}

// rankedControllers returns the controllers by locality: those of the own failure domain first, then those of the own
// region, then all others, each group in random order.
func (s *Subscriber) rankedControllers() []Controller {
	var sameDomain, sameRegion, rest []Controller
	all := s.allControllers()
	for _, i := range s.random.Perm(len(all)) {
		switch c := all[i]; {
		case s.sameDomain(c):
			sameDomain = append(sameDomain, c)
		case s.region != "" && c.Region == s.region:
			sameRegion = append(sameRegion, c)
		default:
			rest = append(rest, c)
		}
	}
	return slices.Concat(sameDomain, sameRegion, rest)
}

// allControllers returns each known controller once. A discovered entry takes precedence over a configured one with the
// same address.
func (s *Subscriber) allControllers() []Controller {
	all := slices.Clone(s.discover())
	for _, c := range s.controllers {
		if !slices.ContainsFunc(all, func(o Controller) bool { return o.Addr == c.Addr }) {
			all = append(all, c)
		}
	}
	return all
}

// sameDomain reports whether a controller is in the daemon's own failure domain.
func (s *Subscriber) sameDomain(c Controller) bool {
	return c.Domain == s.domain
}

// canFailBack reports whether the current controller is in another failure domain and the watch shows that one in the daemon's
// own failure domain can take its place. A daemon that lacks a version waits for it first.
func (s *Subscriber) canFailBack(current Controller, now time.Time) bool {
	c, ok := s.Watched()
	if !ok || s.sameDomain(current) || !s.sameDomain(c) || s.lag.latest() > s.heldVersion() {
		return false
	}
	return now.Sub(s.lastSessionEnd[c.Addr]) >= failbackDelay && !s.lagged(c, now)
}

// recordSessionEnd records when a session with a controller of the own failure domain ended. It also removes entries older
// than failbackDelay, so the map stays small.
func (s *Subscriber) recordSessionEnd(c Controller, now time.Time) {
	for addr, at := range s.lastSessionEnd {
		if now.Sub(at) >= failbackDelay {
			delete(s.lastSessionEnd, addr)
		}
	}
	if s.sameDomain(c) {
		s.lastSessionEnd[c.Addr] = now
	}
}

// lagged reports whether the daemon left the controller lately because it lacked a majority or a version.
func (s *Subscriber) lagged(c Controller, now time.Time) bool {
	left, ok := s.leftLagging[c.Addr]
	return ok && now.Sub(left) < laggingDelay
}

// recordLagging records that the daemon leaves a controller because it lacks a majority or a version. It also removes entries older than
// laggingDelay, so the map stays small.
func (s *Subscriber) recordLagging(c Controller, now time.Time) {
	for addr, left := range s.leftLagging {
		if now.Sub(left) >= laggingDelay {
			delete(s.leftLagging, addr)
		}
	}
	s.leftLagging[c.Addr] = now
}

// takeNext removes the next controller to try from the list: the first one that the daemon did not leave lagging, or else the
// first one. After those of the own failure domain it prefers the watched controller, which is known to answer.
func (s *Subscriber) takeNext(list []Controller, now time.Time) (next Controller, rest []Controller) {
	i := max(slices.IndexFunc(list, func(c Controller) bool { return !s.lagged(c, now) }), 0)
	if watched, ok := s.Watched(); ok && !s.sameDomain(list[i]) {
		if j := slices.IndexFunc(list, func(c Controller) bool { return c.Addr == watched.Addr }); j >= 0 {
			i = j
		}
	}
	next = list[i]
	return next, slices.Delete(list, i, i+1)
}

// newReferralError returns the error that ends a session after a referral.
func newReferralError(r wire.Refer) error {
	return &referralError{Controller{Addr: netip.AddrPortFrom(r.Addr.Addr().Unmap(), r.Addr.Port()), Domain: r.Domain}}
}
