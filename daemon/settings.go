package main

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/loader"
	"bluebellhoist/daemon/subscriber"
)

var errSettings = errors.New("invalid settings")

// settings is the content of the settings file.
type settings struct {
	Name        string                  `json:"name"`
	Domain      string                  `json:"domain"`
	Region      string                  `json:"region"` // optional
	Batch       string                  `json:"batch"`
	Calls       netip.AddrPort          `json:"calls"`
	Peers       netip.AddrPort          `json:"peers"`
	Local       netip.AddrPort          `json:"local"`
	Seeds       []netip.AddrPort        `json:"seeds"`
	Controllers []subscriber.Controller `json:"controllers"`
	Data        string                  `json:"data"`
	Level       string                  `json:"level"`
}

func loadSettings(path string) (settings, error) {
	s := settings{Level: "info"}
	if err := loader.File(path, &s); err != nil {
		return s, fmt.Errorf("%w: %v", errSettings, err)
	}
	return s, s.check()
}

func (s settings) check() error {
	for _, field := range []struct{ name, value string }{{"name", s.Name}, {"domain", s.Domain}, {"batch", s.Batch}} {
		if field.value == "" {
			return fmt.Errorf("%w: %s is missing", errSettings, field.name)
		}
	}
	switch {
	case !s.Calls.IsValid():
		return fmt.Errorf("%w: calls must be an IP address and port", errSettings)
	case !s.Peers.IsValid() || s.Peers.Addr().IsUnspecified() || s.Peers.Port() == 0:
		return fmt.Errorf("%w: peers must be an IP address and port that other VMs can reach", errSettings)
	case !s.Local.IsValid() || !s.Local.Addr().IsLoopback():
		return fmt.Errorf("%w: local must be a loopback address and port", errSettings)
	case len(s.Controllers) == 0:
		return fmt.Errorf("%w: controllers is empty", errSettings)
	case hclog.LevelFromString(s.Level) == hclog.NoLevel:
		return fmt.Errorf("%w: level %q is unknown", errSettings, s.Level)
	}
	return nil
}
