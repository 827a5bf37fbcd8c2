// Package judge checks the observations of callers, upstreams and operators against the guarantees of the system.
package judge

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Outcome is the outcome of a call as its caller knows it.
type Outcome int

// Outcomes of a call.
const (
	Unknown  Outcome = iota // the call may or may not have run
	Answered                // a complete answer of an upstream arrived
	Refused                 // the call was refused and reported as not run
)

// Call is one call as its caller saw it, including all attempts under the same ID.
type Call struct {
	ID             string
	Daemon         string
	AtMostOnce     bool
	Began          time.Time
	Ended          time.Time
	Outcome        Outcome
	ConnectionLost bool // the connection of an attempt ended before a complete answer arrived
}

// run is one execution of a call by an upstream.
type run struct {
	upstream string
	at       time.Time
}

// interval is a period during which a condition, such as a planned stop, applies to a process or upstream.
type interval struct {
	name     string
	from, to time.Time // to is zero until the interval ends
}

func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}

// Change is a change of the configuration by an operator.
type Change struct {
	Mark           string // identifies the change; stored in the configuration itself
	Base           uint64 // the version that the change replaces
	Version        uint64 // 0 if not accepted
	OutcomeUnknown bool   // no answer told whether the change was accepted
	AckedAt        time.Time
}

const (
	// leaveGrace is how long calls may still reach an upstream after its leave was acknowledged.
	leaveGrace = 2 * time.Second
	// faultQuietPeriod is the time before a call that must be free of unplanned faults. Otherwise a lost connection is
	// not attributed to a planned stop.
	faultQuietPeriod = 4 * time.Second
)

// Checker records the observations of a soak and reports violated guarantees. Its methods may be called concurrently.
type Checker struct {
	mu           sync.Mutex
	calls        []Call
	runs         map[string][]run
	versions     map[string]uint64 // highest version that each daemon has reported
	samples      []sample
	leaves       []interval // from the acknowledged leave of an upstream to its rejoin
	plannedStops []interval // planned stops of processes
	faults       []interval // all unplanned faults
	changes      []Change
	violations   []string
}

// New returns a Checker without observations.
func New() *Checker {
	return &Checker{runs: map[string][]run{}, versions: map[string]uint64{}}
}

// RecordViolation records a violation that the caller detected itself.
func (ck *Checker) RecordViolation(format string, args ...any) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.violations = append(ck.violations, fmt.Sprintf(format, args...))
}

// RecordCall records a call that has ended.
func (ck *Checker) RecordCall(c Call) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.calls = append(ck.calls, c)
}

// RecordRun records that an upstream started to execute a call.
func (ck *Checker) RecordRun(id, upstream string, at time.Time) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.runs[id] = append(ck.runs[id], run{upstream, at})
}

// RecordVersion records the configuration version in effect at a daemon, which was asked for it at the given time. A lower version
// than before is a violation.
func (ck *Checker) RecordVersion(daemon string, version uint64, askedAt time.Time) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.samples = append(ck.samples, sample{daemon, version, askedAt})
	if version < ck.versions[daemon] {
		ck.violations = append(ck.violations, fmt.Sprintf("%s went back from version %d to %d", daemon, ck.versions[daemon], version))
	}
	ck.versions[daemon] = max(version, ck.versions[daemon])
}

// RecordChange records a change and its outcome.
func (ck *Checker) RecordChange(c Change) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.changes = append(ck.changes, c)
}

// RecordLeave records that the leave of an upstream was acknowledged at the given time. The returned function records
// that the upstream rejoins.
func (ck *Checker) RecordLeave(upstream string, at time.Time) (recordRejoin func()) {
	return ck.beginInterval(&ck.leaves, upstream, at)
}

// RecordPlannedStop records the start of a planned stop of a process. The returned function records its end.
func (ck *Checker) RecordPlannedStop(process string) (recordEnd func()) {
	return ck.beginInterval(&ck.plannedStops, process, time.Now())
}

// RecordFault records the start of an unplanned fault. The returned function records its end.
func (ck *Checker) RecordFault(target string) (recordEnd func()) {
	return ck.beginInterval(&ck.faults, target, time.Now())
}

// beginInterval appends an interval that starts at the given time and returns a function that ends it now.
func (ck *Checker) beginInterval(intervals *[]interval, name string, at time.Time) func() {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	i := len(*intervals)
	*intervals = append(*intervals, interval{name: name, from: at})
	return func() {
		ck.mu.Lock()
		defer ck.mu.Unlock()
		(*intervals)[i].to = time.Now()
	}
}

// NewestVersion returns the highest version that is known to be accepted, or 0 if there is none.
func (ck *Checker) NewestVersion() uint64 {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	newest := uint64(0)
	for _, c := range ck.changes {
		newest = max(newest, c.Version)
	}
	return newest
}

// Counts returns the number of recorded calls, runs and changes.
func (ck *Checker) Counts() (calls, runs, changes int) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	for _, r := range ck.runs {
		runs += len(r)
	}
	return len(ck.calls), runs, len(ck.changes)
}

// AnsweredRatio returns the ratio of calls answered by an upstream to all calls that began between from and to.
func (ck *Checker) AnsweredRatio(from, to time.Time) float64 {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	total, answered := 0, 0
	for _, c := range ck.calls {
		if c.Began.Before(from) || c.Began.After(to) {
			continue
		}
		total++
		if c.Outcome == Answered {
			answered++
		}
	}
	return float64(answered) / float64(max(total, 1))
}

// Violations returns all violations of the soak. The mark and version are those of the configuration read at its end.
func (ck *Checker) Violations(mark string, version uint64) []string {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	violations := slices.Clone(ck.violations)
	for _, c := range ck.calls {
		violations = append(violations, ck.checkCall(c)...)
	}
	for id, runs := range ck.runs {
		violations = append(violations, ck.checkRunsAfterLeave(id, runs)...)
	}
	return append(violations, ck.checkChanges(mark, version)...)
}

// checkCall compares the outcome of a call with its runs at the upstreams.
func (ck *Checker) checkCall(c Call) (violations []string) {
	runs := len(ck.runs[c.ID])
	if c.AtMostOnce && runs > 1 {
		violations = append(violations, fmt.Sprintf("call %s ran %d times", c.ID, runs))
	}
	if c.Outcome == Refused && runs > 0 {
		violations = append(violations, fmt.Sprintf("call %s was refused as not run but ran", c.ID))
	}
	if c.Outcome == Answered && runs == 0 {
		violations = append(violations, fmt.Sprintf("call %s was answered but did not run at any upstream", c.ID))
	}
	if c.ConnectionLost && runs > 0 && ck.interruptedByPlannedStop(c) {
		violations = append(violations, fmt.Sprintf("call %s was interrupted by the planned stop of %s", c.ID, c.Daemon))
	}
	return violations
}

// interruptedByPlannedStop reports whether a planned stop of the daemon is the cause of a lost connection: the stop
// overlaps the call, and no unplanned fault was active during the call or within faultQuietPeriod before it.
func (ck *Checker) interruptedByPlannedStop(c Call) bool {
	for _, f := range ck.faults {
		if f.overlaps(c.Began.Add(-faultQuietPeriod), c.Ended) {
			return false
		}
	}
	return slices.ContainsFunc(ck.plannedStops, func(stop interval) bool { return stop.name == c.Daemon && stop.overlaps(c.Began, c.Ended) })
}

// checkRunsAfterLeave reports runs at an upstream that had left more than leaveGrace before and had not rejoined.
func (ck *Checker) checkRunsAfterLeave(id string, runs []run) (violations []string) {
	for _, r := range runs {
		for _, leave := range ck.leaves {
			if leave.name == r.upstream && r.at.After(leave.from.Add(leaveGrace)) && (leave.to.IsZero() || r.at.Before(leave.to)) {
				violations = append(violations, fmt.Sprintf("call %s reached %s %v after its leave was acknowledged", id, r.upstream, r.at.Sub(leave.from)))
			}
		}
	}
	return violations
}

// checkChanges reports lost changes, changes accepted on the same base version, and a final configuration
// from a change that was rejected or never sent.
func (ck *Checker) checkChanges(mark string, version uint64) (violations []string) {
	bases := map[uint64]string{}
	var newest Change
	for _, c := range ck.changes {
		if c.Version == 0 {
			continue
		}
		if other, ok := bases[c.Base]; ok {
			violations = append(violations, fmt.Sprintf("changes %s and %s were both accepted on version %d", other, c.Mark, c.Base))
		}
		bases[c.Base] = c.Mark
		if c.Version > newest.Version {
			newest = c
		}
	}
	switch {
	case version < newest.Version:
		violations = append(violations, fmt.Sprintf("accepted change %s with version %d is lost: version %d is current", newest.Mark, newest.Version, version))
	case version == newest.Version && mark != newest.Mark:
		violations = append(violations, fmt.Sprintf("version %d contains change %s, but the accepted change was %s", version, mark, newest.Mark))
	case version > newest.Version && !slices.ContainsFunc(ck.changes, func(c Change) bool { return c.OutcomeUnknown && c.Mark == mark }):
		violations = append(violations, fmt.Sprintf("version %d contains change %s, which no operator sent or which was rejected", version, mark))
	}
	return violations
}
