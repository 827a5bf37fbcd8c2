package deliverer

import "time"

// Late is the class of calls that cannot be answered by their target any more.
const Late = "late"

const (
	// spread is how many usual times before its target a call that waits must start, since many calls take longer than
	// usual.
	spread = 1.7
	// lateWait is the part of its time for which a call waits whose target has passed: long enough for a slot that nobody
	// else needs, and too short to hold a caller in vain while there are none.
	lateWait = 0.125
)

// Place returns the class in which a call waits for a slot, and when it must start at the latest if none is free. Calls of
// its kind usually take the given time.
//
// A call that would be answered after its target takes the slot of one that can still be answered in time, so under load a
// new one is refused while its caller can come back. A caller that has come back waits as long as its target can be met;
// after that it gets a slot only if no other call waits for it.
func (o Order) Place(now time.Time, usual time.Duration) (class string, latest time.Time) {
	if o.Target.IsZero() {
		return o.Class, o.Deadline.Add(-usual)
	}
	start := o.Target.Add(-time.Duration(spread * float64(usual)))
	if o.Again && !start.After(now) {
		start = o.Target.Add(-usual)
	}
	if o.Again && !start.After(now) {
		return Late, now.Add(time.Duration(lateWait * float64(o.Deadline.Sub(now))))
	}
	if start.After(o.Deadline) {
		start = o.Deadline
	}
	return o.Class, start
}
