package allocator

import (
	"time"

	"bluebellhoist/core/carrier"
)

const (
	// minWait and maxWait bound the time that an allotment states until there is room.
	minWait = 20 * time.Millisecond
	maxWait = carrier.MaxWait
	// extraShare is the share of a bucket that is kept for calls that wait. Tokens for expected calls may go unused.
	extraShare = 0.5
)

// Limit is the limit on the calls of one tenant over the whole mesh.
type Limit struct {
	Rate  float64 // calls per second
	Burst float64 // calls beyond the rate
	Mod   uint64  // version at which the limit last changed
}

// bucket is the token bucket of one controller for one tenant. It starts empty.
type bucket struct {
	limit   Limit
	content float64
	owed    float64       // tokens that were refused lately and not refilled since
	at      time.Duration // held time at which content and owed were computed
}

// capacity returns the largest content at a share of the limit. A bucket of a small burst holds one token, since tokens are not
// divided.
func (b *bucket) capacity(share float64) float64 {
	if share == 0 {
		return 0
	}
	return max(1, b.limit.Burst*share)
}

// advance refills the bucket until the given held time.
func (b *bucket) advance(held time.Duration, share float64) {
	if held > b.at {
		refill := b.limit.Rate * share * (held - b.at).Seconds()
		b.content += refill
		b.owed = max(b.owed-refill, 0)
		b.at = held
	}
	b.content = min(b.content, b.capacity(share))
}

// allot takes up to count tokens, and up to extra tokens of what the bucket holds beyond the part kept for waiting calls. If it
// has fewer than count, it returns the time until there is room.
func (b *bucket) allot(count, extra int, share float64) (granted int, wait time.Duration) {
	granted = min(count, int(b.content))
	b.content -= float64(granted)
	if granted == count {
		spare := min(extra, max(0, int(b.content-extraShare*b.capacity(share))))
		b.content -= float64(spare)
		return granted + spare, 0
	}
	// The refused calls return and use what is refilled, so a later ask has to wait until they have.
	refill := b.limit.Rate * share
	b.owed = min(b.owed+float64(count-granted), max(refill*maxWait.Seconds(), 1))
	if refill <= 0 {
		return granted, maxWait
	}
	return granted, waitFor((b.owed - b.content) / refill)
}

// waitFor returns a number of seconds as a wait within the bounds.
func waitFor(seconds float64) time.Duration {
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return max(minWait, time.Duration(seconds*float64(time.Second)))
}
