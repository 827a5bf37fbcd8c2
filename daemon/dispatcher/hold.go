package dispatcher

import (
	"context"
	"time"
)

// Shortly after startup a daemon knows neither the configuration nor the other members. It holds calls that arrive then
// for a small part of the caller timeout, since a refused caller would retry later than the daemon could serve the
// call.
const (
	// startupTime is how long after startup the configuration and the members are expected to arrive.
	startupTime = 5 * time.Second
	// holdShare is the share of the caller timeout for which a call is held, and maxHold bounds that time.
	holdShare = 0.25
	maxHold   = 500 * time.Millisecond
	// defaultCallerTimeout is assumed while a call is held if its caller sends no timeout.
	defaultCallerTimeout = 2 * time.Second
	// holdPollInterval is the time between two checks for what a held call waits for.
	holdPollInterval = 20 * time.Millisecond
	// maxHeldCalls is the maximum number of calls held at once; more are refused.
	maxHeldCalls = 64
	// startupRetryAfter is the time after which a caller that was refused shortly after startup is told to retry.
	startupRetryAfter = 300 * time.Millisecond
)

// starting reports whether the daemon was started less than startupTime ago.
func (d *Dispatcher) starting(now time.Time) bool {
	return now.Sub(d.startedAt) < startupTime
}

// hold waits until ready returns true, for a call that arrived at the given time. It returns false if that takes too
// long, too many calls are held, ctx ends, or the daemon was not starting when the call arrived.
func (d *Dispatcher) hold(ctx context.Context, arrival time.Time, callerTimeout time.Duration, ready func() bool) bool {
	if ready() {
		return true
	}
	if !d.starting(arrival) {
		return false
	}
	defer d.heldCalls.Add(-1)
	if d.heldCalls.Add(1) > maxHeldCalls {
		return false
	}
	holdUntil := arrival.Add(min(time.Duration(holdShare*float64(callerTimeout)), maxHold))
	ticker := time.NewTicker(holdPollInterval)
	defer ticker.Stop()
	for time.Now().Before(holdUntil) {
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
