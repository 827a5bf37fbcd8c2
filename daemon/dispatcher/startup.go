package dispatcher

import (
	"context"
	"time"
)

// Shortly after startup a daemon knows neither the configuration nor the other members. Calls that arrive then wait
// for a small part of the caller timeout, since a refused caller would retry later than the daemon could serve the
// call.
const (
	// startupTime is how long after startup the configuration and the members are expected to arrive.
	startupTime = 5 * time.Second
	// startupWaitShare is the share of the caller timeout for which a call waits, and maxStartupWait bounds that time.
	startupWaitShare = 0.25
	maxStartupWait   = 500 * time.Millisecond
	// defaultCallerTimeout is assumed while a call waits if its caller sends no timeout.
	defaultCallerTimeout = 2 * time.Second
	// startupPollInterval is the time between two checks for what a call waits for.
	startupPollInterval = 20 * time.Millisecond
	// maxWaitingCalls is the maximum number of calls that wait at once; more are refused.
	maxWaitingCalls = 64
	// startupRetryAfter is the time after which a caller that was refused shortly after startup is told to retry.
	startupRetryAfter = 300 * time.Millisecond
)

// starting reports whether the daemon was started less than startupTime ago.
func (d *Dispatcher) starting(now time.Time) bool {
	return now.Sub(d.startedAt) < startupTime
}

// waitForStartup waits until ready returns true, for a call that arrived at the given time. It returns false if that takes too
// long, too many calls wait, ctx ends, or the daemon was not starting when the call arrived.
func (d *Dispatcher) waitForStartup(ctx context.Context, arrival time.Time, callerTimeout time.Duration, ready func() bool) bool {
	if ready() {
		return true
	}
	if !d.starting(arrival) {
		return false
	}
	defer d.waitingCalls.Add(-1)
	if d.waitingCalls.Add(1) > maxWaitingCalls {
		return false
	}
	waitUntil := arrival.Add(min(time.Duration(startupWaitShare*float64(callerTimeout)), maxStartupWait))
	ticker := time.NewTicker(startupPollInterval)
	defer ticker.Stop()
	for time.Now().Before(waitUntil) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
		if ready() {
			return true
		}
	}
	return false
}
