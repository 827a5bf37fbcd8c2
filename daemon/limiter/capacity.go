package limiter

import "time"

// Outcome tells the limiter how a call ended.
type Outcome uint8

const (
	// OK means that the upstream processed the call.
	OK Outcome = iota
	// Overloaded means that the upstream answered 503 or 429.
	Overloaded
	// TimedOut means that the upstream did not answer before the deadline of the call.
	TimedOut
	// Ignored means that the call says nothing about the capacity, for example because it was not sent or the caller
	// went away.
	Ignored
)

const (
	// decreaseFactor is the factor by which an overload decreases the limit.
	decreaseFactor = 0.7
	// serviceTimeWeight is the weight of one call in the mean service time.
	serviceTimeWeight = 1.0 / 16
	// slowStartDivisor divides the slots to give the limit at a cold start.
	slowStartDivisor = 4
)

// capacity adapts the limit of in-flight calls to what the upstream sustains, by additive increase and multiplicative
// decrease.
type capacity struct {
	slots           int
	limit           float64
	slowStart       bool          // the limit is in slow start after a cold start
	skipSlowStart   bool          // a cold start skips slow start
	meanServiceTime time.Duration // mean time that calls hold a slot; zero before the first sample
	grants          uint64        // number of granted calls, which is the sequence number of the last one
	decreaseSeq     uint64        // last call granted before the last decrease
	coldStartSeq    uint64        // last call granted before the last cold start
	roundTripSeq    uint64        // last call granted before the current round trip
	peakInflight    int           // maximum of in-flight calls during the current round trip
}

func (c *capacity) maxInflight() int {
	return int(c.limit)
}

// grant counts a granted call and returns its sequence number. inflight includes this call.
func (c *capacity) grant(inflight int) uint64 {
	c.grants++
	c.peakInflight = max(c.peakInflight, inflight)
	return c.grants
}

// start begins a cold start. It discards what was measured on an earlier upstream process.
func (c *capacity) start(slots int) {
	c.slots = slots
	c.limit = max(1, float64(slots)/slowStartDivisor)
	c.slowStart = true
	if c.skipSlowStart {
		c.limit, c.slowStart = float64(slots), false
	}
	c.meanServiceTime = 0
	c.decreaseSeq, c.coldStartSeq = c.grants, c.grants
}

// setSlots changes the number of slots. It keeps the limit, unless the limit allowed all slots: then it allows all new
// ones.
func (c *capacity) setSlots(slots int) {
	if c.limit >= float64(c.slots) {
		c.limit = float64(slots)
	}
	c.limit = min(c.limit, float64(slots))
	c.slots = slots
}

// observe adapts the limit to the outcome of one call and reports whether the limit was lowered. inflight includes this
// call.
func (c *capacity) observe(seq uint64, serviceTime time.Duration, outcome Outcome, inflight int) bool {
	if seq <= c.coldStartSeq || c.slots == 0 {
		return false
	}
	if seq > c.roundTripSeq {
		c.roundTripSeq, c.peakInflight = c.grants, inflight
	}
	switch outcome {
	case OK:
		c.sample(serviceTime)
		c.raise()
	case Overloaded:
		return c.lower(seq)
	case TimedOut:
		// A timeout much shorter than the usual duration of calls says nothing about the upstream.
		if serviceTime < c.meanServiceTime/2 {
			return false
		}
		if serviceTime > c.meanServiceTime {
			c.sample(serviceTime)
		}
		return c.lower(seq)
	}
	return false
}

func (c *capacity) sample(serviceTime time.Duration) {
	if c.meanServiceTime == 0 {
		c.meanServiceTime = serviceTime
		return
	}
	c.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-c.meanServiceTime))
}

// raise increases the limit by one per round trip, or doubles it per round trip in slow start. It keeps a limit of which
// less than half is in use, since the traffic does not test it.
func (c *capacity) raise() {
	if 2*c.peakInflight < c.maxInflight() {
		return
	}
	step := 1 / c.limit
	if c.slowStart {
		step = 1
	}
	c.limit = min(c.limit+step, float64(c.slots))
	if c.limit >= float64(c.slots) {
		c.slowStart = false
	}
}

// lower decreases the limit at most once per round trip: calls granted before the last decrease belong to the same
// burst.
func (c *capacity) lower(seq uint64) bool {
	c.slowStart = false
	if seq <= c.decreaseSeq {
		return false
	}
	c.decreaseSeq = c.grants
	c.limit = max(1, c.limit*decreaseFactor)
	return true
}
