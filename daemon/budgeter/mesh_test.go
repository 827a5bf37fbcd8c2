package budgeter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/budgeter"
)

// meshCase describes a mesh, its load and its faults. A run of a call to the service "front" makes calls to the service
// "back", which is also called directly.
type meshCase struct {
	name     string
	fronts   int           // VMs with an upstream of "front"
	backs    int           // VMs with an upstream of "back"
	rate     int           // calls per second of callers to "front", or to "back" if there is no VM of "front"
	backRate int           // calls per second of callers to "back" beside "front"
	calls    int           // largest number of calls that one run of "front" makes
	unsent   int           // percentage of calls that an upstream does not get since it cannot be reached
	failing  int           // percentage of arrivals that fail, so that their calls are to be retried
	heavy    bool          // the runs of retries make the most calls
	maxWait  time.Duration // longest time from the decision to send a call until it arrives at the upstream
	restart  time.Duration // mean time between two restarts of a daemon; zero for none
	pause    time.Duration // length of a pause in the traffic, after each 12 s; zero for none
	cut      time.Duration // the halves of the mesh are cut off from each other for this time, and connected for the same time; zero for never
	limits   budgeter.Limits
	minRetry int // retries that the mesh makes at least
}

// mesh simulates the calls of a mesh in virtual time.
type mesh struct {
	meshCase
	random *rand.Rand
	now    time.Time
	queue  eventQueue
	vms    []*vm
	of     map[string][]*vm // by service of their upstream
	lastID int

	requests map[string][]time.Time // calls by service, other than those of retried runs
	extras   map[string][]time.Time // arrivals by service that count as retries
}

// vm is a VM of the simulated mesh.
type vm struct {
	service string
	half    int // half of the mesh that it belongs to
	budget  *budgeter.Budgeter
}

// runTime is how long a run takes.
const runTime = 250 * time.Millisecond

// start starts the daemon of a VM.
func (m *mesh) start(v *vm) {
	v.budget = budgeter.New(
		budgeter.WithLimits(func() budgeter.Limits { return m.limits }),
		budgeter.WithClock(func() time.Duration { return m.now.Sub(time.Unix(0, 0)) }),
	)
}

// begin counts a call at the daemon where it starts, and reports whether it may be sent.
func (m *mesh) begin(c *meshCall) bool {
	var err error
	c.kind, err = c.origin.budget.StartCall(c.id, c.service)
	return err == nil
}

// admit asks the daemon of an upstream whether a call may arrive there. If it is not sent then, it does not arrive.
func (m *mesh) admit(c *meshCall, target *vm, sent bool) bool {
	kind := c.kind
	if c.arrivals > 0 {
		kind = budgeter.Retry
	}
	end, err := target.budget.Begin(budgeter.Arrival{
		ID: c.id, Service: c.service, Route: c.service, Kind: kind, Age: m.now.Sub(c.started), TimeLeft: time.Second,
	})
	if err != nil {
		return false
	}
	m.after(runTime, func() { end(sent) })
	return true
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (m *mesh) after(wait time.Duration, do func()) {
	heap.Push(&m.queue, event{m.now.Add(wait), do})
}

// run plays the mesh for the given time.
func (m *mesh) run(length time.Duration) {
	end := m.now.Add(length)
	for m.queue.Len() > 0 {
		e := heap.Pop(&m.queue).(event)
		if e.at.After(end) {
			return
		}
		m.now = e.at
		e.do()
	}
}

// upTo returns a random time up to limit.
func (m *mesh) upTo(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit) + 1))
}

func newMesh(c meshCase, seed uint64) *mesh {
	m := &mesh{
		meshCase: c, random: rand.New(rand.NewPCG(seed, uint64(c.fronts))), now: time.Unix(1000, 0), of: map[string][]*vm{},
		requests: map[string][]time.Time{}, extras: map[string][]time.Time{},
	}
	for i := range c.fronts + c.backs {
		service := "back"
		if i < c.fronts {
			service = "front"
		}
		m.vms = append(m.vms, &vm{service: service, half: i % 2})
		m.of[service] = append(m.of[service], m.vms[i])
		m.start(m.vms[i])
	}
	if c.fronts > 0 {
		m.after(0, func() { m.callers("front", c.rate) })
		m.after(0, func() { m.callers("back", c.backRate) })
	} else {
		m.after(0, func() { m.callers("back", c.rate) })
	}
	if c.restart > 0 {
		m.after(m.upTo(2*c.restart), m.restartOne)
	}
	return m
}

// callers sends a call of a caller and schedules the next one.
func (m *mesh) callers(service string, rate int) {
	m.after(m.upTo(2*time.Second/time.Duration(rate)), func() { m.callers(service, rate) })
	if m.pause > 0 && m.now.Sub(time.Unix(1000, 0))%(12*time.Second+m.pause) > 12*time.Second {
		return
	}
	m.lastID++
	m.send(&meshCall{id: fmt.Sprint(m.lastID), service: service, origin: m.vms[m.random.IntN(len(m.vms))]}, 0)
}

// restartOne replaces the daemon of a random VM by one that knows nothing.
func (m *mesh) restartOne() {
	m.start(m.vms[m.random.IntN(len(m.vms))])
	m.after(m.upTo(2*m.restart), m.restartOne)
}

// meshCall is a call that is sent until it succeeds.
type meshCall struct {
	id       string
	service  string
	origin   *vm
	ofRetry  bool // made by the run of a retry
	kind     budgeter.Kind
	arrivals int
	started  time.Time
}

// maxArrivals is how often one call is sent to upstreams.
const maxArrivals = 3

// send sends a call to a random VM of its service, if the budget allows it. Refusals counts the VMs that have refused it.
func (m *mesh) send(c *meshCall, refusals int) {
	if c.arrivals == 0 && refusals == 0 {
		c.started = m.now
		if !c.ofRetry {
			m.requests[c.service] = append(m.requests[c.service], m.now)
		}
		if !m.begin(c) {
			return
		}
	}
	members := m.of[c.service]
	target := members[m.random.IntN(len(members))]
	if m.isCut() && target.half != c.origin.half {
		return
	}
	m.after(m.upTo(m.maxWait), func() { m.arrive(c, target, refusals) })
}

// isCut reports whether the halves are cut off from each other.
func (m *mesh) isCut() bool {
	return m.cut > 0 && m.now.Sub(time.Unix(1000, 0))%(2*m.cut) >= m.cut
}

// arrive lets a call arrive at the upstream of a VM, unless its daemon refuses it.
func (m *mesh) arrive(c *meshCall, target *vm, refusals int) {
	sent := m.random.IntN(100) >= m.unsent
	if !m.admit(c, target, sent) || !sent {
		if refusals < maxArrivals {
			m.send(c, refusals+1)
		}
		return
	}
	isRetry := c.arrivals > 0 || c.ofRetry
	c.arrivals++
	if isRetry {
		m.extras[c.service] = append(m.extras[c.service], m.now)
	}
	if c.service == "front" {
		m.nestedCalls(c, target, isRetry)
	}
	if c.arrivals < maxArrivals && m.random.IntN(100) < m.failing {
		m.after(m.upTo(300*time.Millisecond), func() { m.send(c, 0) })
	}
}

// nestedCalls makes the calls of a run.
func (m *mesh) nestedCalls(parent *meshCall, on *vm, isRetry bool) {
	count := m.random.IntN(m.calls + 1)
	if m.heavy && isRetry {
		count = m.calls
	}
	for range count {
		m.lastID++
		c := &meshCall{id: fmt.Sprintf("%s.%d", parent.id, m.lastID), service: "back", origin: on, ofRetry: isRetry}
		m.after(m.upTo(200*time.Millisecond), func() { m.send(c, 0) })
	}
}

// check compares the retries to each service with the limit, without the slack if nobody may use it.
func (m *mesh) check(t *testing.T) {
	t.Helper()
	if m.limits.Shares == 0 {
		m.limits.Slack = 0
	}
	total := 0
	for service, extras := range m.extras {
		total += len(extras)
		checkWindows(t, m.limits, m.requests[service], extras)
	}
	is.New(t).True(total >= m.minRetry) // the mesh retries calls
}

// checkWindows compares the retries in each window with the limit: the ratio of the calls in that window, in the one before or
// in the one that begins half a window earlier, whichever has most, and the slack.
func checkWindows(t *testing.T, limits budgeter.Limits, calls, retries []time.Time) {
	t.Helper()
	for i, start := range retries {
		end := start.Add(limits.Window)
		count := countBefore(retries[i:], end)
		most := max(between(calls, start, end), between(calls, start.Add(-limits.Window), start),
			between(calls, start.Add(-limits.Window/2), start.Add(limits.Window/2)))
		if allowed := limits.Ratio*float64(most) + limits.Slack; float64(count) > allowed {
			t.Fatalf("%d retries in a window that starts after %v, allowed %v for %d calls", count, start.Sub(time.Unix(1000, 0)), allowed, most)
		}
	}
}

// countBefore returns how many of the times, which are in order, are before end.
func countBefore(times []time.Time, end time.Time) int {
	n, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
	return n
}

// between returns how many times are in [start, end).
func between(times []time.Time, start, end time.Time) int {
	return countBefore(times, end) - countBefore(times, start)
}
