package router

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Kind tells how a call ended.
type Kind uint8

const (
	// OK means that the member answered.
	OK Kind = iota
	// Failed means that the call failed after it was sent, for example by a time-out or a broken connection.
	Failed
	// Rejected means that the member refused the call as not run.
	Rejected
	// Unreachable means that the connect failed.
	Unreachable
	// Canceled means that the caller went away before the call ended.
	Canceled
)

// Outcome is the result of a call.
type Outcome struct {
	Kind Kind
	// Latency is the time from the pick to the end of the call.
	Latency time.Duration
	// Load is the load that the member reported with an OK or Rejected answer, negative if it did not.
	Load int
}

const (
	slowStart = 10 * time.Second

	// ejectAfter is the number of consecutive failures that eject a member.
	ejectAfter   = 5
	ejectFirst   = 5 * time.Second
	ejectLongest = time.Minute

	// forget is the time constant with which old latencies, failures and reports lose their weight.
	forget       = 10 * time.Second
	forgetLoad   = time.Second
	rejectWindow = time.Second

	// minWeight is the least weight of one latency, so that calls which end at the same moment all count.
	minWeight = 0.05
	// unknown is the latency of a member without observations relative to that of the service. It is below 1 so that
	// such a member is tried soon; its calls in progress keep it from being flooded.
	unknown = 0.75
	// maxReport bounds a reported load, in multiples of the slots, so that a wrong report does not exclude a member.
	maxReport = 2
	// maxAge bounds the age of calls in progress, in multiples of the latency, so that one long call does not send all
	// others elsewhere.
	maxAge = 8

	// idle is the load, in shares of the slots, that counts for a member without calls. While slots are free calls end
	// sooner at a fast member than at a slow one with less load, so the latency counts more than the load.
	idle = 0.4

	// tries is the number of independent samples before a scan.
	tries = 6
	// minShare is the least probability with which a slow member takes part in the selection.
	minShare = 0.1

	// unreachableTime is the time after a failed connect in which no other call goes to the member. A connect to a member that is
	// cut off takes as long as many callers wait.
	unreachableTime = time.Second

	suspectPenalty = 2
	// rejectPenalty is the score factor for each consecutive rejection, up to maxRejections. Rejections are quick, so
	// a member whose upstream is gone would otherwise look fast.
	rejectPenalty = 4
	maxRejections = 8
	// failurePenalty is added to the score factor for each consecutive failure and is gone after ejectFirst. Without it
	// a member that fails quickly would look idle.
	failurePenalty = 1
	ejectedPenalty = 16

	// busy is the share of slots in use from which calls may queue at a member.
	busy = 0.75
	// busySpill is the ratio of scores at which another failure domain is used if calls may queue here. idleSpill is
	// the ratio of latencies at which it is used although the member has free slots, for example because it hangs.
	busySpill = 2
	idleSpill = 4
)

// latency is a moving average in which old values fade with time.
type latency struct {
	mu   sync.Mutex
	mean float64
	last time.Time
}

func (l *latency) observe(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.IsZero() {
		l.mean = float64(d)
	} else {
		weight := max(minWeight, 1-fade(now.Sub(l.last), forget))
		l.mean += weight * (float64(d) - l.mean)
	}
	l.last = now
}

// value returns the average, or zero before the first observation.
func (l *latency) value() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.mean)
}

// stats are the observations about one member process.
type stats struct {
	seen        time.Time    // when this router first saw it
	until       atomic.Int64 // end of the ejection, after seen
	fails       atomic.Int32 // consecutive failures
	unreachable atomic.Int64 // end of the time without calls after a failed connect, after seen; 0 if the last one did not fail

	mu         sync.Mutex
	inflight   int
	starts     int64 // sum of the start times of calls in progress, in microseconds after seen
	mean       float64
	observed   time.Time // zero if never
	load       int       // reported, without the own calls
	reported   time.Time
	rejected   time.Time
	rejections int // consecutive
	failed     time.Time
	ejections  int
	retry      time.Time // a failing member is not tried before
}

func (s *stats) begin(now time.Time) {
	s.mu.Lock()
	s.inflight++
	s.starts += now.Sub(s.seen).Microseconds()
	s.mu.Unlock()
}

// end records the outcome of a call and reports whether the member should be ejected.
func (s *stats) end(o Outcome, start, now time.Time, typical time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Load >= 0 && (o.Kind == OK || o.Kind == Rejected) {
		// The member counts the own calls too, and these are known exactly.
		s.load, s.reported = max(0, o.Load-s.inflight), now
	}
	s.inflight--
	s.starts -= start.Sub(s.seen).Microseconds()
	s.noteConnect(o.Kind, now)
	switch o.Kind {
	case OK:
		s.fails.Store(0)
		s.rejections = 0
		s.observe(o.Latency, now, typical)
	case Rejected:
		s.fails.Store(0)
		s.rejected = now
		s.rejections++
	case Canceled:
		s.slower(o.Latency, now, typical)
		if s.failing() {
			s.retry = now.Add(ejectFirst)
		}
	case Failed:
		s.failed = now
		s.slower(o.Latency, now, typical)
		return s.fails.Add(1) >= ejectAfter
	case Unreachable:
		s.failed = now
		s.fails.Store(max(s.fails.Load()+1, ejectAfter))
		return true
	}
	return false
}

// observe adds a latency. The first one is averaged with that of the service, since a single call may be an outlier.
func (s *stats) observe(d time.Duration, now time.Time, typical time.Duration) {
	if s.observed.IsZero() {
		s.mean = (float64(d) + float64(typical)) / 2
	} else {
		if now.Sub(s.observed) > forget {
			// An old average that was slow would outweigh the call that shows the recovery.
			s.mean = s.latency(now, typical)
		}
		weight := max(minWeight, 1-fade(now.Sub(s.observed), forget))
		s.mean += weight * (float64(d) - s.mean)
	}
	s.observed = now
}

// slower adds the latency of a call without an answer, which may raise the average but not lower it.
func (s *stats) slower(d time.Duration, now time.Time, typical time.Duration) {
	if float64(d) > s.latency(now, typical) {
		s.observe(d, now, typical)
	}
}

// latency returns the expected latency. Without recent observations it approaches that of an unknown member, so that a
// member which was slow is tried again.
func (s *stats) latency(now time.Time, typical time.Duration) float64 {
	usual := unknown * max(float64(typical), 1)
	if s.observed.IsZero() {
		return usual
	}
	return max(1, usual+(s.mean-usual)*fade(now.Sub(s.observed), forget))
}

// others returns the load from other daemons that the member last reported, which fades.
func (s *stats) others(slots float64, now time.Time) float64 {
	return min(float64(s.load), maxReport*slots) * fade(now.Sub(s.reported), forgetLoad)
}

// cost is what one more call at a member is expected to cost; lower is better.
type cost struct {
	score       float64
	latency     float64 // with penalties but for rejections, without the load
	load        float64 // latency with the load, without the penalty for rejections
	utilisation float64 // share of the slots in use, above 1 if calls queue
	rejects     bool    // a call was rejected lately
}

// cost returns the expected cost of one more call. A member on trial costs nothing, so that it is chosen.
func (s *stats) cost(c *candidate, now time.Time, typical time.Duration) cost {
	slots := c.slots()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trial(now) {
		return cost{}
	}
	expected := s.latency(now, typical)
	if s.inflight > 0 {
		// Calls without an answer tell about a frozen member before any of them has ended.
		age := now.Sub(s.seen) - time.Duration(s.starts/int64(s.inflight))*time.Microsecond
		expected = max(expected, min(float64(age), maxAge*expected))
	}
	if fails := s.fails.Load(); fails > 0 {
		rest := max(0, 1-float64(now.Sub(s.failed))/float64(ejectFirst))
		expected *= 1 + failurePenalty*float64(min(fails, 2*ejectAfter))*rest
	}
	if c.member.State == "suspect" {
		expected *= suspectPenalty
	}
	load := float64(s.inflight) + s.others(slots, now)
	loaded := (idle + (load+1)/slots) * expected
	out := cost{score: loaded, latency: expected, load: loaded, utilisation: load / slots, rejects: s.rejects(now)}
	if out.rejects {
		out.score *= rejectPenalty * float64(min(s.rejections, maxRejections))
	}
	return out
}

// rejects reports whether the member rejected a call lately.
func (s *stats) rejects(now time.Time) bool {
	return !s.rejected.IsZero() && now.Sub(s.rejected) < rejectWindow
}

// trial reports whether the next call should test whether a failing member works again. Only one call at a time does.
func (s *stats) trial(now time.Time) bool {
	return s.failing() && s.inflight == 0 && !now.Before(s.retry)
}

// noteConnect notes whether a connect failed. Calls without an answer tell nothing about that.
func (s *stats) noteConnect(kind Kind, now time.Time) {
	switch kind {
	case Unreachable:
		s.unreachable.Store(int64(now.Add(unreachableTime).Sub(s.seen)))
	case OK, Rejected:
		s.unreachable.Store(0)
	}
}

// reachable reports whether a call may be sent to the member as far as connects tell.
func (s *stats) reachable(now time.Time) bool {
	return int64(now.Sub(s.seen)) >= s.unreachable.Load()
}

// claimTrial keeps other calls from the member for unreachableTime if the last connect failed: the call that is about to be
// sent tells whether it can be reached again.
func (s *stats) claimTrial(now time.Time) {
	if s.unreachable.Load() != 0 {
		s.unreachable.Store(int64(now.Add(unreachableTime).Sub(s.seen)))
	}
}

// failing reports whether the member failed too often and no call has succeeded since.
func (s *stats) failing() bool {
	return s.fails.Load() >= ejectAfter
}

func (s *stats) ejected(now time.Time) bool {
	return now.Sub(s.seen) < time.Duration(s.until.Load())
}

// eject puts off the next trial and returns for how long. If allowed, the member takes no calls until then. The time
// doubles unless the member held out for a while since the last time. Calls that were under way don't prolong it.
func (s *stats) eject(allowed bool, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.retry) {
		return 0
	}
	if now.Sub(s.retry) > ejectLongest {
		s.ejections = 0
	}
	duration := min(ejectFirst<<min(s.ejections, 10), ejectLongest)
	s.ejections++
	s.retry = now.Add(duration)
	if !allowed {
		return 0
	}
	s.until.Store(int64(s.retry.Sub(s.seen)))
	return duration
}

// slots returns the number of calls the member takes at once.
func (c *candidate) slots() float64 {
	return float64(max(c.member.Slots, 1))
}

// fade returns the weight that remains after a time.
func fade(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}
