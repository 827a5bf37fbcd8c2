package runner

import (
	"context"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"bluebellhoist/core/waiter"
	"bluebellhoist/soak/planner"
	"bluebellhoist/soak/relayer"
)

const (
	// plannedStopTimeout is the maximum duration of a planned stop: stopGrace and a margin for a busy machine.
	plannedStopTimeout = 9 * time.Second
	// linkDelay and datagramLoss apply to the links of a process during a Delay fault.
	linkDelay    = 80 * time.Millisecond
	datagramLoss = 0.2
	// burstSize is the number of changes of a Change fault, and burstPause the time between them.
	burstSize  = 6
	burstPause = 60 * time.Millisecond
)

// runPlan runs the steps of a plan at their start times and returns once all have ended.
func (r *Runner) runPlan(ctx context.Context, steps []planner.Step) {
	var work sync.WaitGroup
	defer work.Wait()
	began := time.Now()
	for _, step := range steps {
		if !waiter.SleepCompleted(ctx, step.Start-time.Since(began)) {
			return
		}
		r.log.Info("injecting fault", "step", step.String())
		work.Add(1)
		go func() {
			defer work.Done()
			r.runStep(ctx, step)
		}()
	}
}

// runStep injects one fault and undoes it after its duration.
func (r *Runner) runStep(ctx context.Context, step planner.Step) {
	switch step.Kind {
	case planner.Stop:
		r.stopAndRestart(ctx, step)
		return
	case planner.Hangup:
		r.nodeByName(step.Target).Signal(syscall.SIGHUP)
		return
	case planner.Leave:
		u := r.upstreams[upstreamOf(step.Target)]
		recordReturn := u.leave(ctx)
		waiter.SleepCompleted(ctx, step.Duration)
		recordReturn()
		u.rejoin()
		return
	case planner.Change:
		r.submitChanges(ctx, "storm", burstSize, burstPause)
		return
	case planner.Race:
		r.raceChanges(ctx)
		return
	}
	defer r.checker.RecordFault(step.Target)()
	undo := r.inject(step)
	waiter.SleepCompleted(ctx, step.Duration)
	undo()
}

// inject injects an unplanned fault and returns a function that undoes it.
func (r *Runner) inject(step planner.Step) (undo func()) {
	noUndo := func() {}
	switch step.Kind {
	case planner.Kill:
		return r.kill(r.nodeByName(step.Target))
	case planner.Wipe:
		n := r.nodeByName(step.Target)
		restart := r.kill(n)
		if err := os.RemoveAll(n.dataDir); err != nil {
			r.checker.RecordViolation("data folder of %s was not removed: %v", n.name, err)
		}
		return restart
	case planner.Herd:
		return r.killAllWithPrefix(step.Target)
	case planner.Pause:
		n := r.nodeByName(step.Target)
		n.Signal(syscall.SIGSTOP)
		return func() { n.Signal(syscall.SIGCONT) }
	case planner.Cut, planner.OneWay, planner.Split, planner.Delay:
		return r.disturbLinks(step)
	case planner.Reset:
		r.relayer.Reset(step.Target, "")
		return noUndo
	case planner.Silence:
		r.relayer.Silence(step.Target, "")
		return noUndo
	case planner.Crash:
		u := r.upstreams[upstreamOf(step.Target)]
		u.stop()
		return func() {
			if err := u.start(); err != nil {
				r.checker.RecordViolation("%v", err)
			}
		}
	case planner.Slow:
		u := r.upstreams[upstreamOf(step.Target)]
		u.slow.Store(true)
		return func() { u.slow.Store(false) }
	case planner.Lose:
		u := r.upstreams[upstreamOf(step.Target)]
		u.loseAnswers.Store(true)
		return func() { u.loseAnswers.Store(false) }
	}
	return noUndo
}

// kill kills a process and returns a function that restarts it.
func (r *Runner) kill(n *node) (restart func()) {
	n.Kill()
	return func() { r.restart(n) }
}

// killAllWithPrefix kills all processes whose names begin with the prefix and returns a function that restarts them.
func (r *Runner) killAllWithPrefix(prefix string) (restartAll func()) {
	var restarts []func()
	for _, n := range r.allNodes() {
		if strings.HasPrefix(n.name, prefix) {
			restarts = append(restarts, r.kill(n))
		}
	}
	return func() {
		for _, restart := range restarts {
			restart()
		}
	}
}

// stopAndRestart performs a planned stop of a process and restarts it after the duration of the step.
func (r *Runner) stopAndRestart(ctx context.Context, step planner.Step) {
	n := r.nodeByName(step.Target)
	recordEnd := r.checker.RecordPlannedStop(n.name)
	if err := n.Stop(plannedStopTimeout); err != nil {
		r.checker.RecordViolation("planned stop of %s failed: %v", n.name, err)
	}
	recordEnd()
	waiter.SleepCompleted(ctx, step.Duration)
	r.restart(n)
}

// restart starts a process again. A controller is started without founders: one that has lost its data would otherwise
// found a new cluster.
func (r *Runner) restart(n *node) {
	var err error
	if strings.HasPrefix(n.name, "c") {
		err = r.writeControllerSettings(n, false)
	}
	if err == nil {
		err = os.MkdirAll(n.dataDir, 0o755)
	}
	if err == nil {
		err = n.Start()
	}
	if err != nil {
		r.checker.RecordViolation("restart of %s failed: %v", n.name, err)
	}
}

// disturbLinks injects a fault on the links between the target, a process or failure domain, and all other processes.
// It returns a function that removes the fault.
func (r *Runner) disturbLinks(step planner.Step) (undo func()) {
	affected := func(n *node) bool { return n.name == step.Target || n.domain == step.Target }
	var links []relayer.Link
	for _, a := range r.allNodes() {
		for _, b := range r.allNodes() {
			if !affected(a) && affected(b) {
				links = append(links, relayer.Link{From: a.name, To: b.name})
				if step.Kind != planner.OneWay {
					links = append(links, relayer.Link{From: b.name, To: a.name})
				}
			}
		}
	}
	setActive := func(active bool) {
		for _, link := range links {
			r.relayer.UpdateLink(link, func(s *relayer.LinkState) {
				switch {
				case step.Kind != planner.Delay:
					s.Cut = active
				case active:
					s.Delay, s.Loss = linkDelay, datagramLoss
				default:
					s.Delay, s.Loss = 0, 0
				}
			})
		}
	}
	setActive(true)
	return func() { setActive(false) }
}

// raceChanges submits two concurrent changes with the same base version.
func (r *Runner) raceChanges(ctx context.Context) {
	_, base, err := r.readConfiguration(ctx)
	if err != nil {
		return // no controller can confirm the current version, which both changes need as base
	}
	var changes sync.WaitGroup
	for _, operator := range []string{"left", "right"} {
		changes.Add(1)
		go func() {
			defer changes.Done()
			r.submitChange(ctx, operator+"-"+time.Now().Format("150405.000000"), base)
		}()
	}
	changes.Wait()
}

// allNodes returns all controllers and daemons.
func (r *Runner) allNodes() []*node {
	return slices.Concat(r.controllers, r.daemons)
}

// nodeByName returns the process with the given name, which must exist.
func (r *Runner) nodeByName(name string) *node {
	i := slices.IndexFunc(r.allNodes(), func(n *node) bool { return n.name == name })
	return r.allNodes()[i]
}
