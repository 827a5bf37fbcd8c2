package subscriber

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// returnPause is the time after a failed session in which a daemon does not go back to a controller of its failure domain.
const returnPause = 10 * time.Second

// errNearer ends a session since a controller of the own failure domain can be used again.
var errNearer = errors.New("a controller of the own failure domain is known")

// referral ends a session with a controller that has named one in the daemon's failure domain.
type referral struct {
	to Controller
}

func (r *referral) Error() string {
	return fmt.Sprintf("referred to %s", r.to.Addr)
}

// order returns the controllers in random order, those of the own failure domain first and then those of the region.
func (s *Subscriber) order() []Controller {
	var domain, region, far []Controller
	all := s.known()
	for _, i := range s.random.Perm(len(all)) {
		switch c := all[i]; {
		case s.near(c):
			domain = append(domain, c)
		case s.region != "" && c.Region == s.region:
			region = append(region, c)
		default:
			far = append(far, c)
		}
	}
	return slices.Concat(domain, region, far)
}

// known returns each controller once. What the source says about one goes before the settings.
func (s *Subscriber) known() []Controller {
	all := slices.Clone(s.source())
	for _, c := range s.controllers {
		if !slices.ContainsFunc(all, func(o Controller) bool { return o.Addr == c.Addr }) {
			all = append(all, c)
		}
	}
	return all
}

func (s *Subscriber) near(c Controller) bool {
	return c.Domain == s.domain
}

// nearer reports whether a controller of the own failure domain may be used in place of another one.
func (s *Subscriber) nearer(than Controller, now time.Time) bool {
	if s.near(than) {
		return false
	}
	return slices.ContainsFunc(s.known(), func(c Controller) bool {
		return c.Addr != than.Addr && s.near(c) && now.Sub(s.failed[c.Addr]) >= returnPause
	})
}

// noteEnd remembers when a session with a controller of the own failure domain failed. Entries are few: they are removed
// once they no longer matter.
func (s *Subscriber) noteEnd(c Controller, now time.Time) {
	for addr, at := range s.failed {
		if now.Sub(at) >= returnPause {
			delete(s.failed, addr)
		}
	}
	if s.near(c) {
		s.failed[c.Addr] = now
	}
}

// refer returns the controller that a frame names.
func refer(r wire.Refer) error {
	return &referral{Controller{Addr: netip.AddrPortFrom(r.Addr.Addr().Unmap(), r.Addr.Port()), Domain: r.Domain}}
}
