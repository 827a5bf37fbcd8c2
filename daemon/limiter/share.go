package limiter

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the measured rates.
	rateWindow = 2 * time.Second
	// minFloor is the least share of its calls that is served of a class, in multiples of the share of all calls. It leaves
	// a margin above the required quarter.
	minFloor = 0.29
	// floorStep raises the floor for each less urgent class, so that classes at their floors are in order too.
	floorStep = 0.02
	// maxFloor bounds the floor, so that most of the capacity is left for the order.
	maxFloor = 0.45
	// orderMargin is the least ratio of the share of a class to that of a less urgent class.
	orderMargin = 1.1
	// maxDebt bounds the calls that a class is owed after its callers were refused or gave up.
	maxDebt = 4
	// minDebt bounds the calls that must arrive after many calls of a class were served, before it is owed one again.
	minDebt = -4
)

// rate is a number of events that decays exponentially.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time) {
	r.value, r.at = r.count(now)+1, now
}

// count returns the number of events within about rateWindow.
func (r *rate) count(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(rateWindow))
}

// perSecond returns the number of events per second.
func (r *rate) perSecond(now time.Time) float64 {
	return r.count(now) / rateWindow.Seconds()
}

// commonShare returns the share of all calls that was served lately.
func (s *schedule) commonShare(now time.Time) float64 {
	var arrived, served float64
	for _, q := range s.queues {
		if !q.class.Late {
			arrived, served = arrived+q.arrived.count(now), served+q.served.count(now)
		}
	}
	if arrived == 0 {
		return 0
	}
	return min(served/arrived, 1)
}

// floor returns the share of its calls that must be served of the class at index i, given the share of all calls.
func (s *schedule) floor(i int, common float64) float64 {
	if !s.queues[i].class.hasFloor() {
		return 0
	}
	below := 0
	for _, q := range s.queues[i+1:] {
		if q.class.hasFloor() {
			below++
		}
	}
	return min(minFloor+floorStep*float64(below), maxFloor) * common
}

// orderShare returns the share of its calls that must be served of the class at index i, which is above that of any less
// urgent class.
func (s *schedule) orderShare(i int, now time.Time) float64 {
	var lower float64
	for _, q := range s.queues[i+1:] {
		if q.class.hasFloor() {
			lower = max(lower, q.served.count(now)/(q.arrived.count(now)+1)) // the addition reduces the weight of a few calls
		}
	}
	return min(orderMargin*lower, 1)
}

// owed returns the number of whole calls in a debt.
func owed(debt float64) int {
	return int(max(debt, 0))
}

// owed returns how many calls of the queue may be served before calls of more urgent classes that are owed none.
func (q *queue) owed() int {
	return owed(max(q.floorDebt, q.orderDebt))
}
