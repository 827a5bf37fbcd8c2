package apportioner

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"bluebellhoist/core/loader"
)

var errSettings = errors.New("invalid quota settings")

// Settings are the settings of daemons and controllers for quotas. All processes must have the same window, overage, slack and
// port. Without a window there are no quotas.
type Settings struct {
	Window  loader.Duration `json:"window"`  // length of the sliding window in which calls are limited
	Overage float64         `json:"overage"` // share of the limit that the calls of a window may exceed it by
	Slack   float64         `json:"slack"`   // additional calls in a window
	Listen  netip.AddrPort  `json:"listen"`  // listen address for datagrams; optional
	Port    uint16          `json:"port"`    // port of the controllers for datagrams; 0 for the one after their main port
}

// Enabled reports whether there are quotas.
func (s Settings) Enabled() bool {
	return s.Window > 0
}

// Bound returns the bound on the calls of a tenant.
func (s Settings) Bound() Bound {
	return Bound{Window: time.Duration(s.Window), Overage: s.Overage, Slack: s.Slack}
}

// Check validates the settings. The number of voters may be 0 if it is not known.
func (s Settings) Check(voters int) error {
	switch {
	case s.Window < 0 || s.Overage < 0 || s.Slack < 0:
		return fmt.Errorf("%w: quota must not be negative", errSettings)
	case s.Enabled() && s.Slack < float64(voters):
		return fmt.Errorf("%w: slack %v is below the number of voters %d", errSettings, s.Slack, voters)
	}
	return nil
}

// ListenAddr returns the listen address for datagrams of a process with the given main listen address.
func (s Settings) ListenAddr(main netip.AddrPort) netip.AddrPort {
	if s.Listen.IsValid() {
		return s.Listen
	}
	return s.ControllerAddr(main)
}

// ControllerAddr returns the address for datagrams of a controller with the given main address.
func (s Settings) ControllerAddr(main netip.AddrPort) netip.AddrPort {
	if s.Port != 0 {
		return netip.AddrPortFrom(main.Addr(), s.Port)
	}
	return netip.AddrPortFrom(main.Addr(), main.Port()+1)
}
