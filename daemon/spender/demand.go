package spender

import (
	"math"
	"time"
)

// demandTime is the time over which the demand is averaged.
const demandTime = 2 * time.Second

// demand estimates how many calls a tenant makes at this daemon.
type demand struct {
	weight float64 // calls, weighted down by age
	at     time.Duration
}

// add counts a call.
func (d *demand) add(now time.Duration) {
	d.weight = d.decayed(now) + 1
	d.at = max(now, d.at)
}

// rate returns the calls per second before the last call, so that a lone call predicts none.
func (d *demand) rate(now time.Duration) float64 {
	return max(d.decayed(now)-1, 0) / demandTime.Seconds()
}

func (d *demand) decayed(now time.Duration) float64 {
	if now <= d.at {
		return d.weight
	}
	return d.weight * math.Exp(-float64(now-d.at)/float64(demandTime))
}
