package runner

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"bluebellhoist/soak/relayer"
	"bluebellhoist/soak/starter"
)

// Ports, the same on each address.
const (
	portPeers    = 7400 // between processes; operators use it too
	portCalls    = 7401
	portRoutes   = 7402
	portLocal    = 7403
	portUpstream = 7404
)

// batch is the batch that all daemons serve.
const batch = "soak"

// grace bounds the planned stop of each process.
const grace = "6s"

var (
	domains  = []string{"suseong", "dalseo", "buk"}
	services = []string{"alpha", "beta", "payout"}
)

// node is one process of the system with its addresses: others use the public one, behind which a relay is.
type node struct {
	*starter.Process
	name, domain, service string
	private, public       netip.Addr
	settings, data        string
}

func (n *node) at(port uint16) netip.AddrPort     { return netip.AddrPortFrom(n.private, port) }
func (n *node) behind(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.public, port) }

// node returns the process with the given name, which is a letter and a number from 1.
func (r *Runner) node(letter string, number, shift int, command string) *node {
	name := fmt.Sprint(letter, number)
	n := &node{
		name: name, domain: domains[number%len(domains)], service: services[number%len(services)],
		private:  netip.AddrFrom4([4]byte{127, r.settings.Net, 1, byte(shift + number)}),
		public:   netip.AddrFrom4([4]byte{127, r.settings.Net, 2, byte(shift + number)}),
		settings: filepath.Join(r.settings.Folder, name+".json"),
		data:     filepath.Join(r.settings.Folder, name),
	}
	args := []string{filepath.Join(r.settings.Programs, command), "--settings", n.settings}
	if command == "controller" {
		args = append(args, "run")
	}
	n.Process = starter.New(name, args, filepath.Join(r.settings.Folder, name+".log"), func(name string, err error) {
		r.judge.RecordViolation("%s ended by itself: %v", name, err)
	})
	return n
}

// configure writes the settings of a controller. Founders are set on the first start only.
func (r *Runner) configure(n *node, first bool) error {
	var all []string
	for _, c := range r.controllers {
		all = append(all, c.behind(portPeers).String())
	}
	own := n.behind(portPeers).String()
	s := map[string]any{
		"name": own, "domain": n.domain, "listen": own, "bind": n.at(portPeers).String(), "peers": all, "data": n.data,
		"voter": true, "seats": 3, "gossip": true, "seeds": all, "grace": grace, "level": "debug",
	}
	if first {
		s["founders"] = all
	}
	return write(n.settings, s)
}

func (r *Runner) configureDaemon(n *node) error {
	var controllers []map[string]string
	for _, c := range r.controllers {
		controllers = append(controllers, map[string]string{"addr": c.behind(portPeers).String(), "domain": c.domain})
	}
	var seeds []string
	for _, d := range r.daemons[:min(3, len(r.daemons))] {
		seeds = append(seeds, d.behind(portPeers).String())
	}
	return write(n.settings, map[string]any{
		"name": n.name, "domain": n.domain, "batch": batch, "service": n.service, "seeds": seeds, "controllers": controllers,
		"calls": n.at(portCalls).String(), "routes": n.at(portRoutes).String(), "local": n.at(portLocal).String(),
		"peers": n.behind(portPeers).String(), "bind": n.at(portPeers).String(), "data": n.data, "grace": grace,
		"beat": "500ms", "level": "debug",
	})
}

func write(path string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// relays returns the relays in front of all processes.
func (r *Runner) relays() []relayer.Relay {
	var all []relayer.Relay
	add := func(n *node, name, caller string, port uint16) {
		all = append(all, relayer.Relay{
			Name: name, Public: n.behind(port), Private: n.at(port), DefaultCaller: caller, UDP: port == portPeers,
		})
	}
	for _, c := range r.controllers {
		add(c, c.name, "operator", portPeers)
	}
	for _, d := range r.daemons {
		add(d, d.name, "daemon", portPeers)
		add(d, d.name, "caller", portCalls)
		add(d, d.name, "caller", portRoutes)
		add(d, upstreamOf(d.name), d.name, portUpstream)
	}
	return all
}

// upstreamOf returns the name of the upstream beside a daemon.
func upstreamOf(daemon string) string {
	return "u" + strings.TrimPrefix(daemon, "d")
}
