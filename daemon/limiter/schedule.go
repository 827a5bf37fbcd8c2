package limiter

import (
	"slices"
	"time"
)

// MaxClasses bounds the number of classes with a queue of their own. Further ranks share the queue of the nearest rank.
const MaxClasses = 64

// waiter is a queued call.
type waiter struct {
	queue       *queue
	latestStart time.Time // zero if none
	ready       chan struct{}
	seq         uint64 // set when granted
	err         error  // set when refused
	queued      bool
	prev, next  *waiter
}

// queue holds the waiting calls of one class in order of arrival.
type queue struct {
	class      Class
	head, tail *waiter
	length     int
	arrived    rate
	served     rate
	floorDebt  float64 // calls that the class is owed by its floor
	orderDebt  float64 // calls that the class is owed because less urgent ones were served more often
}

// schedule decides which waiting call gets the next slot. Calls of running calls go first, by rank. Then follow the classes
// that are owed calls by their floor, those that are owed calls by the order, and then the others by rank. The queues are sorted
// by class.
type schedule struct {
	queues []*queue
	length int
}

// find returns the index of the queue for a class. It adds the queue if it is missing.
func (s *schedule) find(class Class, now time.Time) int {
	i, ok := s.search(class)
	if ok {
		return i
	}
	if len(s.queues) >= MaxClasses && !s.dropIdle(now) {
		return s.nearest(class)
	}
	i, _ = s.search(class)
	s.queues = slices.Insert(s.queues, i, &queue{class: class})
	return i
}

func (s *schedule) search(class Class) (int, bool) {
	return slices.BinarySearchFunc(s.queues, class, func(q *queue, c Class) int { return q.class.compare(c) })
}

// dropIdle removes the queue without waiting calls of which the fewest calls arrived lately, and reports whether there was
// one.
func (s *schedule) dropIdle(now time.Time) bool {
	idle := -1
	for i, q := range s.queues {
		if q.length == 0 && (idle < 0 || q.arrived.count(now) < s.queues[idle].arrived.count(now)) {
			idle = i
		}
	}
	if idle < 0 {
		return false
	}
	s.queues = slices.Delete(s.queues, idle, idle+1)
	return true
}

// nearest returns the index of the queue of the same kind whose rank is nearest, or of a neighbour if there is none.
func (s *schedule) nearest(class Class) int {
	i, _ := s.search(class)
	i = min(i, len(s.queues)-1)
	if q := s.queues[i].class; i > 0 && (q.Nested != class.Nested || q.Late != class.Late) {
		return i - 1
	}
	return i
}

// arrive records that a call of the class at index i requests a slot, whether or not it is then queued.
func (s *schedule) arrive(i int, now time.Time) {
	q := s.queues[i]
	if q.class.hasFloor() {
		q.floorDebt = min(q.floorDebt+s.floor(i, s.commonShare(now)), maxDebt)
		q.orderDebt = min(q.orderDebt+s.orderShare(i, now), maxDebt)
	}
	q.arrived.add(now)
}

// grant records that a call of a queue gets a slot.
func (q *queue) grant(now time.Time) {
	q.served.add(now)
	q.floorDebt = max(q.floorDebt-1, minDebt)
	q.orderDebt = max(q.orderDebt-1, minDebt)
}

// push queues a call. The caller must have called arrive for its class.
func (s *schedule) push(w *waiter) {
	q := w.queue
	if q.length == 0 {
		q.head = w
	} else {
		w.prev = q.tail
		q.tail.next = w
	}
	q.tail = w
	q.length++
	s.length++
	w.queued = true
}

// remove removes a call from its queue without serving it.
func (s *schedule) remove(w *waiter) {
	q := w.queue
	if w.prev == nil {
		q.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next, w.queued = nil, nil, false
	q.length--
	s.length--
}

// first returns the call to serve next, or nil.
func (s *schedule) first() *waiter {
	var byRank, byOrder *queue
	for _, q := range s.queues {
		switch {
		case q.length == 0:
		case q.class.Nested && !q.class.Late, owed(q.floorDebt) > 0:
			return q.head
		case byOrder == nil && owed(q.orderDebt) > 0:
			byOrder = q
		case byRank == nil:
			byRank = q
		}
	}
	switch {
	case byOrder != nil:
		return byOrder.head
	case byRank != nil:
		return byRank.head
	}
	return nil
}

// serve removes the call that first returned.
func (s *schedule) serve(w *waiter, now time.Time) {
	w.queue.grant(now)
	s.remove(w)
}

// nestedFull reports whether a queue of nested calls has reached the length.
func (s *schedule) nestedFull(length int) bool {
	return slices.ContainsFunc(s.queues, func(q *queue) bool { return q.class.Nested && !q.class.Late && q.length >= length })
}

// isOwed reports whether a new call of the class at index i would be served out of order.
func (s *schedule) isOwed(i int) bool {
	q := s.queues[i]
	return q.class.hasFloor() && q.owed() > q.length
}

// wait is the estimated wait of a new call.
type wait struct {
	ahead int     // calls that are served first, including those of its own class and itself
	own   int     // calls of its own class among them, including itself
	busy  float64 // calls per second that are served of more urgent classes, and of others up to their floors
}

// estimate returns what a new call of the class at index i waits for.
func (s *schedule) estimate(i int, now time.Time) wait {
	q := s.queues[i]
	owed, common := s.isOwed(i), s.commonShare(now)
	w := wait{own: q.length + 1, ahead: q.length + 1}
	for j, other := range s.queues {
		switch {
		case j == i:
		case other.class.Nested && !other.class.Late && j < i:
			w.ahead += other.length
		case owed && j < i, !owed && j > i:
			if other.class.hasFloor() {
				w.ahead += min(other.length, other.owed())
			}
		case j < i:
			w.ahead += other.length
		}
		switch {
		case owed || q.class.Late || j == i:
		case j < i:
			w.busy += other.served.perSecond(now)
		case !q.class.Nested:
			w.busy += min(other.served.perSecond(now), s.floor(j, common)*other.arrived.perSecond(now))
		}
	}
	return w
}
