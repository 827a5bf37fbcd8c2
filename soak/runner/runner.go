// Package runner plays one seed: it starts the mesh, sends calls and changes, plays the faults and checks what was seen.
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
	// startLimit bounds the first start of the mesh.
	startLimit = 40 * time.Second
	// applyLimit is the time in which a change must be in force everywhere and calls must be served again after the
	// last fault.
	applyLimit = 15 * time.Second
	// lastCalls is the time after that in which calls are counted, and servedLeast the share that must be answered.
	lastCalls   = 3 * time.Second
	servedLeast = 0.95
	// heldEvery is the time between two looks at the version of a daemon.
	heldEvery = 200 * time.Millisecond
)

// ErrStart reports a mesh that did not begin to serve.
var ErrStart = errors.New("the mesh does not serve")

// Settings describe one run.
type Settings struct {
	Seed        uint64
	Programs    string // folder with controller and daemon
	Folder      string // for settings, data and logs
	Net         byte   // second byte of the loopback addresses
	Controllers int
	Daemons     int
	Duration    time.Duration // of the faults
	Rate        float64       // calls a second
}

// Result is what became of a run.
type Result struct {
	Found                []string // broken promises
	Steps                int
	Calls, Runs, Changes int
	Served               float64 // share of all calls that were answered
}

// Runner plays one seed.
type Runner struct {
	settings    Settings
	log         hclog.Logger
	judge       *judge.Checker
	relayer     *relayer.Relayer
	client      *http.Client
	controllers []*node
	daemons     []*node
	upstreams   map[string]*upstream
	marks       atomic.Int64
}

// New returns a runner.
func New(s Settings, log hclog.Logger) *Runner {
	r := &Runner{
		settings: s, log: log, judge: judge.New(), relayer: relayer.New(), upstreams: map[string]*upstream{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	for i := range s.Controllers {
		r.controllers = append(r.controllers, r.node("c", i+1, 200, "controller"))
	}
	for i := range s.Daemons {
		d := r.node("d", i+1, 0, "daemon")
		r.daemons = append(r.daemons, d)
		r.upstreams[upstreamOf(d.name)] = &upstream{r: r, node: d, name: upstreamOf(d.name)}
	}
	return r
}

// Run plays the seed and returns what was found.
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
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	if err := r.startAll(watching, &work); err != nil {
		return Result{}, err
	}
	calling, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	work.Add(1)
	go func() {
		defer work.Done()
		r.load(calling, rand.New(rand.NewPCG(r.settings.Seed, 1)))
	}()
	steps := planner.Plan(r.settings.Seed, r.Shape())
	began := time.Now()
	r.play(ctx, steps)
	r.relayer.Heal()
	waiter.Slept(ctx, applyLimit)
	calm := time.Now()
	waiter.Slept(ctx, lastCalls)
	stopCalls()
	mark, version := r.checkEnd(ctx, calm)
	stopWatching()
	work.Wait()
	r.stopAll()
	result := Result{Found: r.judge.Violations(mark, version), Steps: len(steps), Served: r.judge.AnsweredRatio(began, calm)}
	result.Calls, result.Runs, result.Changes = r.judge.Counts()
	return result, ctx.Err()
}

// Shape returns the mesh that faults are drawn for.
func (r *Runner) Shape() planner.Topology {
	shape := planner.Topology{Domains: domains, Duration: r.settings.Duration}
	for _, c := range r.controllers {
		shape.Controllers = append(shape.Controllers, c.name)
	}
	for _, d := range r.daemons {
		shape.Daemons = append(shape.Daemons, d.name)
	}
	return shape
}

// startAll starts all processes and upstreams, and returns once the first configuration is in force everywhere.
func (r *Runner) startAll(ctx context.Context, work *sync.WaitGroup) error {
	for _, n := range r.nodes() {
		err := os.MkdirAll(n.data, 0o755)
		if n.service != "" && n.name[0] == 'd' {
			err = errors.Join(err, r.configureDaemon(n))
		} else {
			err = errors.Join(err, r.configure(n, true))
		}
		if err = errors.Join(err, n.Start()); err != nil {
			return err
		}
	}
	for _, u := range r.upstreams {
		if err := u.up(); err != nil {
			return err
		}
		work.Add(2)
		go func() { defer work.Done(); u.announce(ctx) }()
		go func() { defer work.Done(); r.watch(ctx, u.node) }()
	}
	limit, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	r.change(limit, "first", 0)
	for !r.serving(limit) {
		if !waiter.Slept(limit, heldEvery) {
			return fmt.Errorf("%w after %v", ErrStart, startLimit)
		}
	}
	return nil
}

// serving reports whether each daemon answers calls on all services.
func (r *Runner) serving(ctx context.Context) bool {
	for i, d := range r.daemons {
		for _, target := range []string{"/look/", "/pay/"} {
			id := fmt.Sprintf("first-%d%s%d", i, target, time.Now().UnixNano())
			o := order{method: http.MethodPost, target: target + "?size=1", host: "soak.example", port: portRoutes, size: 1, id: id}
			if !r.ready(ctx, d, o) {
				return false
			}
		}
	}
	return true
}

// ready sends a call outside the count of the judge, since a daemon may not have the configuration yet.
func (r *Runner) ready(ctx context.Context, d *node, o order) bool {
	request, err := http.NewRequestWithContext(ctx, o.method, "http://"+d.behind(o.port).String()+o.target, nil)
	if err != nil {
		return false
	}
	request.Host = o.host
	request.Header.Set(headerID, o.id)
	response, err := r.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// watch notes the version that a daemon has in effect, until ctx ends.
func (r *Runner) watch(ctx context.Context, d *node) {
	for waiter.Slept(ctx, heldEvery) {
		if version, ok := r.held(ctx, d); ok {
			r.judge.RecordVersion(d.name, version)
		}
	}
}

// held asks a daemon for its version.
func (r *Runner) held(ctx context.Context, d *node) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.at(portLocal).String()+"/v1/status", nil)
	if err != nil {
		return 0, false
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, false // it may be down
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

// checkEnd checks that the system has recovered, and returns the mark and version in place.
func (r *Runner) checkEnd(ctx context.Context, calm time.Time) (string, uint64) {
	if served := r.judge.AnsweredRatio(calm, time.Now().Add(-time.Second)); served < servedLeast {
		r.judge.RecordViolation("%.3f of the calls are answered %v after the last fault", served, applyLimit)
	}
	mark, version, err := r.read(ctx)
	if err != nil {
		r.judge.RecordViolation("%v after the last fault: %v", applyLimit, err)
	}
	for _, d := range r.daemons {
		if held, ok := r.held(ctx, d); !ok || held != version {
			r.judge.RecordViolation("%s has version %d in effect, in place is %d", d.name, held, version)
		}
	}
	return mark, version
}

// stopAll ends all processes as planned.
func (r *Runner) stopAll() {
	for _, n := range append(append([]*node{}, r.daemons...), r.controllers...) {
		if err := n.Stop(stopLimit); err != nil {
			r.judge.RecordViolation("planned stop of %s: %v", n.name, err)
		}
	}
}

// killAll ends what still runs, also after a start that failed.
func (r *Runner) killAll() {
	for _, n := range r.nodes() {
		n.Signal(syscall.SIGCONT)
		n.Kill()
	}
	for _, u := range r.upstreams {
		u.down()
	}
	r.client.CloseIdleConnections()
}

// shuffled returns the controllers in random order.
func (r *Runner) shuffled() []*node {
	all := append([]*node(nil), r.controllers...)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}
