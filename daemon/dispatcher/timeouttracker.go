package dispatcher

import (
	"slices"
	"sync"
	"time"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/deliverer"
)

const (
	// recentCallers is the number of the last callers on a route from which the usual timeout of new callers is
	// estimated.
	recentCallers = 64
	// callsPerUpdate is the number of calls after which the estimate is updated.
	callsPerUpdate = 16
	// newCallerQuantile is the quantile of the recent timeouts that is taken as the usual one, so that a few callers
	// that wait much longer than others do not change the estimate.
	newCallerQuantile = 0.9
	// minPriorWaitShare is a share of the usual timeout. A caller counts as retrying if its timeout is shorter than the
	// usual one by at least this share of it. It is less than retryAfterShare, after which refused callers retry, and more
	// than the variation among new callers.
	minPriorWaitShare = 0.9 * retryAfterShare
)

// timeoutTracker estimates the usual caller timeout of new calls on one route.
type timeoutTracker struct {
	mu     sync.Mutex
	recent [recentCallers]time.Duration
	count  int
	usual  time.Duration
}

// observe records the timeout of one caller and returns the estimated usual timeout of new callers.
func (t *timeoutTracker) observe(timeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent[t.count%recentCallers] = timeout
	t.count++
	if t.count <= callsPerUpdate || t.count%callsPerUpdate == 0 {
		sorted := slices.Sorted(slices.Values(t.recent[:min(t.count, recentCallers)]))
		t.usual = sorted[int(newCallerQuantile*float64(len(sorted)-1))]
	}
	return t.usual
}

// priorWait returns how long a caller has probably waited before this attempt. Callers send how long they will still
// wait, so one that retries after a refusal has less time left than new callers on the same route.
func (d *Dispatcher) priorWait(route *wire.Route, left time.Duration) time.Duration {
	v, ok := d.timeoutTrackers.Load(route.Name)
	if !ok {
		v, _ = d.timeoutTrackers.LoadOrStore(route.Name, &timeoutTracker{})
	}
	usual := v.(*timeoutTracker).observe(left)
	if waited := usual - left; waited >= time.Duration(minPriorWaitShare*float64(usual)) {
		return waited
	}
	return 0
}

// setPriority sets the class and the target of an outgoing call. The target includes the time that the caller has
// waited before.
func (c *call) setPriority(outgoing *deliverer.Call) {
	outgoing.Class = c.class()
	// A call whose earlier attempt was sent has already cost a run, so it may wait beyond its target.
	if c.route.Target > 0 && c.sent == 0 {
		outgoing.Target, outgoing.CallerRetry = c.started.Add(c.route.Target-c.priorWait), c.priorWait > 0
	}
}
