package runner

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/apportioner"
	"bluebellhoist/core/loader"
	"bluebellhoist/core/wire"
)

var errSettings = errors.New("invalid settings")

// Settings is the content of the settings file.
type Settings struct {
	Name   string           `json:"name"`
	Domain string           `json:"domain"`
	Listen netip.AddrPort   `json:"listen"` // address at which other processes reach this one
	Bind   netip.AddrPort   `json:"bind"`   // local address to listen on, if it differs from listen; optional
	Peers  []netip.AddrPort `json:"peers"`  // addresses of cluster nodes to join through
	Data   string           `json:"data"`   // data folder
	Voter  bool             `json:"voter"`
	Level  string           `json:"level"` // log level
	// Founders are the listen addresses of the first voters. They are used only on the first start of the whole cluster.
	// The name of a founder must be its address.
	Founders  []netip.AddrPort `json:"founders"`
	MaxVoters int              `json:"seats"` // maximum number of voters; 0 for no limit, or for one that follows from losses
	// Losses is the number of nodes that may lose their disks at once, from which the number of voters follows; 0 if it follows
	// from seats.
	Losses  int              `json:"losses"`
	Gossip  bool             `json:"gossip"`  // whether this node takes part in the gossip, through which daemons find each other
	Seeds   []netip.AddrPort `json:"seeds"`   // addresses of other gossip members
	Grace   loader.Duration  `json:"grace"`   // time allowed for a planned stop; optional
	Metrics netip.AddrPort   `json:"metrics"` // additional address for the metrics; optional
	// Quota limits the calls of tenants over the whole mesh; optional.
	Quota  apportioner.Settings `json:"quota"`
	Memory int64                `json:"memory"` // memory of the process in MiB, of which requests get a share; optional
	Files  int                  `json:"files"`  // descriptors that the process may open; optional
}

// bind returns the local address to listen on.
func (s Settings) bind() netip.AddrPort {
	if s.Bind.IsValid() {
		return s.Bind
	}
	return s.Listen
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
	switch {
	case s.Name == "":
		return fmt.Errorf("%w: name is missing", errSettings)
	case s.Domain == "":
		return fmt.Errorf("%w: domain is missing", errSettings)
	case !s.Listen.IsValid() || s.Listen.Addr().IsUnspecified() || s.Listen.Port() == 0:
		return fmt.Errorf("%w: listen must be an IP address and port that other VMs can reach", errSettings)
	case s.Data == "":
		return fmt.Errorf("%w: data is missing", errSettings)
	case len(s.Founders) > 0 && s.Name != s.Listen.String():
		return fmt.Errorf("%w: the name of a founder must be its address %s", errSettings, s.Listen)
	case s.MaxVoters < 0:
		return fmt.Errorf("%w: seats is negative", errSettings)
	case s.Losses < 0:
		return fmt.Errorf("%w: losses is negative", errSettings)
	case s.Losses > 0 && s.MaxVoters > 0:
		return fmt.Errorf("%w: seats and losses exclude each other", errSettings)
	case s.Memory < 0 || s.Files < 0:
		return fmt.Errorf("%w: memory and files must not be negative", errSettings)
	case s.Grace < 0:
		return fmt.Errorf("%w: grace is negative", errSettings)
	case hclog.LevelFromString(s.Level) == hclog.NoLevel:
		return fmt.Errorf("%w: level %q is unknown", errSettings, s.Level)
	}
	if err := s.Quota.Check(s.quotaVoters()); err != nil {
		return fmt.Errorf("%w: %v", errSettings, err)
	}
	return nil
}

// voters returns the number of voters below which silent ones keep their vote, and the maximum number of voters; 0 means no
// limit. With more than the fewest voters a node may also be removed without notice while others lose their disks
// (docs/design/voters.md).
func (s Settings) voters() (fewest, most int) {
	if s.Losses == 0 {
		return 0, s.MaxVoters
	}
	fewest = 2*s.Losses + 1
	most = fewest + 2
	if s.Quota.Enabled() && s.Quota.Slack < float64(most) { // the quotas need as much slack as there are voters
		most = max(fewest, int(s.Quota.Slack))
	}
	return fewest, most
}

// quotaVoters returns the number of voters that the slack of the quotas must allow for.
func (s Settings) quotaVoters() int {
	_, most := s.voters()
	return most
}

// Node returns the node that the settings describe.
func (s Settings) Node() wire.Node {
	return wire.Node{Name: s.Name, Domain: s.Domain, Addr: s.Listen, Voter: s.Voter}
}
