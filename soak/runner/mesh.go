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
	portCalls    = 7401 // service calls
	portRoutes   = 7402 // routed calls
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

// process is a controller or daemon. It listens at its private address; other processes reach it through a relay at its
// public address.
type process struct {
	*starter.Process
	name, domain, service string
	private, public       netip.Addr
	settingsPath, dataDir string
}

func (p *process) privateAddr(port uint16) netip.AddrPort { return netip.AddrPortFrom(p.private, port) }
func (p *process) publicAddr(port uint16) netip.AddrPort  { return netip.AddrPortFrom(p.public, port) }

// newProcess returns a process that has not been started. Its name consists of the prefix and the number, which begins at 1.
// hostOffset is added to the number to give the last byte of its addresses.
func (r *Runner) newProcess(prefix string, number, hostOffset int, program string) *process {
	name := fmt.Sprint(prefix, number)
	p := &process{
		name: name, domain: domains[number%len(domains)], service: services[number%len(services)],
		private:      netip.AddrFrom4([4]byte{127, r.settings.LoopbackNet, 1, byte(hostOffset + number)}),
		public:       netip.AddrFrom4([4]byte{127, r.settings.LoopbackNet, 2, byte(hostOffset + number)}),
		settingsPath: filepath.Join(r.settings.Dir, name+".json"),
		dataDir:      filepath.Join(r.settings.Dir, name),
	}
	args := []string{filepath.Join(r.settings.ProgramDir, program), "--settings", p.settingsPath}
	if program == "controller" {
		args = append(args, "run")
	}
	p.Process = starter.New(name, args, filepath.Join(r.settings.Dir, name+".log"), func(name string, err error) {
		r.checker.RecordViolation("%s exited unexpectedly: %v", name, err)
	})
	return p
}

// writeControllerSettings writes the settings file of a controller. It sets the founders for the first start only.
func (r *Runner) writeControllerSettings(p *process, firstStart bool) error {
	var addrs []string
	for _, c := range r.controllers {
		addrs = append(addrs, c.publicAddr(portPeers).String())
	}
	addr := p.publicAddr(portPeers).String()
	s := map[string]any{
		"name": addr, "domain": p.domain, "listen": addr, "bind": p.privateAddr(portPeers).String(), "peers": addrs, "data": p.dataDir,
		"voter": true, "losses": 1, "gossip": true, "seeds": addrs, "grace": stopGrace, "level": "debug",
	}
	if firstStart {
		s["founders"] = addrs
	}
	return writeSettings(p.settingsPath, s)
}

// writeDaemonSettings writes the settings file of a daemon.
func (r *Runner) writeDaemonSettings(p *process) error {
	var controllers []map[string]string
	for _, c := range r.controllers {
		controllers = append(controllers, map[string]string{"addr": c.publicAddr(portPeers).String(), "domain": c.domain})
	}
	var seeds []string
	for _, d := range r.daemons[:min(3, len(r.daemons))] {
		seeds = append(seeds, d.publicAddr(portPeers).String())
	}
	return writeSettings(p.settingsPath, map[string]any{
		"name": p.name, "domain": p.domain, "batch": batchName, "service": p.service, "seeds": seeds, "controllers": controllers,
		"calls": p.privateAddr(portCalls).String(), "routes": p.privateAddr(portRoutes).String(), "local": p.privateAddr(portLocal).String(),
		"peers": p.publicAddr(portPeers).String(), "bind": p.privateAddr(portPeers).String(), "data": p.dataDir, "grace": stopGrace,
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
	add := func(p *process, name, client string, port uint16) {
		relays = append(relays, relayer.Relay{
			Name: name, Public: p.publicAddr(port), Private: p.privateAddr(port), DefaultClient: client, UDP: port == portPeers,
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
