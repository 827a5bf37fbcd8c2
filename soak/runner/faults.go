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

// runStep performs one step of the plan; a fault is undone after the duration of the step.
func (r *Runner) runStep(ctx context.Context, step planner.Step) {
	switch step.Kind {
	case planner.Stop:
		r.stopAndRestart(ctx, step)
		return
	case planner.Hangup:
		r.processByName(step.Target).Signal(syscall.SIGHUP)
		return
	case planner.Leave:
		u := r.upstreams[upstreamOf(step.Target)]
		recordRejoin := u.leave(ctx)
		waiter.SleepCompleted(ctx, step.Duration)
		recordRejoin()
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
	undo := r.inject(ctx, step)
	waiter.SleepCompleted(ctx, step.Duration)
	undo()
}

// inject injects an unplanned fault and returns a function that undoes it.
func (r *Runner) inject(ctx context.Context, step planner.Step) (undo func()) {
	noUndo := func() {}
	switch step.Kind {
	case planner.Kill:
		return r.kill(r.processByName(step.Target))
	case planner.Wipe:
		return r.wipe(r.processByName(step.Target))
	case planner.Gone:
		return r.removeBesideWipe(ctx, step)
	case planner.Herd:
		return r.killAllWithPrefix(step.Target)
	case planner.Pause:
		p := r.processByName(step.Target)
		p.Signal(syscall.SIGSTOP)
		return func() { p.Signal(syscall.SIGCONT) }
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
func (r *Runner) kill(p *process) (restart func()) {
	p.Kill()
	return func() { r.restart(p) }
}

// wipe kills a process, removes its data folder and returns a function that restarts it.
func (r *Runner) wipe(p *process) (restart func()) {
	restart = r.kill(p)
	if err := os.RemoveAll(p.dataDir); err != nil {
		r.checker.RecordViolation("data folder of %s was not removed: %v", p.name, err)
	}
	return restart
}

// removeBesideWipe kills a controller for good, and another one after half of the duration of the step, which restarts at once
// without its data folder. It returns a function that starts a new controller in place of the first one.
func (r *Runner) removeBesideWipe(ctx context.Context, step planner.Step) (restart func()) {
	startNew := r.wipe(r.processByName(step.Target))
	waiter.SleepCompleted(ctx, step.Duration/2)
	recordEnd := r.checker.RecordFault(step.Other)
	r.wipe(r.processByName(step.Other))()
	return func() {
		recordEnd()
		startNew()
	}
}

// killAllWithPrefix kills all processes whose names begin with the prefix and returns a function that restarts them.
func (r *Runner) killAllWithPrefix(prefix string) (restartAll func()) {
	var restarts []func()
	for _, p := range r.allProcesses() {
		if strings.HasPrefix(p.name, prefix) {
			restarts = append(restarts, r.kill(p))
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
	p := r.processByName(step.Target)
	recordEnd := r.checker.RecordPlannedStop(p.name)
	if err := p.Stop(plannedStopTimeout); err != nil {
		r.checker.RecordViolation("planned stop of %s failed: %v", p.name, err)
	}
	recordEnd()
	waiter.SleepCompleted(ctx, step.Duration)
	r.restart(p)
}

// restart starts a process again. A controller is started without founders: one that has lost its data would otherwise
// found a new cluster.
func (r *Runner) restart(p *process) {
	var err error
	if strings.HasPrefix(p.name, "c") {
		err = r.writeControllerSettings(p, false)
	}
	if err == nil {
		err = os.MkdirAll(p.dataDir, 0o755)
	}
	if err == nil {
		err = p.Start()
	}
	if err != nil {
		r.checker.RecordViolation("restart of %s failed: %v", p.name, err)
	}
}

// disturbLinks injects a fault on the links between the target, a process or failure domain, and all other processes.
// It returns a function that removes the fault.
func (r *Runner) disturbLinks(step planner.Step) (undo func()) {
	affected := func(p *process) bool { return p.name == step.Target || p.domain == step.Target }
	var links []relayer.Link
	for _, a := range r.allProcesses() {
		for _, b := range r.allProcesses() {
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

// allProcesses returns all controllers and daemons.
func (r *Runner) allProcesses() []*process {
	return slices.Concat(r.controllers, r.daemons)
}

// processByName returns the process with the given name, which must exist.
func (r *Runner) processByName(name string) *process {
	i := slices.IndexFunc(r.allProcesses(), func(p *process) bool { return p.name == name })
	return r.allProcesses()[i]
}
