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

// Ports, the same at each address.
const (
	portPeers    = 7400 // traffic between processes, requests of operators
	portCalls    = 7401 // direct calls to services
	portRoutes   = 7402 // calls on routes
	portLocal    = 7403 // announcements of the local upstream, status of the daemon
	portUpstream = 7404 // the upstream of a daemon
)

// batchName is the name of the batch that all daemons serve.
const batchName = "soak"

// stopGrace is the grace setting of each process: the longest time of a planned stop.
const stopGrace = "6s"

var (
	domains  = []string{"suseong", "dalseo", "buk"}
	services = []string{"alpha", "beta", "payout"}
)

// node is a controller or daemon. It listens at its private address; other processes reach it through a relay at its
// public address.
type node struct {
	*starter.Process
	name, domain, service string
	private, public       netip.Addr
	settingsPath, dataDir string
}

func (n *node) privateAddr(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.private, port) }
func (n *node) publicAddr(port uint16) netip.AddrPort  { return netip.AddrPortFrom(n.public, port) }

// newNode returns a process that has not been started. Its name consists of the prefix and the number, which begins at 1.
// hostOffset is added to the number to give the last byte of its addresses.
func (r *Runner) newNode(prefix string, number, hostOffset int, program string) *node {
	name := fmt.Sprint(prefix, number)
	n := &node{
		name: name, domain: domains[number%len(domains)], service: services[number%len(services)],
		private:      netip.AddrFrom4([4]byte{127, r.settings.LoopbackNet, 1, byte(hostOffset + number)}),
		public:       netip.AddrFrom4([4]byte{127, r.settings.LoopbackNet, 2, byte(hostOffset + number)}),
		settingsPath: filepath.Join(r.settings.Dir, name+".json"),
		dataDir:      filepath.Join(r.settings.Dir, name),
	}
	args := []string{filepath.Join(r.settings.ProgramDir, program), "--settings", n.settingsPath}
	if program == "controller" {
		args = append(args, "run")
	}
	n.Process = starter.New(name, args, filepath.Join(r.settings.Dir, name+".log"), func(name string, err error) {
		r.checker.RecordViolation("%s exited unexpectedly: %v", name, err)
	})
	return n
}

// writeControllerSettings writes the settings file of a controller. It sets the founders for the first start only.
func (r *Runner) writeControllerSettings(n *node, firstStart bool) error {
	var addrs []string
	for _, c := range r.controllers {
		addrs = append(addrs, c.publicAddr(portPeers).String())
	}
	addr := n.publicAddr(portPeers).String()
	s := map[string]any{
		"name": addr, "domain": n.domain, "listen": addr, "bind": n.privateAddr(portPeers).String(), "peers": addrs, "data": n.dataDir,
		"voter": true, "seats": 3, "gossip": true, "seeds": addrs, "grace": stopGrace, "level": "debug",
	}
	if firstStart {
		s["founders"] = addrs
	}
	return writeSettings(n.settingsPath, s)
}

// writeDaemonSettings writes the settings file of a daemon.
func (r *Runner) writeDaemonSettings(n *node) error {
	var controllers []map[string]string
	for _, c := range r.controllers {
		controllers = append(controllers, map[string]string{"addr": c.publicAddr(portPeers).String(), "domain": c.domain})
	}
	var seeds []string
	for _, d := range r.daemons[:min(3, len(r.daemons))] {
		seeds = append(seeds, d.publicAddr(portPeers).String())
	}
	return writeSettings(n.settingsPath, map[string]any{
		"name": n.name, "domain": n.domain, "batch": batchName, "service": n.service, "seeds": seeds, "controllers": controllers,
		"calls": n.privateAddr(portCalls).String(), "routes": n.privateAddr(portRoutes).String(), "local": n.privateAddr(portLocal).String(),
		"peers": n.publicAddr(portPeers).String(), "bind": n.privateAddr(portPeers).String(), "data": n.dataDir, "grace": stopGrace,
		"beat": "500ms", "level": "debug",
	})
}

func writeSettings(path string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// relays returns the relays in front of all processes and upstreams.
func (r *Runner) relays() []relayer.Relay {
	var relays []relayer.Relay
	add := func(n *node, name, caller string, port uint16) {
		relays = append(relays, relayer.Relay{
			Name: name, Public: n.publicAddr(port), Private: n.privateAddr(port), DefaultClient: caller, UDP: port == portPeers,
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
	return relays
}

// upstreamOf returns the name of the upstream of a daemon.
func upstreamOf(daemon string) string {
	return "u" + strings.TrimPrefix(daemon, "d")
}
