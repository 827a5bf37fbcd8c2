package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Bounds of the small installation in the users' pages.
const (
	heartbeatInterval = 1500 * time.Millisecond
	memoryMB          = 284
	graceSeconds      = 6
)

// machine is one machine: a loopback address with one process of the system.
type machine struct {
	name, ip, role, service string

	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// mesh is a small installation: three machines with a controller, and machines with a daemon and a backend each.
type mesh struct {
	rec      *record
	dir      string
	binary   string
	ports    map[string]int
	cores    []*machine
	sidecars []*machine
}

// newMesh prepares an installation with one sidecar machine for each service in services.
func newMesh(rec *record, services ...string) (*mesh, error) {
	binary, err := filepath.Abs("target/bluebellhoist")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	m := &mesh{rec: rec, dir: dir, binary: binary, ports: map[string]int{}}
	for _, name := range []string{"control", "outbound", "inbound", "ready", "internal", "app"} {
		if m.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	block := os.Getpid()%200 + 20
	for i := range 3 {
		m.cores = append(m.cores, &machine{name: fmt.Sprintf("core-z%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", block, i+1), role: "controller"})
	}
	for i, service := range services {
		m.sidecars = append(m.sidecars, &machine{name: fmt.Sprintf("sidecar-z1-%d", i+1), ip: fmt.Sprintf("127.%d.2.%d", block, i+1), role: "daemon", service: service})
	}
	return m, nil
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addr returns the address of one of the named ports on a machine.
func (m *mesh) addr(x *machine, port string) string {
	return fmt.Sprintf("%s:%d", x.ip, m.ports[port])
}

func (m *mesh) dataDir(x *machine) string {
	return filepath.Join(m.dir, "data-"+x.name)
}

// settings returns the settings file of a machine, in the form that the deploy page shows.
func (m *mesh) settings(x *machine, bootstrap bool) string {
	var seeds []string
	for _, c := range m.cores {
		seeds = append(seeds, m.addr(c, "control"))
	}
	zone := "z1"
	if x.role == "controller" {
		zone = strings.TrimPrefix(x.name, "core-")
	}
	lines := []string{
		"Self.NodeId=" + x.name, "Self.Role=" + x.role, "Self.Ip=" + x.ip, "Self.Zone=" + zone, "Self.Region=r1",
		fmt.Sprintf("Self.Bootstrap=%t", bootstrap), fmt.Sprintf("Self.Limits.MemoryMb=%d", memoryMB), "Self.Limits.MaxFds=4100",
		"Network.BindAddrs.Control=" + m.addr(x, "control"),
		fmt.Sprintf("Network.InternalPorts=%d,%d", m.ports["internal"], m.ports["internal"]+1),
		"Network.SeedNodes=" + strings.Join(seeds, ","),
		"Network.Zones.z1=r1", "Network.Zones.z2=r1", "Network.Zones.z3=r1",
		fmt.Sprintf("Platform.HeartbeatS=%v", heartbeatInterval.Seconds()),
		"Timeouts.Contracts=base,drain,config,cost,retry,recover", "Timeouts.FaultTolerance.Nodes=1",
		"Timeouts.FaultTolerance.Zones=1", "Timeouts.FaultTolerance.Regions=0", "Timeouts.Bounds.SeedLagS=3",
		"Timeouts.Bounds.AddrReuseS=2", "Timeouts.Bounds.StableS=3", "Timeouts.Bounds.AckS=4", "Timeouts.Bounds.RecoveryS=4",
		"Timeouts.Bounds.DrainS=2", fmt.Sprintf("Timeouts.Bounds.GraceS=%d", graceSeconds), "Timeouts.Bounds.LossSlackS=0.2",
		"Timeouts.Bounds.ConfigApplyS=2", "Timeouts.Bounds.RollbackSlackS=0.25", "Timeouts.Bounds.MaxSkewS=5",
		"Timeouts.Bounds.RetryBudgetRatio=0.2", "Timeouts.Bounds.RetryWindowS=10", "Timeouts.Bounds.RetryBudgetSlack=64",
		"Timeouts.Bounds.RecoverS=15",
	}
	if x.role == "controller" {
		lines = append(lines, "Self.NodeClass=core", "Self.Serves=control_plane", "Self.FaultCounted=true", "Self.DataDir="+m.dataDir(x))
	} else {
		lines = append(lines, "Self.NodeClass=sidecar", "Self.Serves=sidecar", "Self.FaultCounted=false",
			"Self.AppAddr="+m.addr(x, "app"), "Self.Service="+x.service, "Network.BindAddrs.Inbound="+m.addr(x, "inbound"),
			"Network.BindAddrs.Outbound="+m.addr(x, "outbound"), "Network.BindAddrs.Ready="+m.addr(x, "ready"))
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of a machine with the command of the deploy file.
func (m *mesh) start(x *machine, bootstrap bool) error {
	path := filepath.Join(m.dir, x.name+".conf")
	if err := os.WriteFile(path, []byte(m.settings(x, bootstrap)), 0o600); err != nil {
		return err
	}
	if x.role == "controller" {
		if err := os.MkdirAll(m.dataDir(x), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(m.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(m.binary, x.role)
	cmd.Env = append(cmd.Env, "PATH="+os.Getenv("PATH"), "HOME="+os.Getenv("HOME"), "BLUEBELLHOIST_BOOT="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	x.cmd, x.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (x *machine) signal(s syscall.Signal) {
	if x.cmd != nil {
		_ = x.cmd.Process.Signal(s)
	}
}

// ended reports whether the process of a machine ends within the given time.
func (x *machine) ended(within time.Duration) bool {
	select {
	case <-x.done:
		return true
	case <-time.After(within):
		return false
	}
}

// logTail returns the last lines that the process of a machine has written.
func (m *mesh) logTail(x *machine, lines int) string {
	data, _ := os.ReadFile(filepath.Join(m.dir, x.name+".log"))
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// startAll starts all machines and waits until the daemons are ready with the given configuration in force.
func (m *mesh) startAll(cfg config) error {
	for _, x := range append(append([]*machine{}, m.cores...), m.sidecars...) {
		if err := m.start(x, true); err != nil {
			return err
		}
	}
	if err := m.replaceConfig(0, cfg, 30*time.Second); err != nil {
		return err
	}
	return m.waitReady(30 * time.Second)
}

// waitReady waits until all daemons say that they are ready.
func (m *mesh) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, x := range m.sidecars {
		for !m.ready(x) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %s", x.name, m.logTail(x, 5))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *mesh) ready(x *machine) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.addr(x, "ready") + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stopAll ends all processes that the mesh has started.
func (m *mesh) stopAll() {
	for _, x := range append(append([]*machine{}, m.cores...), m.sidecars...) {
		if x.cmd != nil {
			x.signal(syscall.SIGCONT)
			x.signal(syscall.SIGKILL)
			<-x.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.dir)
	}
}

// errNoAck reports that the operator got no acknowledgement in time.
var errNoAck = errors.New("no acknowledgement")

// replaceConfig sends a configuration as the operator does: unchanged and to each controller in turn until it is
// acknowledged.
func (m *mesh) replaceConfig(base int, cfg config, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	body := cfg.encode()
	for i := 0; ctx.Err() == nil; i++ {
		status, text, err := m.call(ctx, m.cores[i%len(m.cores)], http.MethodPost, "/api/Config.Replace", base, body)
		if err == nil && status == http.StatusOK {
			m.rec.printf("operator: version r%d on top of r%d acknowledged", cfg.version, base)
			return nil
		}
		if err == nil && status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return fmt.Errorf("configuration r%d: %d %s", cfg.version, status, text)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: configuration r%d", errNoAck, cfg.version)
}

// call makes one call of the operator with a time limit of one second.
func (m *mesh) call(ctx context.Context, x *machine, method, path string, base int, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.addr(x, "control")+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, "", err
	}
	if method == http.MethodPost {
		req.Header.Set("Base-Version", fmt.Sprintf("r%d", base))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text := new(strings.Builder)
	buf := make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(buf)
		text.Write(buf[:n])
		if err != nil {
			break
		}
	}
	return resp.StatusCode, text.String(), nil
}

// statusKB returns a field of the status of the process of a machine, in kB, or 0 if it has ended.
func (x *machine) statusKB(field string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb
		}
	}
	return 0
}

// listens reports whether the operator's interface of a controller accepts connections.
func (m *mesh) listens(x *machine) bool {
	conn, err := net.DialTimeout("tcp", m.addr(x, "control"), 100*time.Millisecond)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
