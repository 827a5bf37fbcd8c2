package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// program is what the deploy file builds.
const program = "target/bluebellhoist"

// Bounds of the settings, those of a small installation.
const (
	heartbeatTime = 1500 * time.Millisecond // HeartbeatS
	drainTime     = 2 * time.Second         // DrainS
	stableTime    = 3 * time.Second         // StableS
	applyTime     = 2 * time.Second         // ConfigApplyS
)

// Ports, the same on all machines.
const (
	readyPort    = 8141
	controlPort  = 8144
	appPort      = 8145
	inboundPort  = 8146
	outboundPort = 8147
	metricsPort  = 9100
	firstPort    = 7380
	lastPort     = 7395
)

// machine is one machine of the mesh. Each has a loopback address of its own.
type machine struct {
	name    string
	ip      string
	role    string // controller or daemon
	service string // of the backend, on sidecar machines
	cmd     *exec.Cmd
	exited  chan struct{}
}

func (m *machine) addr(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, port)
}

// mesh is a small deployment: three core machines with a controller each, and sidecar machines with a daemon each.
type mesh struct {
	rec      *record
	folder   string // temporary
	core     []*machine
	sidecars []*machine
	spare    *machine // a core machine that is added later
	extra    string   // further lines of all settings
}

// newMesh prepares a mesh with one sidecar machine for each service. Nothing runs yet.
func newMesh(rec *record, services ...string) (*mesh, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the deploy file has not been built: %w", err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	m := &mesh{rec: rec, folder: folder}
	for range 50 {
		base := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(120), rand.IntN(256))
		m.core, m.sidecars = nil, nil
		for i := range 3 {
			m.core = append(m.core, &machine{name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprint(base, i+1), role: "controller"})
		}
		for i, service := range services {
			m.sidecars = append(m.sidecars, &machine{
				name: fmt.Sprintf("sidecar-%d", i+1), ip: fmt.Sprint(base, i+11), role: "daemon", service: service,
			})
		}
		m.spare = &machine{name: "core-4", ip: fmt.Sprint(base, 4), role: "controller"}
		if m.portsFree() {
			return m, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (m *mesh) machines() []*machine {
	return append(append([]*machine{}, m.core...), m.sidecars...)
}

// portsFree reports whether all ports of all machines can be bound.
func (m *mesh) portsFree() bool {
	for _, v := range append(m.machines(), m.spare) {
		for _, port := range []int{readyPort, controlPort, appPort, inboundPort, outboundPort, metricsPort, firstPort, firstPort + 1, lastPort} {
			l, err := net.Listen("tcp", v.addr(port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settings returns the settings file of a machine.
func (m *mesh) settings(v *machine, bootstrap bool) string {
	var seeds []string
	for _, c := range m.core {
		seeds = append(seeds, c.addr(controlPort))
	}
	lines := []string{
		"Self.NodeId=" + v.name, "Self.Ip=" + v.ip, "Self.Zone=zone-a", "Self.Region=region-a",
		fmt.Sprintf("Self.Bootstrap=%t", bootstrap), "Self.Limits.CpuShare=0.32", "Self.Limits.CpuCores=1", "Self.Limits.MemoryMb=284",
		"Self.Limits.MaxFds=4100", "Self.Limits.LinkMbps=1000.0",
		"Network.BindAddrs.Control=" + v.addr(controlPort),
		fmt.Sprintf("Network.InternalPorts=%d,%d", firstPort, lastPort),
		"Network.SeedNodes=" + strings.Join(seeds, ","), "Network.Zones.zone-a=region-a",
		"Platform.Discovery=static", "Platform.EntryMode=static", fmt.Sprintf("Platform.HeartbeatS=%g", heartbeatTime.Seconds()),
		"Timeouts.Contracts=base,drain,config,cost,retry,recover",
		"Timeouts.FaultTolerance.Nodes=1", "Timeouts.FaultTolerance.Zones=1", "Timeouts.FaultTolerance.Regions=0",
		"Timeouts.Bounds.SeedLagS=3", "Timeouts.Bounds.AddrReuseS=2", fmt.Sprintf("Timeouts.Bounds.StableS=%g", stableTime.Seconds()),
		"Timeouts.Bounds.AckS=4", "Timeouts.Bounds.RecoveryS=4", fmt.Sprintf("Timeouts.Bounds.DrainS=%g", drainTime.Seconds()),
		"Timeouts.Bounds.GraceS=6", "Timeouts.Bounds.LossSlackS=0.2", fmt.Sprintf("Timeouts.Bounds.ConfigApplyS=%g", applyTime.Seconds()),
		"Timeouts.Bounds.RollbackSlackS=0.25", "Timeouts.Bounds.MaxSkewS=5", "Timeouts.Bounds.RetryBudgetRatio=0.2",
		"Timeouts.Bounds.RetryWindowS=10", "Timeouts.Bounds.RetryBudgetSlack=64", "Timeouts.Bounds.RecoverS=15",
	}
	if v.role == "controller" {
		lines = append(lines, "Self.NodeClass=core", "Self.Serves=control_plane", "Self.FaultCounted=true",
			"Self.Limits.DiskMb=256", "Self.DataDir="+filepath.Join(m.folder, "data-"+v.name))
	} else {
		lines = append(lines, "Self.NodeClass=sidecar", "Self.Serves=sidecar", "Self.FaultCounted=false", "Self.Limits.DiskMb=0",
			"Self.AppAddr="+v.addr(appPort), "Self.Service="+v.service,
			"Network.BindAddrs.Inbound="+v.addr(inboundPort), "Network.BindAddrs.Outbound="+v.addr(outboundPort),
			"Network.BindAddrs.Ready="+v.addr(readyPort))
	}
	return strings.Join(lines, "\n") + "\n" + m.extra
}

// start starts the process of a machine as the deploy file does.
func (m *mesh) start(v *machine, bootstrap bool) error {
	path := filepath.Join(m.folder, v.name+".conf")
	if err := os.WriteFile(path, []byte(m.settings(v, bootstrap)), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(m.folder, "data-"+v.name), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, v.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, v.role)
	cmd.Env = []string{"BLUEBELLHOIST_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.exited = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(v.exited)
	}()
	m.rec.add("start %s", v.name)
	return nil
}

// startAll starts all machines for the first time.
func (m *mesh) startAll() error {
	for _, v := range m.machines() {
		if err := m.start(v, true); err != nil {
			return err
		}
	}
	return nil
}

// kill kills the processes of the machines at the same moment.
func (m *mesh) kill(machines ...*machine) {
	for _, v := range machines {
		_ = v.cmd.Process.Kill()
		m.rec.add("kill %s", v.name)
	}
	for _, v := range machines {
		<-v.exited
	}
}

// end ends all processes that still run and removes the temporary folder.
func (m *mesh) end() {
	for _, v := range append(m.machines(), m.spare) {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", m.folder)
		return
	}
	_ = os.RemoveAll(m.folder)
}

// eventually repeats step until it returns true, or returns an error after the given time.
func eventually(ctx context.Context, limit time.Duration, what string, step func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if step() {
			return nil
		}
	}
	return fmt.Errorf("not reached: %s", what)
}
