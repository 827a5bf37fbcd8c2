package allocator

import (
	"time"

	"bluebellhoist/core/apportioner"
	"bluebellhoist/core/carrier"
)

const (
	// minWait and maxWait bound the time that an allotment states until there is room.
	minWait = 20 * time.Millisecond
	maxWait = carrier.MaxWait
	// reservedShare is the share of a bucket that is kept for calls that wait. Tokens for expected calls may go unused.
	reservedShare = 0.5
)

// Limit is the limit on the calls of one tenant over the whole mesh.
type Limit = apportioner.Limit

// bucket is the token bucket of one controller for one tenant. It starts empty.
type bucket struct {
	limit   Limit
	rate    float64 // tokens per second
	size    float64 // largest content
	content float64
	owed    float64       // tokens that were refused lately and not refilled since
	at      time.Duration // leased time at which content and owed were computed
}

// portion is what a controller may allot of every limit.
type portion struct {
	share  float64
	voters int // number of controllers that the limits are divided among
}

// resize sets rate and size to a portion of the limit. The size is rounded up, since tokens are not divided.
func (b *bucket) resize(bound apportioner.Bound, p portion) {
	b.rate, b.size = 0, 0
	if p.share > 0 {
		b.rate, b.size = b.limit.Rate*p.share, bound.Capacity(b.limit, p.voters)*p.share+1
	}
	b.content = min(b.content, b.size)
}

// advance refills the bucket until the given leased time.
func (b *bucket) advance(leased time.Duration) {
	if leased <= b.at {
		return
	}
	refill := b.rate * (leased - b.at).Seconds()
	b.content = min(b.content+refill, b.size)
	b.owed = max(b.owed-refill, 0)
	b.at = leased
}

// allot takes up to count tokens, and up to extra tokens of what the bucket holds beyond the part kept for waiting calls. If it
// has fewer than count, it returns the time until there is room.
func (b *bucket) allot(count, extra int) (granted int, wait time.Duration) {
	granted = min(count, int(b.content))
	b.content -= float64(granted)
	if granted == count {
		spare := min(extra, max(0, int(b.content-reservedShare*b.size)))
		b.content -= float64(spare)
		return granted + spare, 0
	}
	// The refused calls return and use what is refilled, so a later ask has to wait until they have.
	b.owed = min(b.owed+float64(count-granted), max(b.rate*maxWait.Seconds(), 1))
	return granted, waitFor((b.owed - b.content) / b.rate)
}

// waitFor returns a number of seconds as a wait within the bounds.
func waitFor(seconds float64) time.Duration {
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return max(minWait, time.Duration(seconds*float64(time.Second)))
}
