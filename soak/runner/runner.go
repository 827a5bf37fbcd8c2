// Package runner executes the soak of one seed: it starts the mesh, sends calls and configuration changes, injects
// faults and checks the guarantees of the system.
package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/waiter"
	"bluebellhoist/soak/judge"
	"bluebellhoist/soak/planner"
	"bluebellhoist/soak/relayer"
)

const (
	// startTimeout is the maximum time from the start of the mesh until it answers calls.
	startTimeout = 40 * time.Second
	// recoveryTime is the time after the last fault within which all daemons must have the current configuration in
	// effect and calls must be answered again.
	recoveryTime = 15 * time.Second
	// finalCallsTime is the time after recoveryTime in which the ratio of answered calls must reach minAnsweredRatio.
	finalCallsTime   = 3 * time.Second
	minAnsweredRatio = 0.95
	// statusPollInterval is the time between two status requests to a daemon.
	statusPollInterval = 200 * time.Millisecond
)

// ErrNotServing reports that the mesh did not answer calls before the start timeout.
var ErrNotServing = errors.New("mesh does not answer calls")

// Settings describes one soak.
type Settings struct {
	Seed           uint64
	ProgramDir     string // folder with the programs controller and daemon
	Dir            string // for settings, data and logs
	LoopbackNet    byte   // second byte of the loopback addresses
	Controllers    int
	Daemons        int
	FaultDuration  time.Duration // faults are injected for this time
	CallsPerSecond float64
	Converge       time.Duration // changes must be in effect so long after their acknowledgement while at most one controller is disturbed
}

// Result summarizes a soak.
type Result struct {
	Violations           []string // violated guarantees
	Faults               int
	Calls, Runs, Changes int
	AnsweredRatio        float64 // ratio of answered calls from the first fault until the end of recoveryTime
}

// Runner executes one soak.
type Runner struct {
	settings    Settings
	log         hclog.Logger
	checker     *judge.Checker
	relayer     *relayer.Relayer
	client      *http.Client
	controllers []*process
	daemons     []*process
	upstreams   map[string]*upstream
	changeCount atomic.Int64
}

// New returns a Runner with the processes of the mesh, none of which is started yet.
func New(s Settings, log hclog.Logger) *Runner {
	r := &Runner{
		settings: s, log: log, checker: judge.New(), relayer: relayer.New(), upstreams: map[string]*upstream{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	for i := range s.Controllers {
		r.controllers = append(r.controllers, r.newProcess("c", i+1, 200, "controller"))
	}
	for i := range s.Daemons {
		d := r.newProcess("d", i+1, 0, "daemon")
		r.daemons = append(r.daemons, d)
		r.upstreams[upstreamOf(d.name)] = &upstream{runner: r, daemon: d, name: upstreamOf(d.name)}
	}
	return r
}

// Run executes the soak and returns its result. The error reports a soak that did not start or was canceled.
func (r *Runner) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.relayer.Wait()
	defer cancel()
	for _, relay := range r.relays() {
		if err := r.relayer.Open(ctx, relay); err != nil {
			return Result{}, err
		}
	}
	defer r.killAll()
	var work sync.WaitGroup
	defer work.Wait()
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	if err := r.startAll(watchCtx, &work); err != nil {
		return Result{}, err
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	work.Add(1)
	go func() {
		defer work.Done()
		r.generateCalls(callCtx, rand.New(rand.NewPCG(r.settings.Seed, 1)))
	}()
	steps := planner.Plan(r.settings.Seed, r.Topology())
	began := time.Now()
	r.runPlan(ctx, steps)
	r.relayer.Heal()
	waiter.SleepCompleted(ctx, recoveryTime)
	recovered := time.Now()
	waiter.SleepCompleted(ctx, finalCallsTime)
	stopCalls()
	mark, version := r.checkRecovery(ctx, recovered)
	stopWatching()
	work.Wait()
	r.stopAll()
	violations := append(r.checker.Violations(mark, version), r.checker.Convergence(r.settings.Converge, domainsOf(r.controllers), domainsOf(r.daemons))...)
	result := Result{Violations: violations, Faults: len(steps), AnsweredRatio: r.checker.AnsweredRatio(began, recovered)}
	result.Calls, result.Runs, result.Changes = r.checker.Counts()
	return result, ctx.Err()
}

// Topology returns the processes and failure domains that faults are planned for.
func (r *Runner) Topology() planner.Topology {
	topology := planner.Topology{Domains: domains, Duration: r.settings.FaultDuration}
	for _, c := range r.controllers {
		topology.Controllers = append(topology.Controllers, c.name)
	}
	for _, d := range r.daemons {
		topology.Daemons = append(topology.Daemons, d.name)
	}
	return topology
}

// domainsOf returns the failure domains of processes.
func domainsOf(processes []*process) judge.Domains {
	all := judge.Domains{}
	for _, p := range processes {
		all[p.name] = p.domain
	}
	return all
}

// startAll starts all processes and upstreams, and returns once all daemons answer calls on the routes of the first
// configuration.
func (r *Runner) startAll(ctx context.Context, work *sync.WaitGroup) error {
	for _, p := range r.allProcesses() {
		err := os.MkdirAll(p.dataDir, 0o755)
		if p.service != "" && p.name[0] == 'd' {
			err = errors.Join(err, r.writeDaemonSettings(p))
		} else {
			err = errors.Join(err, r.writeControllerSettings(p, true))
		}
		if err = errors.Join(err, p.Start()); err != nil {
			return err
		}
	}
	for _, u := range r.upstreams {
		if err := u.start(); err != nil {
			return err
		}
		work.Add(2)
		go func() { defer work.Done(); u.announce(ctx) }()
		go func() { defer work.Done(); r.watchVersion(ctx, u.daemon) }()
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.submitChange(startCtx, "first", 0)
	for !r.serving(startCtx) {
		if !waiter.SleepCompleted(startCtx, statusPollInterval) {
			return fmt.Errorf("%w after %v", ErrNotServing, startTimeout)
		}
	}
	return nil
}

// serving reports whether each daemon answers a call on each of the two routes.
func (r *Runner) serving(ctx context.Context) bool {
	for i, d := range r.daemons {
		for _, target := range []string{"/look/", "/pay/"} {
			id := fmt.Sprintf("first-%d%s%d", i, target, time.Now().UnixNano())
			spec := callSpec{method: http.MethodPost, target: target + "?size=1", host: "soak.example", port: portRoutes, answerSize: 1, id: id}
			if !r.answersCall(ctx, d, spec) {
				return false
			}
		}
	}
	return true
}

// answersCall reports whether a daemon answers a call. The call is not recorded, since it may fail without a violation
// while the daemon does not have the configuration yet.
func (r *Runner) answersCall(ctx context.Context, d *process, spec callSpec) bool {
	request, err := http.NewRequestWithContext(ctx, spec.method, "http://"+d.publicAddr(spec.port).String()+spec.target, nil)
	if err != nil {
		return false
	}
	request.Host = spec.host
	request.Header.Set(callIDHeader, spec.id)
	response, err := r.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// watchVersion records the version that a daemon has in effect periodically until ctx ends.
func (r *Runner) watchVersion(ctx context.Context, d *process) {
	for waiter.SleepCompleted(ctx, statusPollInterval) {
		askedAt := time.Now()
		if version, ok := r.versionInEffect(ctx, d); ok {
			r.checker.RecordVersion(d.name, version, askedAt)
		}
	}
}

// versionInEffect returns the version that a daemon has in effect, or false if it does not answer or has none.
func (r *Runner) versionInEffect(ctx context.Context, d *process) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, operatorRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.privateAddr(portLocal).String()+"/v1/status", nil)
	if err != nil {
		return 0, false
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, false // the daemon may be down
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false
	}
	var status struct {
		Held uint64 `json:"held"`
	}
	if err := json.Unmarshal(data, &status); err != nil || status.Held == 0 {
		return 0, false // no configuration yet
	}
	return status.Held, true
}

// checkRecovery checks that the system has recovered, and returns the mark and version of the current configuration.
func (r *Runner) checkRecovery(ctx context.Context, recovered time.Time) (string, uint64) {
	if ratio := r.checker.AnsweredRatio(recovered, time.Now().Add(-time.Second)); ratio < minAnsweredRatio {
		r.checker.RecordViolation("answered ratio of %.3f is too low %v after the last fault", ratio, recoveryTime)
	}
	mark, version, err := r.readConfiguration(ctx)
	if err != nil {
		r.checker.RecordViolation("%v after the last fault, the current version is unknown: %v", recoveryTime, err)
	}
	for _, d := range r.daemons {
		if inEffect, ok := r.versionInEffect(ctx, d); !ok || inEffect != version {
			r.checker.RecordViolation("%s has version %d in effect, but the current version is %d", d.name, inEffect, version)
		}
	}
	return mark, version
}

// stopAll performs planned stops of all processes, the daemons first.
func (r *Runner) stopAll() {
	for _, p := range append(append([]*process{}, r.daemons...), r.controllers...) {
		if err := p.Stop(plannedStopTimeout); err != nil {
			r.checker.RecordViolation("planned stop of %s failed: %v", p.name, err)
		}
	}
}

// killAll kills all processes and stops all upstreams that are still running, also after a failed start.
func (r *Runner) killAll() {
	for _, p := range r.allProcesses() {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	for _, u := range r.upstreams {
		u.stop()
	}
	r.client.CloseIdleConnections()
}

// shuffledControllers returns the controllers in random order.
func (r *Runner) shuffledControllers() []*process {
	all := append([]*process(nil), r.controllers...)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}
