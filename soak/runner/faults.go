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
	// stopLimit is the time in which a planned stop must end: the grace of the settings and a margin for the machine.
	stopLimit = 9 * time.Second
	// slowLink and lossy are what a delayed link does.
	slowLink = 80 * time.Millisecond
	lossy    = 0.2
	// storm is the number of changes in quick succession, and stormPause the time between them.
	storm      = 6
	stormPause = 60 * time.Millisecond
)

// play runs all steps of a plan at their times and returns once all have ended.
func (r *Runner) play(ctx context.Context, steps []planner.Step) {
	var work sync.WaitGroup
	defer work.Wait()
	began := time.Now()
	for _, step := range steps {
		if !waiter.Slept(ctx, step.Start-time.Since(began)) {
			return
		}
		r.log.Info("fault", "step", step.String())
		work.Add(1)
		go func() {
			defer work.Done()
			r.step(ctx, step)
		}()
	}
}

// step plays one fault and undoes it.
func (r *Runner) step(ctx context.Context, step planner.Step) {
	switch step.Kind {
	case planner.Stop:
		r.stop(ctx, step)
		return
	case planner.Hangup:
		r.named(step.Target).Signal(syscall.SIGHUP)
		return
	case planner.Leave:
		u := r.upstreams[upstreamOf(step.Target)]
		returned := u.leave(ctx)
		waiter.Slept(ctx, step.Duration)
		returned()
		u.back()
		return
	case planner.Change:
		r.changes(ctx, "storm", storm, stormPause)
		return
	case planner.Race:
		r.race(ctx)
		return
	}
	defer r.judge.RecordFault(step.Target)()
	undo := r.disturb(step)
	waiter.Slept(ctx, step.Duration)
	undo()
}

// disturb plays a fault that nobody planned and returns how to undo it.
func (r *Runner) disturb(step planner.Step) (undo func()) {
	nothing := func() {}
	switch step.Kind {
	case planner.Kill:
		return r.kill(r.named(step.Target))
	case planner.Wipe:
		n := r.named(step.Target)
		start := r.kill(n)
		if err := os.RemoveAll(n.data); err != nil {
			r.judge.RecordViolation("folder of %s: %v", n.name, err)
		}
		return start
	case planner.Herd:
		return r.herd(step.Target)
	case planner.Pause:
		n := r.named(step.Target)
		n.Signal(syscall.SIGSTOP)
		return func() { n.Signal(syscall.SIGCONT) }
	case planner.Cut, planner.OneWay, planner.Split, planner.Delay:
		return r.links(step)
	case planner.Reset:
		r.relayer.Reset(step.Target, "")
		return nothing
	case planner.Silence:
		r.relayer.Silence(step.Target, "")
		return nothing
	case planner.Crash:
		u := r.upstreams[upstreamOf(step.Target)]
		u.down()
		return func() {
			if err := u.up(); err != nil {
				r.judge.RecordViolation("%v", err)
			}
		}
	case planner.Slow:
		u := r.upstreams[upstreamOf(step.Target)]
		u.slow.Store(true)
		return func() { u.slow.Store(false) }
	case planner.Lose:
		u := r.upstreams[upstreamOf(step.Target)]
		u.lose.Store(true)
		return func() { u.lose.Store(false) }
	}
	return nothing
}

// kill ends a process and returns how to start it again.
func (r *Runner) kill(n *node) (start func()) {
	n.Kill()
	return func() { r.start(n) }
}

func (r *Runner) herd(letter string) (start func()) {
	var starts []func()
	for _, n := range r.nodes() {
		if strings.HasPrefix(n.name, letter) {
			starts = append(starts, r.kill(n))
		}
	}
	return func() {
		for _, start := range starts {
			start()
		}
	}
}

// stop ends a process as planned and starts it again.
func (r *Runner) stop(ctx context.Context, step planner.Step) {
	n := r.named(step.Target)
	ended := r.judge.RecordPlannedStop(n.name)
	if err := n.Stop(stopLimit); err != nil {
		r.judge.RecordViolation("planned stop of %s: %v", n.name, err)
	}
	ended()
	waiter.Slept(ctx, step.Duration)
	r.start(n)
}

// start starts a process again. A controller without its disk must not found a cluster.
func (r *Runner) start(n *node) {
	var err error
	if strings.HasPrefix(n.name, "c") {
		err = r.configure(n, false)
	}
	if err == nil {
		err = os.MkdirAll(n.data, 0o755)
	}
	if err == nil {
		err = n.Start()
	}
	if err != nil {
		r.judge.RecordViolation("start of %s: %v", n.name, err)
	}
}

// links disturbs links and returns how to undo that.
func (r *Runner) links(step planner.Step) (undo func()) {
	inside := func(n *node) bool { return n.name == step.Target || n.domain == step.Target }
	var touched []relayer.Link
	for _, a := range r.nodes() {
		for _, b := range r.nodes() {
			if !inside(a) && inside(b) {
				touched = append(touched, relayer.Link{From: a.name, To: b.name})
				if step.Kind != planner.OneWay {
					touched = append(touched, relayer.Link{From: b.name, To: a.name})
				}
			}
		}
	}
	set := func(on bool) {
		for _, link := range touched {
			r.relayer.UpdateLink(link, func(s *relayer.LinkState) {
				switch {
				case step.Kind != planner.Delay:
					s.Cut = on
				case on:
					s.Delay, s.Loss = slowLink, lossy
				default:
					s.Delay, s.Loss = 0, 0
				}
			})
		}
	}
	set(true)
	return func() { set(false) }
}

// race lets two operators send changes on top of the same version.
func (r *Runner) race(ctx context.Context) {
	_, base, err := r.read(ctx)
	if err != nil {
		return // no controller is sure; a race needs one
	}
	var both sync.WaitGroup
	for _, operator := range []string{"left", "right"} {
		both.Add(1)
		go func() {
			defer both.Done()
			r.change(ctx, operator+"-"+time.Now().Format("150405.000000"), base)
		}()
	}
	both.Wait()
}

// nodes returns all processes.
func (r *Runner) nodes() []*node {
	return slices.Concat(r.controllers, r.daemons)
}

func (r *Runner) named(name string) *node {
	i := slices.IndexFunc(r.nodes(), func(n *node) bool { return n.name == name })
	return r.nodes()[i]
}
