package deliverer

import "time"

// LateClass is the class of calls that can no longer be answered by their target.
const LateClass = "late"

const (
	// startMargin is how long before its target a waiting call must start, in multiples of the mean duration. It is
	// above 1 because many calls take longer than the mean.
	startMargin = 1.7
	// lateWaitShare is the share of the time until its deadline for which a late call waits: long enough to get a slot
	// that no other call needs, and short enough that the caller learns soon if there is none.
	lateWaitShare = 0.125
)

// Admission returns the class in which a call waits for a slot, and its latest start if none is free. meanDuration is
// the mean duration of calls on its route.
//
// A call that is answered after its target takes the slot of one that could be answered in time. Under load a new call
// is therefore refused early enough for its caller to retry. The call of a retrying caller waits as long as its target
// can be met; after that it gets a slot only if no other call waits for one.
func (c Call) Admission(now time.Time, meanDuration time.Duration) (class string, latest time.Time) {
	if c.Target.IsZero() {
		return c.Class, c.Deadline.Add(-meanDuration)
	}
	start := c.Target.Add(-time.Duration(startMargin * float64(meanDuration)))
	if c.CallerRetry && !start.After(now) {
		start = c.Target.Add(-meanDuration)
	}
	if c.CallerRetry && !start.After(now) {
		return LateClass, now.Add(time.Duration(lateWaitShare * float64(c.Deadline.Sub(now))))
	}
	if start.After(c.Deadline) {
		start = c.Deadline
	}
	return c.Class, start
}
