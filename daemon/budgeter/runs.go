package budgeter

import (
	"math"
	"time"
)

const (
	// idSeparator ends the ID of the parent in the ID of a nested call.
	idSeparator = "."
	// runGrace is how long after the deadline of a run its calls may still start.
	runGrace = time.Second
	// unknownParentTime is how long after the start of the daemon the parent of a call may be a run that began before.
	unknownParentTime = 10 * time.Second
	// minPruneSize is the smallest number of runs at which those that have ended are removed.
	minPruneSize = 64
	// expectationDecay is by how much the expected number of calls shrinks with each run that makes fewer.
	expectationDecay = 1.0 / 64
)

// run is a run of a call at the local upstream.
type run struct {
	retry    bool           // the run counts as a retry, and so do the calls that it makes
	until    time.Duration  // the run makes no calls after this time
	calls    map[string]int // calls that it has made, by service
	reserved map[string]int // calls that it may still make, by service, if it is a retry
}

// countCall counts a call that the run makes.
func (r *run) countCall(service string) {
	if r.calls == nil {
		r.calls = map[string]int{}
	}
	r.calls[service]++
}

// runs knows the runs at the local upstream and what the runs of each route call.
type runs struct {
	startedAt time.Duration // when the daemon was started
	byID      map[string]*run
	pruneSize int                           // number of runs at which the ended ones are removed
	expected  map[string]map[string]float64 // calls of one run by route and service
}

func newRuns(now time.Duration) runs {
	return runs{startedAt: now, byID: map[string]*run{}, pruneSize: minPruneSize, expected: map[string]map[string]float64{}}
}

// add records a run. A call that runs here twice counts as a retry.
func (r *runs) add(id string, added *run, now time.Duration) {
	if id == "" {
		return
	}
	if before := r.byID[id]; before != nil && before.until > now {
		added.retry = added.retry || before.retry
	}
	r.byID[id] = added
	if len(r.byID) >= r.pruneSize {
		r.prune(now)
	}
}

func (r *runs) prune(now time.Duration) {
	for id, known := range r.byID {
		if known.until < now {
			delete(r.byID, id)
		}
	}
	r.pruneSize = max(2*len(r.byID), minPruneSize)
}

// find returns the run of a call, or nil if none is known that may still make calls.
func (r *runs) find(id string, now time.Duration) *run {
	if found := r.byID[id]; found != nil && found.until >= now {
		return found
	}
	return nil
}

// mayHaveForgotten reports whether a run that is not known may have begun before this daemon was started.
func (r *runs) mayHaveForgotten(now time.Duration) bool {
	return now-r.startedAt < unknownParentTime
}

// learn adjusts the calls that are expected of a run on a route by those that a run has made.
func (r *runs) learn(route string, ended *run) {
	expected := r.expected[route]
	if expected == nil && len(ended.calls) == 0 {
		return
	}
	if expected == nil {
		expected = map[string]float64{}
		r.expected[route] = expected
	}
	for name := range expected {
		expected[name] *= 1 - expectationDecay
	}
	for name, calls := range ended.calls {
		expected[name] = max(expected[name], float64(calls))
	}
}

// expectedCalls returns how many calls a run on a route will make at most, by service, going by earlier runs.
func (r *runs) expectedCalls(route string) map[string]int {
	calls := map[string]int{}
	for name, expected := range r.expected[route] {
		if n := int(math.Ceil(expected - 0.5)); n > 0 {
			calls[name] = n
		}
	}
	return calls
}
