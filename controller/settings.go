package main

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/loader"
	"bluebellhoist/core/wire"
)

var errSettings = errors.New("invalid settings")

// settings is the content of the settings file.
type settings struct {
	Name   string           `json:"name"`
	Domain string           `json:"domain"`
	Listen netip.AddrPort   `json:"listen"`
	Peers  []netip.AddrPort `json:"peers"`
	Data   string           `json:"data"`
	Voter  bool             `json:"voter"`
	Level  string           `json:"level"`
}

func loadSettings(path string) (settings, error) {
	s := settings{Level: "info"}
	if err := loader.File(path, &s); err != nil {
		return s, fmt.Errorf("%w: %v", errSettings, err)
	}
	return s, s.check()
}

func (s settings) check() error {
	switch {
	case s.Name == "":
		return fmt.Errorf("%w: name is missing", errSettings)
	case s.Domain == "":
		return fmt.Errorf("%w: domain is missing", errSettings)
	case !s.Listen.IsValid() || s.Listen.Addr().IsUnspecified() || s.Listen.Port() == 0:
		return fmt.Errorf("%w: listen must be an IP address and port that other VMs can reach", errSettings)
	case s.Data == "":
		return fmt.Errorf("%w: data is missing", errSettings)
	case hclog.LevelFromString(s.Level) == hclog.NoLevel:
		return fmt.Errorf("%w: level %q is unknown", errSettings, s.Level)
	}
	return nil
}

func (s settings) node() wire.Node {
	return wire.Node{Name: s.Name, Domain: s.Domain, Addr: s.Listen, Voter: s.Voter}
}
