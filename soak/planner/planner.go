// Package planner draws the faults of a run from a seed.
package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Those of processes hit controllers and daemons.
const (
	Kill    Kind = "kill"    // SIGKILL, started again after For
	Stop    Kind = "stop"    // SIGTERM, started again once it has ended and For has passed
	Pause   Kind = "pause"   // SIGSTOP for For
	Hangup  Kind = "hangup"  // SIGHUP
	Wipe    Kind = "wipe"    // SIGKILL, the data folder is lost
	Herd    Kind = "herd"    // SIGKILL of all processes of one kind at once
	Cut     Kind = "cut"     // the link to and from all others is cut
	OneWay  Kind = "one-way" // the link from all others is cut
	Split   Kind = "split"   // one failure domain is cut off from the others
	Delay   Kind = "delay"   // all links to the process are slow and lose datagrams
	Reset   Kind = "reset"   // its open connections are reset
	Silence Kind = "silence" // its open connections go silent
	Leave   Kind = "leave"   // the upstream leaves and returns after For
	Crash   Kind = "crash"   // the upstream's connections are reset and it returns as a new process
	Slow    Kind = "slow"    // the upstream takes longer
	Lose    Kind = "lose"    // the upstream runs calls and resets the connection instead of an answer
	Change  Kind = "change"  // changes of the configuration in quick succession
	Race    Kind = "race"    // two operators change the configuration at once
)

// Step is one fault.
type Step struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	Name string // process, failure domain or, for a herd, the letter that names of its processes begin with
}

func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %s %s for %v", s.At.Seconds(), s.Kind, s.Name, s.For)
}

// Shape is the mesh that faults are drawn for.
type Shape struct {
	Controllers, Daemons []string
	Domains              []string
	Duration             time.Duration // faults begin and end within it
}

const (
	// gap is the mean time between two faults.
	gap = 700 * time.Millisecond
	// longest bounds the time of one fault.
	longest = 6 * time.Second
	// repair is how long a controller needs after a fault until the loss of another disk is borne.
	repair = 8 * time.Second
	// stops is the time that a planned stop may take besides.
	stops = 3 * time.Second
)

// weights tell how often a kind is drawn.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4}, {Stop, 4}, {Pause, 4}, {Hangup, 1}, {Wipe, 1}, {Herd, 1}, {Cut, 3}, {OneWay, 2}, {Split, 2}, {Delay, 2},
	{Reset, 3}, {Silence, 3}, {Leave, 4}, {Crash, 3}, {Slow, 3}, {Lose, 4}, {Change, 3}, {Race, 2},
}

// Plan returns the faults of a seed, in order of their times. They overlap, but for the loss of a disk: that needs all
// other controllers, since only one such loss at a time is borne. A process is stopped, killed or paused once at a time.
func Plan(seed uint64, shape Shape) []Step {
	source := rand.New(rand.NewPCG(seed, 0))
	var steps []Step
	for at := time.Duration(0); ; {
		at += time.Duration(source.ExpFloat64() * float64(gap))
		step := draw(source, shape)
		step.At = at
		if at >= shape.Duration-time.Second {
			return steps
		}
		step.For = min(step.For, shape.Duration-at)
		if allowed(steps, step) {
			steps = append(steps, step)
		}
	}
}

func draw(source *rand.Rand, shape Shape) Step {
	step := Step{Kind: pick(source), For: time.Duration(source.Int64N(int64(longest)))}
	either := shape.Daemons
	if source.IntN(3) == 0 {
		either = shape.Controllers
	}
	switch step.Kind {
	case Wipe:
		step.Name = one(source, shape.Controllers)
	case Herd:
		step.Name = one(source, []string{"c", "d"})
	case Split:
		step.Name = one(source, shape.Domains)
	case Leave, Crash, Slow, Lose:
		step.Name = one(source, shape.Daemons)
	case Change, Race:
	default:
		step.Name = one(source, either)
	}
	return step
}

func pick(source *rand.Rand) Kind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	at := source.IntN(total)
	for _, w := range weights {
		if at < w.weight {
			return w.kind
		}
		at -= w.weight
	}
	return Kill
}

func one(source *rand.Rand, from []string) string {
	return from[source.IntN(len(from))]
}

// process reports whether a step takes a process away, and so excludes another such step on it.
func (s Step) process() bool {
	return slices.Contains([]Kind{Kill, Stop, Pause, Wipe, Herd}, s.Kind)
}

// upstream reports whether a step takes an upstream away.
func (s Step) upstream() bool {
	return s.Kind == Leave || s.Kind == Crash
}

func (s Step) end() time.Duration {
	if s.Kind == Stop {
		return s.At + s.For + stops
	}
	return s.At + s.For
}

// controls reports whether a step affects a controller.
func (s Step) controls() bool {
	return s.Kind == Split || len(s.Name) > 0 && s.Name[0] == 'c' && s.Kind != Hangup
}

func allowed(before []Step, step Step) bool {
	return !slices.ContainsFunc(before, func(other Step) bool {
		overlap := other.end() > step.At
		switch {
		case other.process() && step.process() && overlap && same(other, step):
			return true
		case other.upstream() && step.upstream() && overlap && other.Name == step.Name:
			return true
		case other.Kind == Wipe && step.controls(), step.Kind == Wipe && other.controls():
			return other.end()+repair > step.At
		}
		return false
	})
}

// same reports whether two steps hit the same process.
func same(a, b Step) bool {
	if a.Kind == Herd || b.Kind == Herd {
		return a.Name[0] == b.Name[0]
	}
	return a.Name == b.Name
}
