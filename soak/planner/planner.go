// Package planner generates the faults of a soak from its seed.
package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Those of processes apply to controllers and daemons.
const (
	Kill    Kind = "kill"    // SIGKILL and a restart after Duration
	Stop    Kind = "stop"    // SIGTERM and a restart Duration after the process has ended
	Pause   Kind = "pause"   // SIGSTOP, and SIGCONT after Duration
	Hangup  Kind = "hangup"  // SIGHUP
	Wipe    Kind = "wipe"    // SIGKILL and loss of the data folder
	Gone    Kind = "gone"    // loss of a controller, which a new one replaces after Duration, and of another one's data folder meanwhile
	Herd    Kind = "herd"    // SIGKILL of all controllers or all daemons at once
	Cut     Kind = "cut"     // network partition of the process in both directions
	OneWay  Kind = "one-way" // network partition of the process, incoming direction only
	Split   Kind = "split"   // network partition between one failure domain and the others
	Delay   Kind = "delay"   // latency and datagram loss on the links of the process, in both directions
	Reset   Kind = "reset"   // TCP reset of the open connections of the process
	Silence Kind = "silence" // the open connections of the process stay open but carry no more data
	Leave   Kind = "leave"   // the upstream leaves and rejoins after Duration
	Crash   Kind = "crash"   // the upstream drops its connections and restarts as a new process
	Slow    Kind = "slow"    // the upstream takes longer to answer
	Lose    Kind = "lose"    // the upstream runs calls but resets some connections instead of answering
	Change  Kind = "change"  // configuration changes in quick succession
	Race    Kind = "race"    // two concurrent configuration changes with the same base version
)

// Step is one fault of a plan.
type Step struct {
	Start    time.Duration // since the beginning of the plan
	Duration time.Duration
	Kind     Kind
	Target   string // process or failure domain; for Herd, the first letter of the process names; empty for Change and Race
	Other    string // for Gone, the controller that loses its data folder
}

func (s Step) String() string {
	targets := strings.TrimSpace(s.Target + " " + s.Other)
	return fmt.Sprintf("%6.2fs %s %s for %v", s.Start.Seconds(), s.Kind, targets, s.Duration)
}

// Topology lists the processes and failure domains that faults can apply to.
type Topology struct {
	Controllers, Daemons []string
	Domains              []string
	Duration             time.Duration // faults begin and end within it
}

const (
	// meanInterval is the mean time between two faults.
	meanInterval = 700 * time.Millisecond
	// maxDuration is the upper bound of the duration of a fault.
	maxDuration = 6 * time.Second
	// wipeRecovery is the time a controller needs to recover from a fault before the cluster tolerates the loss of
	// another controller's data.
	wipeRecovery = 8 * time.Second
	// plannedStopTime is the time reserved for a planned stop itself, in addition to the step's duration.
	plannedStopTime = 3 * time.Second
	// goneControllers is the number of controllers beyond which a plan begins with Gone: one more is the successor.
	goneControllers = 3
)

// kindWeights are the relative frequencies of the kinds.
var kindWeights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4}, {Stop, 4}, {Pause, 4}, {Hangup, 1}, {Wipe, 1}, {Herd, 1}, {Cut, 3}, {OneWay, 2}, {Split, 2}, {Delay, 2},
	{Reset, 3}, {Silence, 3}, {Leave, 4}, {Crash, 3}, {Slow, 3}, {Lose, 4}, {Change, 3}, {Race, 2},
}

// Plan returns the faults of a seed, ordered by start time. The same seed and topology give the same plan. Faults may
// overlap, with two exceptions. A Wipe or Gone overlaps neither another fault of a controller nor the recovery from it, since
// the cluster tolerates the loss of only one controller's data at a time and needs all other controllers for it. At most
// one fault at a time stops, kills or pauses the same process, or takes down the same upstream.
func Plan(seed uint64, topology Topology) []Step {
	rng := rand.New(rand.NewPCG(seed, 0))
	var steps []Step
	if len(topology.Controllers) > goneControllers {
		steps = append(steps, drawGone(rng, topology))
	}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanInterval))
		step := drawStep(rng, topology)
		step.Start = at
		if at >= topology.Duration-time.Second {
			return steps
		}
		step.Duration = min(step.Duration, topology.Duration-at)
		if allowed(steps, step) {
			steps = append(steps, step)
		}
	}
}

// drawStep returns a random step without a start time.
func drawStep(rng *rand.Rand, topology Topology) Step {
	step := Step{Kind: drawKind(rng), Duration: time.Duration(rng.Int64N(int64(maxDuration)))}
	processes := topology.Daemons
	if rng.IntN(3) == 0 {
		processes = topology.Controllers
	}
	switch step.Kind {
	case Wipe:
		step.Target = choose(rng, topology.Controllers)
	case Herd:
		step.Target = choose(rng, []string{"c", "d"})
	case Split:
		step.Target = choose(rng, topology.Domains)
	case Leave, Crash, Slow, Lose:
		step.Target = choose(rng, topology.Daemons)
	case Change, Race:
	default:
		step.Target = choose(rng, processes)
	}
	return step
}

// drawGone returns a Gone of two random controllers at the start of a plan. Later there is seldom a time without faults of
// controllers that is long enough.
func drawGone(rng *rand.Rand, topology Topology) Step {
	order := rng.Perm(len(topology.Controllers))
	return Step{
		Kind: Gone, Target: topology.Controllers[order[0]], Other: topology.Controllers[order[1]],
		Duration: min(time.Duration(rng.Int64N(int64(maxDuration))), topology.Duration),
	}
}

// drawKind returns a random kind according to kindWeights.
func drawKind(rng *rand.Rand) Kind {
	total := 0
	for _, w := range kindWeights {
		total += w.weight
	}
	offset := rng.IntN(total)
	for _, w := range kindWeights {
		if offset < w.weight {
			return w.kind
		}
		offset -= w.weight
	}
	return Kill
}

func choose(rng *rand.Rand, names []string) string {
	return names[rng.IntN(len(names))]
}

// takesProcessDown reports whether a step stops, kills or pauses processes. Such steps must not overlap on a process.
func (s Step) takesProcessDown() bool {
	return slices.Contains([]Kind{Kill, Stop, Pause, Wipe, Gone, Herd}, s.Kind)
}

// losesData reports whether a step loses the data folder of a controller.
func (s Step) losesData() bool {
	return s.Kind == Wipe || s.Kind == Gone
}

// takesUpstreamDown reports whether a step makes an upstream unavailable. Such steps must not overlap on an upstream.
func (s Step) takesUpstreamDown() bool {
	return s.Kind == Leave || s.Kind == Crash
}

// end returns the time at which the fault is over, including the time of a planned stop itself.
func (s Step) end() time.Duration {
	if s.Kind == Stop {
		return s.Start + s.Duration + plannedStopTime
	}
	return s.Start + s.Duration
}

// affectsController reports whether a step disturbs a controller. Names of controllers begin with "c".
func (s Step) affectsController() bool {
	return s.Kind == Split || len(s.Target) > 0 && s.Target[0] == 'c' && s.Kind != Hangup
}

// allowed reports whether a step may be added after the earlier steps of the plan.
func allowed(earlier []Step, step Step) bool {
	return !slices.ContainsFunc(earlier, func(other Step) bool {
		overlaps := other.end() > step.Start
		switch {
		case other.takesProcessDown() && step.takesProcessDown() && overlaps && sameTarget(other, step):
			return true
		case other.takesUpstreamDown() && step.takesUpstreamDown() && overlaps && other.Target == step.Target:
			return true
		case other.losesData() && step.affectsController(), step.losesData() && other.affectsController():
			return other.end()+wipeRecovery > step.Start
		}
		return false
	})
}

// sameTarget reports whether two steps apply to a common process. The target of a Herd is the first letter of names.
func sameTarget(a, b Step) bool {
	if a.Kind == Herd || b.Kind == Herd {
		return a.Target[0] == b.Target[0]
	}
	return a.Target == b.Target
}
