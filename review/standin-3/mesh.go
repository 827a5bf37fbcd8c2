// Package main holds the stand-ins of the third review: the platform that starts the project's processes, servers, an
// operator and clients. All of them speak what PROTOCOL.md says, on loopback addresses.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes the lines of record.txt, each with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// mesh is a small deployment: three machines of the core and some sidecar machines, each with a loopback address of its own.
type mesh struct {
	rec      *record
	binary   string
	dir      string
	base     string // first three bytes of the addresses
	machines map[string]*machine
	order    []string
	extra    string   // further lines of all settings files
	seeds    []string // names of the machines that settings files name as seeds; empty for the first three of the core
}

type machine struct {
	name, ip, role, zone, service string
	cmd                           *exec.Cmd
	done                          chan struct{}
}

const (
	portInternal = 17380
	portControl  = 18144
	portOutbound = 18147
	portInbound  = 18146
	portReady    = 18141
	portApp      = 18145
	portMetrics  = 9100 // as in the deploy file
)

var allPorts = []int{portInternal, portInternal + 1, portControl, portOutbound, portInbound, portReady, portApp, portMetrics}

func newMesh(rec *record, binary, dir string) (*mesh, error) {
	m := &mesh{rec: rec, binary: binary, dir: dir, machines: map[string]*machine{}}
	for try := range 50 {
		pid := os.Getpid() + try*7919
		m.base = fmt.Sprintf("127.%d.%d.", 16+pid>>8%200, pid%250)
		if m.free() {
			return m, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// free reports whether all ports of the addresses of the mesh are free.
func (m *mesh) free() bool {
	for host := 1; host <= 12; host++ {
		for _, port := range allPorts {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", m.base, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *mesh) add(name, role, zone, service string) {
	m.machines[name] = &machine{name: name, ip: fmt.Sprintf("%s%d", m.base, len(m.order)+1), role: role, zone: zone, service: service}
	m.order = append(m.order, name)
}

func (m *mesh) addr(name string, port int) string {
	return fmt.Sprintf("%s:%d", m.machines[name].ip, port)
}

// start runs the process of a machine as the deploy file says.
func (m *mesh) start(name string, bootstrap bool) error {
	v := m.machines[name]
	class, memory, fds, counted, serves := "sidecar", 284, 4100, false, "sidecar"
	if v.role == "controller" {
		class, memory, fds, counted, serves = "core", 280, 4096, true, "control_plane"
	}
	var seeds []string
	for _, n := range m.order {
		if m.machines[n].role == "controller" && len(seeds) < 3 && (len(m.seeds) == 0 || slices.Contains(m.seeds, n)) {
			seeds = append(seeds, m.addr(n, portControl))
		}
	}
	data := filepath.Join(m.dir, "data-"+name)
	if v.role == "controller" {
		if err := os.MkdirAll(data, 0o755); err != nil {
			return err
		}
	} else {
		data = ""
	}
	lines := []string{
		"Self.NodeId=" + name, "Self.Role=" + v.role, "Self.NodeClass=" + class, "Self.Serves=" + serves, "Self.Ip=" + v.ip,
		"Self.Zone=" + v.zone, "Self.Region=daegu", fmt.Sprintf("Self.FaultCounted=%t", counted), fmt.Sprintf("Self.Bootstrap=%t", bootstrap),
		"Self.DataDir=" + data, "Self.Limits.CpuShare=1", "Self.Limits.CpuCores=1", fmt.Sprintf("Self.Limits.MemoryMb=%d", memory),
		fmt.Sprintf("Self.Limits.MaxFds=%d", fds), "Self.AppAddr=" + m.addr(name, portApp), "Self.Service=" + v.service,
		"Network.BindAddrs.Inbound=" + m.addr(name, portInbound), "Network.BindAddrs.Outbound=" + m.addr(name, portOutbound),
		"Network.BindAddrs.Ready=" + m.addr(name, portReady), "Network.BindAddrs.Control=" + m.addr(name, portControl),
		fmt.Sprintf("Network.InternalPorts=%d,%d", portInternal, portInternal+1), "Network.SeedNodes=" + strings.Join(seeds, ","),
		"Network.Zones.suseong=daegu", "Network.Zones.dalseo=daegu", "Network.Zones.buk=daegu",
		"Platform.Discovery=static", "Platform.EntryMode=static", "Platform.HeartbeatS=1.5",
		"Timeouts.FaultTolerance.Nodes=1", "Timeouts.FaultTolerance.Zones=1", "Timeouts.FaultTolerance.Regions=0",
		"Timeouts.Bounds.SeedLagS=3", "Timeouts.Bounds.AddrReuseS=2", "Timeouts.Bounds.StableS=3", "Timeouts.Bounds.AckS=4",
		"Timeouts.Bounds.RecoveryS=4", "Timeouts.Bounds.DrainS=2", "Timeouts.Bounds.GraceS=6", "Timeouts.Bounds.LossSlackS=0.2",
		"Timeouts.Bounds.ConfigApplyS=2", "Timeouts.Bounds.RollbackSlackS=0.25", "Timeouts.Bounds.MaxSkewS=5",
		"Timeouts.Bounds.RetryBudgetRatio=0.2", "Timeouts.Bounds.RetryWindowS=10", "Timeouts.Bounds.RetryBudgetSlack=64",
		"Timeouts.Bounds.RecoverS=15", m.extra,
	}
	path := filepath.Join(m.dir, name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	v.cmd = exec.Command(m.binary, v.role)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, "LANG=C", "BLUEBELLHOIST_BOOT=" + path}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		m.rec.add("process %s ended: %v", name, err)
		close(done)
	}(v.cmd, v.done)
	m.rec.add("process %s started at %s", name, v.ip)
	return nil
}

func (m *mesh) signal(name string, s syscall.Signal) {
	m.rec.add("signal %v to %s", s, name)
	_ = m.machines[name].cmd.Process.Signal(s)
}

// stopAll ends all processes that the mesh has started.
func (m *mesh) stopAll() {
	for _, name := range m.order {
		v := m.machines[name]
		if v.cmd == nil {
			continue
		}
		_ = v.cmd.Process.Signal(syscall.SIGKILL)
		<-v.done
	}
}

// startSmall starts three machines of the core and the given sidecar machines, each in one of three zones in turn, with one of the
// given services in turn.
func (m *mesh) startSmall(sidecars []string, services ...string) error {
	zones := []string{"suseong", "dalseo", "buk"}
	for i, zone := range zones {
		m.add(fmt.Sprintf("c%d", i+1), "controller", zone, "")
	}
	for i, name := range sidecars {
		m.add(name, "daemon", zones[i%3], services[i%len(services)])
	}
	for _, name := range m.order {
		if err := m.start(name, true); err != nil {
			return err
		}
	}
	return nil
}

// awaitServing waits until all machines serve, and for a calm time longer than StableS after that.
func (m *mesh) awaitServing(sidecars []string, host, path string) error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		served := 0
		for _, name := range sidecars {
			if status, _, _ := m.attempt(name, host, path, fmt.Sprintf("warm-%s-%d", name, time.Now().UnixNano()), "", time.Second); status == 200 {
				served++
			}
		}
		if served == len(sidecars) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d machines serve", served, len(sidecars))
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}
