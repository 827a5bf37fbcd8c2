package router

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Result tells how a call ended.
type Result uint8

const (
	// OK means that the member answered with a status below 500, other than a 429 of the upstream on a service call.
	OK Result = iota
	// Failed means that the call was sent, and got a 5xx status, a 429 as above, or no complete response.
	Failed
	// Refused means that the member refused the call without running it.
	Refused
	// Unreachable means that the connection could not be established.
	Unreachable
	// Canceled means that the caller went away before the call ended.
	Canceled
)

// Outcome describes how a call ended, as reported to the function that Pick returned.
type Outcome struct {
	Result Result
	// Latency is the time from the pick to the end of the call.
	Latency time.Duration
	// Load is the load that the member reported with an OK or Refused answer, or negative if it reported none.
	Load int
}

const (
	// slowStart is the duration of the slow start of a member process.
	slowStart = 10 * time.Second

	// failuresToEject is the number of consecutive failures after which a member is ejected.
	failuresToEject = 5
	// baseEjection is the duration of a first ejection. It doubles with each further one, up to maxEjection.
	baseEjection = 5 * time.Second
	maxEjection  = time.Minute

	// latencyDecay is the time constant with which observed latencies lose their weight. loadDecay is that of reported
	// loads.
	latencyDecay = 10 * time.Second
	loadDecay    = time.Second
	// refusalWindow is the time for which a refusal counts against a member.
	refusalWindow = time.Second

	// minSampleWeight is the minimum weight of a latency sample, so that calls that end at the same moment all count.
	minSampleWeight = 0.05
	// unobservedLatencyFactor is the assumed latency of a member without observations, in multiples of the mean latency
	// of the service. It is below 1 so that such a member is selected soon; its in-flight calls protect it from overload.
	unobservedLatencyFactor = 0.75
	// maxReportedLoadFactor bounds a reported load, in multiples of the slots, so that a wrong report does not exclude a
	// member.
	maxReportedLoadFactor = 2
	// maxInflightAgeFactor bounds the age of in-flight calls, in multiples of the expected latency, so that one long
	// call does not divert all others.
	maxInflightAgeFactor = 8

	// idleUtilization is added to the utilization of every member, so that latency matters more than load while slots
	// are free: calls then end sooner at a fast member than at a slow one with less load.
	idleUtilization = 0.4

	// maxSamples is the number of independent samples before a scan.
	maxSamples = 6
	// minRelativeSpeed is the minimum of relativeSpeed, with which a slow member takes part in the selection. Slow start
	// may lower its probability further.
	minRelativeSpeed = 0.1

	// reconnectBackoff is the time after a failed connect during which no other call goes to the member. A connect to a
	// partitioned member can last until the deadline of the call.
	reconnectBackoff = time.Second

	// suspectPenalty is the latency factor of a member in state suspect.
	suspectPenalty = 2
	// refusalPenalty is multiplied by the number of consecutive refusals, up to maxRefusals, to give a score factor.
	// Refusals are quick, so a member whose upstream is gone would otherwise look fast.
	refusalPenalty = 4
	maxRefusals    = 8
	// failurePenalty is added to the score factor for each consecutive failure and decays to zero within baseEjection.
	// Without it a member that fails quickly would look idle.
	failurePenalty = 1
	// ejectedPenalty is the score factor of an ejected member.
	ejectedPenalty = 16

	// busyUtilization is the utilization from which calls may queue at a member.
	busyUtilization = 0.75
	// busySpillRatio is the ratio of local to remote loaded latency above which calls spill to another failure domain if
	// they may queue at the local member. idleSpillRatio is the ratio of latencies above which calls spill although the
	// local member has free slots, for example because it hangs.
	busySpillRatio = 2
	idleSpillRatio = 4
)

// movingAverage is an exponentially weighted moving average of latencies. Old values decay with time.
type movingAverage struct {
	mu   sync.Mutex
	mean float64
	last time.Time
}

func (m *movingAverage) observe(d time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.last.IsZero() {
		m.mean = float64(d)
	} else {
		weight := max(minSampleWeight, 1-decay(now.Sub(m.last), latencyDecay))
		m.mean += weight * (float64(d) - m.mean)
	}
	m.last = now
}

// value returns the average latency, or zero before the first observation.
func (m *movingAverage) value() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.mean)
}

// stats holds the observations about one process of a member.
type stats struct {
	firstSeen           time.Time    // when this router first saw the process
	ejectedUntil        atomic.Int64 // end of the ejection, relative to firstSeen
	consecutiveFailures atomic.Int32
	unreachableUntil    atomic.Int64 // end of reconnectBackoff, relative to firstSeen; 0 unless the last connect failed

	mu                  sync.Mutex
	inflight            int
	startSum            int64 // sum of the start times of in-flight calls, in microseconds after firstSeen
	meanLatency         float64
	lastObserved        time.Time // zero if never
	reportedLoad        int       // excluding the calls of this daemon
	lastReported        time.Time
	lastRefused         time.Time
	consecutiveRefusals int
	lastFailed          time.Time
	ejections           int
	nextProbe           time.Time // earliest time of the next probe of a failing member
}

func (s *stats) begin(now time.Time) {
	s.mu.Lock()
	s.inflight++
	s.startSum += now.Sub(s.firstSeen).Microseconds()
	s.mu.Unlock()
}

// end records the outcome of a call and reports whether the member should be ejected.
func (s *stats) end(o Outcome, start, now time.Time, serviceMean time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Load >= 0 && (o.Result == OK || o.Result == Refused) {
		// The report includes the calls of this daemon, whose number is known exactly.
		s.reportedLoad, s.lastReported = max(0, o.Load-s.inflight), now
	}
	s.inflight--
	s.startSum -= start.Sub(s.firstSeen).Microseconds()
	s.recordConnect(o.Result, now)
	switch o.Result {
	case OK:
		s.consecutiveFailures.Store(0)
		s.consecutiveRefusals = 0
		s.observe(o.Latency, now, serviceMean)
	case Refused:
		s.consecutiveFailures.Store(0)
		s.lastRefused = now
		s.consecutiveRefusals++
	case Canceled:
		s.observeUnanswered(o.Latency, now, serviceMean)
		if s.failing() {
			s.nextProbe = now.Add(baseEjection)
		}
	case Failed:
		s.lastFailed = now
		s.observeUnanswered(o.Latency, now, serviceMean)
		return s.consecutiveFailures.Add(1) >= failuresToEject
	case Unreachable:
		s.lastFailed = now
		s.consecutiveFailures.Store(max(s.consecutiveFailures.Load()+1, failuresToEject))
		return true
	}
	return false
}

// observe adds a latency sample. The first one is averaged with the mean of the service, since it may be an outlier.
func (s *stats) observe(d time.Duration, now time.Time, serviceMean time.Duration) {
	if s.lastObserved.IsZero() {
		s.meanLatency = (float64(d) + float64(serviceMean)) / 2
	} else {
		if now.Sub(s.lastObserved) > latencyDecay {
			// An outdated high average would outweigh the call that shows the recovery.
			s.meanLatency = s.expectedLatency(now, serviceMean)
		}
		weight := max(minSampleWeight, 1-decay(now.Sub(s.lastObserved), latencyDecay))
		s.meanLatency += weight * (float64(d) - s.meanLatency)
	}
	s.lastObserved = now
}

// observeUnanswered adds the latency of a call without an answer, which may raise the average but not lower it.
func (s *stats) observeUnanswered(d time.Duration, now time.Time, serviceMean time.Duration) {
	if float64(d) > s.expectedLatency(now, serviceMean) {
		s.observe(d, now, serviceMean)
	}
}

// expectedLatency returns the expected latency in nanoseconds. Without recent observations it approaches that of an
// unobserved member, so that a formerly slow member is selected again.
func (s *stats) expectedLatency(now time.Time, serviceMean time.Duration) float64 {
	unobserved := unobservedLatencyFactor * max(float64(serviceMean), 1)
	if s.lastObserved.IsZero() {
		return unobserved
	}
	return max(1, unobserved+(s.meanLatency-unobserved)*decay(now.Sub(s.lastObserved), latencyDecay))
}

// otherLoad returns the load from other daemons as last reported by the member, decayed by age.
func (s *stats) otherLoad(slots float64, now time.Time) float64 {
	return min(float64(s.reportedLoad), maxReportedLoadFactor*slots) * decay(now.Sub(s.lastReported), loadDecay)
}

// cost is the expected cost of sending one more call to a member; lower is better.
type cost struct {
	score           float64
	latency         float64 // includes all penalties except that for refusals
	loadedLatency   float64 // latency scaled by the load
	utilization     float64 // share of the slots in use, above 1 if calls queue
	refusedRecently bool    // a call was refused within refusalWindow
}

// cost returns the expected cost of one more call. It is zero for a member that is due for a probe, so that it is
// chosen.
func (s *stats) cost(c *candidate, now time.Time, serviceMean time.Duration) cost {
	slots := c.slots()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probeDue(now) {
		return cost{}
	}
	latency := s.expectedLatency(now, serviceMean)
	if s.inflight > 0 {
		// The age of in-flight calls reveals a frozen member before any of them has ended.
		age := now.Sub(s.firstSeen) - time.Duration(s.startSum/int64(s.inflight))*time.Microsecond
		latency = max(latency, min(float64(age), maxInflightAgeFactor*latency))
	}
	if fails := s.consecutiveFailures.Load(); fails > 0 {
		remaining := max(0, 1-float64(now.Sub(s.lastFailed))/float64(baseEjection))
		latency *= 1 + failurePenalty*float64(min(fails, 2*failuresToEject))*remaining
	}
	if c.member.State == "suspect" {
		latency *= suspectPenalty
	}
	load := float64(s.inflight) + s.otherLoad(slots, now)
	loadedLatency := (idleUtilization + (load+1)/slots) * latency
	result := cost{score: loadedLatency, latency: latency, loadedLatency: loadedLatency, utilization: load / slots,
		refusedRecently: s.refusedRecently(now)}
	if result.refusedRecently {
		result.score *= refusalPenalty * float64(min(s.consecutiveRefusals, maxRefusals))
	}
	return result
}

// refusedRecently reports whether the member refused a call within refusalWindow.
func (s *stats) refusedRecently(now time.Time) bool {
	return !s.lastRefused.IsZero() && now.Sub(s.lastRefused) < refusalWindow
}

// probeDue reports whether the next call should probe whether a failing member has recovered. Probes run one at a time.
func (s *stats) probeDue(now time.Time) bool {
	return s.failing() && s.inflight == 0 && !now.Before(s.nextProbe)
}

// recordConnect records whether the connect succeeded. Failed and Canceled are ignored, since such a call may have been
// sent on a connection that was opened before a partition.
func (s *stats) recordConnect(result Result, now time.Time) {
	switch result {
	case Unreachable:
		s.unreachableUntil.Store(int64(now.Add(reconnectBackoff).Sub(s.firstSeen)))
	case OK, Refused:
		s.unreachableUntil.Store(0)
	}
}

// reachable reports whether the member is outside its reconnectBackoff.
func (s *stats) reachable(now time.Time) bool {
	return int64(now.Sub(s.firstSeen)) >= s.unreachableUntil.Load()
}

// claimReconnect starts another reconnectBackoff if the last connect failed, so that only the call about to be sent
// tests whether the member is reachable again.
func (s *stats) claimReconnect(now time.Time) {
	if s.unreachableUntil.Load() != 0 {
		s.unreachableUntil.Store(int64(now.Add(reconnectBackoff).Sub(s.firstSeen)))
	}
}

// failing reports whether failuresToEject consecutive calls or one connect failed and no call was answered since.
func (s *stats) failing() bool {
	return s.consecutiveFailures.Load() >= failuresToEject
}

func (s *stats) ejected(now time.Time) bool {
	return now.Sub(s.firstSeen) < time.Duration(s.ejectedUntil.Load())
}

// eject schedules the next probe and, if allowed, ejects the member until then. It returns the duration of the
// ejection, or zero. The duration doubles with each ejection and starts over if maxEjection has passed since the last
// one ended. Calls that were already in flight do not prolong an ejection.
func (s *stats) eject(allowed bool, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextProbe) {
		return 0
	}
	if now.Sub(s.nextProbe) > maxEjection {
		s.ejections = 0
	}
	duration := min(baseEjection<<min(s.ejections, 10), maxEjection)
	s.ejections++
	s.nextProbe = now.Add(duration)
	if !allowed {
		return 0
	}
	s.ejectedUntil.Store(int64(s.nextProbe.Sub(s.firstSeen)))
	return duration
}

// slots returns the maximum number of concurrent calls of the member.
func (c *candidate) slots() float64 {
	return float64(max(c.member.Slots, 1))
}

// decay returns the weight that remains of a value of the given age, for an exponential decay with a time constant.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}
