package runner

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/apportioner"
	"bluebellhoist/core/loader"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/subscriber"
)

var errSettings = errors.New("invalid settings")

// Settings is the content of the settings file.
type Settings struct {
	Name           string                  `json:"name"`
	Domain         string                  `json:"domain"`
	Region         string                  `json:"region"` // optional
	Batch          string                  `json:"batch"`
	Calls          netip.AddrPort          `json:"calls"`   // listen address for service calls; optional if routes is set
	Routes         netip.AddrPort          `json:"routes"`  // listen address for routed calls; optional if calls is set
	Peers          netip.AddrPort          `json:"peers"`   // address under which other daemons reach this one
	Bind           netip.AddrPort          `json:"bind"`    // listen address for other daemons if it differs from peers; optional
	Local          netip.AddrPort          `json:"local"`   // loopback address of the local API; optional if routes is set
	Service        string                  `json:"service"` // service of the local upstream, sent as the caller on routed calls; optional
	Seeds          []netip.AddrPort        `json:"seeds"`   // gossip members to join through
	Controllers    []subscriber.Controller `json:"controllers"`
	Data           string                  `json:"data"`    // data folder; optional
	Level          string                  `json:"level"`   // log level
	Budget         Budget                  `json:"budget"`  // optional
	Grace          loader.Duration         `json:"grace"`   // time allowed for a planned stop; optional
	ReportInterval loader.Duration         `json:"beat"`    // interval of the upstream's reports; optional
	Revoke         loader.Duration         `json:"revoke"`  // maximum age of the proof that calls with a key need; 0 if they need none
	Metrics        netip.AddrPort          `json:"metrics"` // additional address for the metrics; optional
	Quota          apportioner.Settings    `json:"quota"`   // limits of the calls of tenants; optional
	Memory         int64                   `json:"memory"`  // memory of the process in MiB, of which callers get a share; optional
	Files          int                     `json:"files"`   // descriptors that the process may open; optional
}

// Budget limits the retries of all daemons together.
type Budget struct {
	Ratio  float64         `json:"ratio"`  // retries allowed per call to a service
	Window loader.Duration `json:"window"` // length of the sliding window in which retries are limited
	Slack  float64         `json:"slack"`  // additional retries allowed per window
	Shares int             `json:"shares"` // number of upstreams that the slack is divided among; 0 if it is not used
}

// limits returns the limits of the budget, or the default limits if it is not set.
func (b Budget) limits() budgeter.Limits {
	if b.Window <= 0 {
		return budgeter.DefaultLimits()
	}
	return budgeter.Limits{Ratio: b.Ratio, Window: time.Duration(b.Window), Slack: b.Slack, Shares: b.Shares}
}

// bind returns the listen address for other daemons.
func (s Settings) bind() netip.AddrPort {
	if s.Bind.IsValid() {
		return s.Bind
	}
	return s.Peers
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	return loader.Read(path, Parse)
}

// Parse reads and checks the text of a settings file.
func Parse(data []byte) (Settings, error) {
	s := Settings{Level: "info"}
	if err := loader.Text(data, &s); err != nil {
		return s, fmt.Errorf("%w: %v", errSettings, err)
	}
	return s, s.check()
}

// check validates the settings.
func (s Settings) check() error {
	for _, field := range []struct{ name, value string }{{"name", s.Name}, {"domain", s.Domain}, {"batch", s.Batch}} {
		if field.value == "" {
			return fmt.Errorf("%w: %s is missing", errSettings, field.name)
		}
	}
	switch {
	case !s.Calls.IsValid() && !s.Routes.IsValid():
		return fmt.Errorf("%w: calls or routes must be an IP address and port", errSettings)
	case !s.Peers.IsValid() || s.Peers.Addr().IsUnspecified() || s.Peers.Port() == 0:
		return fmt.Errorf("%w: peers must be an IP address and port that other VMs can reach", errSettings)
	case s.Local.IsValid() && !s.Local.Addr().IsLoopback() || !s.Local.IsValid() && !s.Routes.IsValid():
		return fmt.Errorf("%w: local must be a loopback address and port", errSettings)
	case len(s.Controllers)+len(s.Seeds) == 0:
		return fmt.Errorf("%w: controllers and seeds are both empty", errSettings)
	case s.Budget.Ratio < 0 || s.Budget.Slack < 0 || s.Budget.Window < 0 || s.Budget.Shares < 0:
		return fmt.Errorf("%w: budget must not be negative", errSettings)
	case s.Grace < 0 || s.ReportInterval < 0 || s.Revoke < 0:
		return fmt.Errorf("%w: grace, beat and revoke must not be negative", errSettings)
	case s.Memory < 0 || s.Files < 0:
		return fmt.Errorf("%w: memory and files must not be negative", errSettings)
	case hclog.LevelFromString(s.Level) == hclog.NoLevel:
		return fmt.Errorf("%w: level %q is unknown", errSettings, s.Level)
	}
	if err := s.Quota.Check(0); err != nil {
		return fmt.Errorf("%w: %v", errSettings, err)
	}
	return nil
}
