package dispatcher

import (
	"context"
	"time"
)

// After a start a daemon lacks the configuration and the other members for a moment. Calls that arrive then are held for a
// small part of their time, since a refused caller would come back later than the daemon could serve it.
const (
	// startTime is how long after the start the configuration and the members are expected at any moment.
	startTime = 5 * time.Second
	// holdShare is the part of a caller's patience for which its call is held, and holdMost bounds that time.
	holdShare = 0.25
	holdMost  = 500 * time.Millisecond
	// usualPatience stands for that of a caller who does not tell it.
	usualPatience = 2 * time.Second
	// holdPoll is the time between two looks for what is missing.
	holdPoll = 20 * time.Millisecond
	// holdCalls is the number of calls that are held at once; more are refused.
	holdCalls = 64
	// startWait is the time after which a caller that was refused shortly after the start comes back.
	startWait = 300 * time.Millisecond
)

// starting reports whether the daemon has started just now.
func (d *Dispatcher) starting(now time.Time) bool {
	return now.Sub(d.born) < startTime
}

// hold waits until ready returns true, for a call that arrived at began. It returns false if that takes too long or the
// daemon has been running for a while.
func (d *Dispatcher) hold(ctx context.Context, began time.Time, patience time.Duration, ready func() bool) bool {
	if ready() {
		return true
	}
	if !d.starting(began) {
		return false
	}
	defer d.held.Add(-1)
	if d.held.Add(1) > holdCalls {
		return false
	}
	limit := began.Add(min(time.Duration(holdShare*float64(patience)), holdMost))
	ticker := time.NewTicker(holdPoll)
	defer ticker.Stop()
	for time.Now().Before(limit) {
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
