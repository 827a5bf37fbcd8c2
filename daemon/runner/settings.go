package runner

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/loader"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/subscriber"
)

var errSettings = errors.New("invalid settings")

// Settings is the content of the settings file.
type Settings struct {
	Name        string                  `json:"name"`
	Domain      string                  `json:"domain"`
	Region      string                  `json:"region"` // optional
	Batch       string                  `json:"batch"`
	Calls       netip.AddrPort          `json:"calls"`  // calls to services; optional if routes is set
	Routes      netip.AddrPort          `json:"routes"` // calls on routes; optional if calls is set
	Peers       netip.AddrPort          `json:"peers"`
	Bind        netip.AddrPort          `json:"bind"`    // where to listen for peers, if they use another address; optional
	Local       netip.AddrPort          `json:"local"`   // optional if routes is set
	Service     string                  `json:"service"` // service of the local upstream, told to others on routed calls; optional
	Seeds       []netip.AddrPort        `json:"seeds"`
	Controllers []subscriber.Controller `json:"controllers"`
	Data        string                  `json:"data"`
	Level       string                  `json:"level"`
	Budget      Budget                  `json:"budget"`  // optional
	Grace       loader.Duration         `json:"grace"`   // longest time of a planned stop; optional
	Beat        loader.Duration         `json:"beat"`    // period of the upstream's reports; optional
	Metrics     netip.AddrPort          `json:"metrics"` // further address for the metrics; optional
}

// Budget limits the repeats of all daemons together.
type Budget struct {
	Ratio  float64         `json:"ratio"`  // repeats for each call to a service
	Window loader.Duration `json:"window"` // any span of this length counts
	Slack  float64         `json:"slack"`  // repeats in a window that are allowed besides
}

// limits returns the limits of the budget, or the default ones if it is not set.
func (b Budget) limits() budgeter.Limits {
	if b.Window <= 0 {
		return budgeter.DefaultLimits()
	}
	return budgeter.Limits{Ratio: b.Ratio, Window: time.Duration(b.Window), Slack: b.Slack}
}

// bind returns the address to listen on for other daemons.
func (s Settings) bind() netip.AddrPort {
	if s.Bind.IsValid() {
		return s.Bind
	}
	return s.Peers
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %v", errSettings, err)
	}
	s, err := Parse(data)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks the text of a settings file.
func Parse(data []byte) (Settings, error) {
	s := Settings{Level: "info"}
	if err := loader.Text(data, &s); err != nil {
		return s, fmt.Errorf("%w: %v", errSettings, err)
	}
	return s, s.check()
}

func (s Settings) check() error {
	for _, field := range []struct{ name, value string }{{"name", s.Name}, {"domain", s.Domain}, {"batch", s.Batch}} {
		if field.value == "" {
			return fmt.Errorf("%w: %s is missing", errSettings, field.name)
		}
	}
	switch {
	case !s.Calls.IsValid() && !s.Routes.IsValid():
		return fmt.Errorf("%w: calls must be an IP address and port", errSettings)
	case !s.Peers.IsValid() || s.Peers.Addr().IsUnspecified() || s.Peers.Port() == 0:
		return fmt.Errorf("%w: peers must be an IP address and port that other VMs can reach", errSettings)
	case s.Local.IsValid() && !s.Local.Addr().IsLoopback() || !s.Local.IsValid() && !s.Routes.IsValid():
		return fmt.Errorf("%w: local must be a loopback address and port", errSettings)
	case len(s.Controllers)+len(s.Seeds) == 0:
		return fmt.Errorf("%w: controllers is empty", errSettings)
	case s.Budget.Ratio < 0 || s.Budget.Slack < 0 || s.Budget.Window < 0:
		return fmt.Errorf("%w: budget must not be negative", errSettings)
	case s.Grace < 0 || s.Beat < 0:
		return fmt.Errorf("%w: grace and beat must not be negative", errSettings)
	case hclog.LevelFromString(s.Level) == hclog.NoLevel:
		return fmt.Errorf("%w: level %q is unknown", errSettings, s.Level)
	}
	return nil
}
