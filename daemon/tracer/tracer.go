// Package tracer tells what the arrival of a call at an upstream is: the first one of the call, a retry, or caused by a
// retry. It traces the calls that the local upstream makes back to the runs that make them.
package tracer

import (
	"strings"
	"sync"
	"time"
)

const (
	// idSeparator ends the ID of the parent in the ID of a nested call.
	idSeparator = "."
	// runGrace is how long after the deadline of a run its calls may still arrive.
	runGrace = time.Second
	// unknownParentTime is how long after the start of the daemon the parents of calls may be runs that started before.
	unknownParentTime = 10 * time.Second
	// minPruneSize is the smallest number of runs at which those that have ended are removed.
	minPruneSize = 64
)

// Tracer knows the runs at the local upstream. Its methods may be called concurrently.
type Tracer struct {
	now       func() time.Time
	startedAt time.Time

	mu        sync.Mutex
	runs      map[string]run // by ID of the call
	pruneSize int            // number of runs at which the ended ones are removed
}

// run is a run of a call at the local upstream.
type run struct {
	retry bool      // the run counts as a retry, so the calls that it makes count as retries too
	until time.Time // the run has ended by then
}

// Option configures a Tracer.
type Option func(*Tracer)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(t *Tracer) { t.now = now }
}

// New returns a tracer that knows no runs.
func New(opts ...Option) *Tracer {
	t := &Tracer{now: time.Now, runs: map[string]run{}, pruneSize: minPruneSize}
	for _, opt := range opts {
		opt(t)
	}
	t.startedAt = t.now()
	return t
}

// Begin records that a call is sent to the local upstream, which works on it until its deadline at the latest.
func (t *Tracer) Begin(id string, kind Kind, deadline time.Time) {
	if id == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.runs[id]
	until := deadline.Add(runGrace)
	if before.until.After(until) {
		until = before.until
	}
	t.runs[id] = run{retry: before.retry || kind != First, until: until}
	if len(t.runs) >= t.pruneSize {
		t.prune()
	}
}

// prune removes the runs that have ended. The lock must be held.
func (t *Tracer) prune() {
	now := t.now()
	for id, r := range t.runs {
		if r.until.Before(now) {
			delete(t.runs, id)
		}
	}
	t.pruneSize = max(2*len(t.runs), minPruneSize)
}

// KindOf returns the kind of the first arrival of a call with the given ID, from a caller on this VM. The ID of a call that
// the upstream makes is the ID of the run that makes it, a dot and a suffix. Shortly after the start of the daemon a parent
// that is not known counts as a retry.
func (t *Tracer) KindOf(id string) Kind {
	end := strings.LastIndex(id, idSeparator)
	if end < 0 {
		return First
	}
	t.mu.Lock()
	parent, known := t.runs[id[:end]]
	t.mu.Unlock()
	now := t.now()
	if known && !parent.until.Before(now) && parent.retry || !known && now.Sub(t.startedAt) < unknownParentTime {
		return Nested
	}
	return First
}

// Len returns the number of runs that are remembered.
func (t *Tracer) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}
