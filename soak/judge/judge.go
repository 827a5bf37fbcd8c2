// Package judge compares what callers, upstreams and operators saw with what the system promises.
package judge

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Fate is what a caller knows about a call.
type Fate int

// Fates of a call.
const (
	Open    Fate = iota // the outcome is unknown
	Ran                 // an upstream's whole answer came
	Refused             // refused as not run
)

// Call is one attempt of a caller.
type Call struct {
	ID     string
	Daemon string
	Once   bool // it may run at most once
	Began  time.Time
	Ended  time.Time
	Fate   Fate
	Lost   bool // the connection ended without a whole answer
}

// run is one run of a call at an upstream.
type run struct {
	upstream string
	at       time.Time
}

// span is a time in which something holds for one name.
type span struct {
	name     string
	from, to time.Time // to is zero while it lasts
}

func (s span) covers(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// Change is a change of the configuration by an operator.
type Change struct {
	Mark    string
	Base    uint64
	Version uint64 // 0 if not accepted
	Open    bool   // no clear answer came
}

const (
	// leaveLimit is how long after an acknowledged leave calls may still reach the upstream.
	leaveLimit = 2 * time.Second
	// calm is how long before a call no other fault may have been for a planned stop to be blamed.
	calm = 4 * time.Second
)

// Judge collects what was seen. Its methods may be called concurrently.
type Judge struct {
	mu      sync.Mutex
	calls   []Call
	runs    map[string][]run
	held    map[string]uint64 // highest version that each daemon has shown
	left    []span            // upstreams that have left
	stops   []span            // daemons that are stopped as planned
	faults  []span            // everything else that is not planned
	changes []Change
	faulty  []string
}

// New returns an empty judge.
func New() *Judge {
	return &Judge{runs: map[string][]run{}, held: map[string]uint64{}}
}

// Blame notes a broken promise that was seen directly.
func (j *Judge) Blame(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faulty = append(j.faulty, fmt.Sprintf(format, args...))
}

// Call notes the end of an attempt.
func (j *Judge) Call(c Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, c)
}

// Run notes that an upstream began to work on a call.
func (j *Judge) Run(id, upstream string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], run{upstream, at})
}

// Held notes the version that a daemon has in effect.
func (j *Judge) Held(daemon string, version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if version < j.held[daemon] {
		j.faulty = append(j.faulty, fmt.Sprintf("%s went back from version %d to %d", daemon, j.held[daemon], version))
	}
	j.held[daemon] = max(version, j.held[daemon])
}

// Change notes a change and its outcome.
func (j *Judge) Change(c Change) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = append(j.changes, c)
}

// Left notes that the leave of an upstream was acknowledged at the given time, and returns a function that notes its return.
func (j *Judge) Left(upstream string, at time.Time) (returned func()) {
	return j.open(&j.left, upstream, at)
}

// Stopping notes a planned stop of a daemon, and returns a function that notes its end.
func (j *Judge) Stopping(daemon string) (ended func()) {
	return j.open(&j.stops, daemon, time.Now())
}

// Fault notes a fault that is not planned, and returns a function that notes its end.
func (j *Judge) Fault(name string) (ended func()) {
	return j.open(&j.faults, name, time.Now())
}

func (j *Judge) open(list *[]span, name string, at time.Time) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	i := len(*list)
	*list = append(*list, span{name: name, from: at})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		(*list)[i].to = time.Now()
	}
}

// Newest returns the newest version that was accepted for certain, and 0 before the first.
func (j *Judge) Newest() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	newest := uint64(0)
	for _, c := range j.changes {
		newest = max(newest, c.Version)
	}
	return newest
}

// Counts returns how many attempts, runs and changes were seen.
func (j *Judge) Counts() (calls, runs, changes int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.runs {
		runs += len(r)
	}
	return len(j.calls), runs, len(j.changes)
}

// Served returns the share of calls that began in a time and were answered by an upstream.
func (j *Judge) Served(from, to time.Time) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	all, served := 0, 0
	for _, c := range j.calls {
		if c.Began.Before(from) || c.Began.After(to) {
			continue
		}
		all++
		if c.Fate == Ran {
			served++
		}
	}
	return float64(served) / float64(max(all, 1))
}

// Verdict lists the broken promises. The mark and version are those of the configuration read at the end.
func (j *Judge) Verdict(mark string, version uint64) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	found := slices.Clone(j.faulty)
	for _, c := range j.calls {
		found = append(found, j.check(c)...)
	}
	for id, runs := range j.runs {
		found = append(found, j.checkLeft(id, runs)...)
	}
	return append(found, j.checkChanges(mark, version)...)
}

// check compares one attempt with its runs.
func (j *Judge) check(c Call) (found []string) {
	runs := len(j.runs[c.ID])
	if c.Once && runs > 1 {
		found = append(found, fmt.Sprintf("call %s ran %d times", c.ID, runs))
	}
	if c.Fate == Refused && runs > 0 {
		found = append(found, fmt.Sprintf("call %s was refused as not run and ran", c.ID))
	}
	if c.Fate == Ran && runs == 0 {
		found = append(found, fmt.Sprintf("call %s was answered and did not run", c.ID))
	}
	if c.Lost && runs > 0 && j.cutByStop(c) {
		found = append(found, fmt.Sprintf("call %s was cut by the planned stop of %s", c.ID, c.Daemon))
	}
	return found
}

// cutByStop reports whether a lost call can be blamed on the planned stop of its daemon: nothing else was wrong.
func (j *Judge) cutByStop(c Call) bool {
	for _, f := range j.faults {
		if f.covers(c.Began.Add(-calm), c.Ended) {
			return false
		}
	}
	return slices.ContainsFunc(j.stops, func(s span) bool { return s.name == c.Daemon && s.covers(c.Began, c.Ended) })
}

func (j *Judge) checkLeft(id string, runs []run) (found []string) {
	for _, r := range runs {
		for _, s := range j.left {
			if s.name == r.upstream && r.at.After(s.from.Add(leaveLimit)) && (s.to.IsZero() || r.at.Before(s.to)) {
				found = append(found, fmt.Sprintf("call %s reached %s %v after its leave was acknowledged", id, r.upstream, r.at.Sub(s.from)))
			}
		}
	}
	return found
}

// checkChanges reports lost changes and two changes that were both accepted on top of the same version.
func (j *Judge) checkChanges(mark string, version uint64) (found []string) {
	bases := map[uint64]string{}
	var newest Change
	for _, c := range j.changes {
		if c.Version == 0 {
			continue
		}
		if other, ok := bases[c.Base]; ok {
			found = append(found, fmt.Sprintf("changes %s and %s were both accepted on version %d", other, c.Mark, c.Base))
		}
		bases[c.Base] = c.Mark
		if c.Version > newest.Version {
			newest = c
		}
	}
	switch {
	case version < newest.Version:
		found = append(found, fmt.Sprintf("accepted change %s with version %d is lost: version %d is in place", newest.Mark, newest.Version, version))
	case version == newest.Version && mark != newest.Mark:
		found = append(found, fmt.Sprintf("version %d holds %s, accepted was %s", version, mark, newest.Mark))
	case version > newest.Version && !slices.ContainsFunc(j.changes, func(c Change) bool { return c.Open && c.Mark == mark }):
		found = append(found, fmt.Sprintf("version %d holds %s, which nobody sent or which was refused", version, mark))
	}
	return found
}
