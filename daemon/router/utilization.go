package router

import (
	"sync"
	"time"
)

const (
	// utilizationDecay is the time constant with which reports lose their weight in the mean of a group of members.
	utilizationDecay = time.Second
	// utilizationMemory is the time constant with which the mean of a group of which nothing is heard approaches zero, so
	// that calls go there again.
	utilizationMemory = 10 * time.Second
)

// utilization is the mean share of the slots that calls of other daemons use at a group of members, as the members report.
type utilization struct {
	mu    sync.Mutex
	share float64
	last  time.Time // zero if nothing was reported
}

// observe adds the load from other daemons that a member with the given slots reported.
func (u *utilization) observe(load int, slots float64, now time.Time) {
	share := min(float64(load)/slots, 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.last.IsZero() {
		u.share = share
	} else {
		weight := max(minSampleWeight, 1-decay(now.Sub(u.last), utilizationDecay))
		u.share += weight * (share - u.share)
	}
	u.last = now
}

// mean returns the mean share, decayed by the age of the last report.
func (u *utilization) mean(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.last.IsZero() {
		return 0
	}
	return u.share * decay(now.Sub(u.last), utilizationMemory)
}
