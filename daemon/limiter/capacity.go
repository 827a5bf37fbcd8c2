package limiter

import "time"

// Outcome tells the limiter how a call ended.
type Outcome uint8

const (
	// OK means that the upstream processed the call.
	OK Outcome = iota
	// Overloaded means that the upstream answered 503 or 429.
	Overloaded
	// TimedOut means that the upstream did not answer within the time of the call.
	TimedOut
	// Ignored means that the call says nothing about the capacity, for example because it was not sent or the caller
	// went away.
	Ignored
)

const (
	decrease = 0.7
	// smoothing is the weight of one call in the mean time that calls hold a slot.
	smoothing = 1.0 / 16
	// startShare is the part of the slots that is open at a cold start.
	startShare = 4
)

// capacity adapts the number of calls in progress to what the upstream sustains.
type capacity struct {
	slots    int
	limit    float64
	starting bool // slow start after a cold start
	open     bool // all slots are open at a cold start
	hold     time.Duration
	grants   uint64 // number of calls granted
	epoch    uint64 // last call granted before the last decrease
	birth    uint64 // last call granted before the last cold start
	round    uint64 // last call granted before the present round trip
	peak     int    // most calls in progress during the present round trip
}

func (c *capacity) current() int {
	return int(c.limit)
}

// grant counts a granted call and returns its number. busy is the number of calls in progress, with this one.
func (c *capacity) grant(busy int) uint64 {
	c.grants++
	c.peak = max(c.peak, busy)
	return c.grants
}

// start begins a slow start. What was learned about an earlier upstream process no longer holds.
func (c *capacity) start(slots int) {
	c.slots = slots
	c.limit = max(1, float64(slots)/startShare)
	c.starting = true
	if c.open {
		c.limit, c.starting = float64(slots), false
	}
	c.hold = 0
	c.epoch, c.birth = c.grants, c.grants
}

// resize keeps the limit, unless all slots were open: then all of the new ones are.
func (c *capacity) resize(slots int) {
	if c.limit >= float64(c.slots) {
		c.limit = float64(slots)
	}
	c.limit = min(c.limit, float64(slots))
	c.slots = slots
}

// observe adapts the limit to the outcome of one call and reports whether it was lowered. busy is the number of calls
// in progress, with this one.
func (c *capacity) observe(seq uint64, held time.Duration, outcome Outcome, busy int) bool {
	if seq <= c.birth || c.slots == 0 {
		return false
	}
	if seq > c.round {
		c.round, c.peak = c.grants, busy
	}
	switch outcome {
	case OK:
		c.sample(held)
		c.raise()
	case Overloaded:
		return c.lower(seq)
	case TimedOut:
		// A caller with much less time than calls usually take says nothing about the upstream.
		if held < c.hold/2 {
			return false
		}
		if held > c.hold {
			c.sample(held)
		}
		return c.lower(seq)
	}
	return false
}

func (c *capacity) sample(held time.Duration) {
	if c.hold == 0 {
		c.hold = held
		return
	}
	c.hold += time.Duration(smoothing * float64(held-c.hold))
}

// raise adds one call per round trip, and doubles the limit per round trip in slow start. A limit of which less than
// half is in use was not tested, so it stays.
func (c *capacity) raise() {
	if 2*c.peak < c.current() {
		return
	}
	step := 1 / c.limit
	if c.starting {
		step = 1
	}
	c.limit = min(c.limit+step, float64(c.slots))
	if c.limit >= float64(c.slots) {
		c.starting = false
	}
}

// lower shrinks the limit at most once per round trip: calls granted before the last decrease belong to the same burst.
func (c *capacity) lower(seq uint64) bool {
	c.starting = false
	if seq <= c.epoch {
		return false
	}
	c.epoch = c.grants
	c.limit = max(1, c.limit*decrease)
	return true
}
