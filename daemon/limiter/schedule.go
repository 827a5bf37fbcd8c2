package limiter

import "time"

// classes lists the priority classes, highest first. Scheduling is self-clocked fair queueing: the class whose next
// call has the lowest virtual finish time is served first, and each call advances the virtual time of its class by the
// stride. Of two classes with waiting calls, one with a quarter of the stride gets four times the slots.
var classes = [...]struct {
	name   string
	stride uint64
}{
	{"urgent", 1},
	{"normal", 4},
	{"bulk", 16},
	{"late", 1 << 12}, // gets only slots that no other class waits for
}

// classIndexOf returns the index of a class in classes. Unknown names count as normal.
func classIndexOf(class string) int {
	switch class {
	case "urgent":
		return 0
	case "bulk":
		return 2
	case "late":
		return 3
	}
	return 1
}

// waiter is a queued call.
type waiter struct {
	classIndex  int
	latestStart time.Time // zero if none
	ready       chan struct{}
	seq         uint64 // set when granted
	err         error  // set when refused
	queued      bool
	prev, next  *waiter
}

// queue holds the waiting calls of one class in order of arrival.
type queue struct {
	head, tail *waiter
	length     int
	start      uint64 // virtual start time of the first waiting call
	lastFinish uint64 // virtual finish time of the last served call
	startSet   bool   // start was set for a call that has not been served yet
}

// schedule holds the queues of all classes.
type schedule struct {
	queues      [len(classes)]queue
	length      int
	virtualTime uint64
}

// arrive records that a call of a class requests a slot, whether or not it is then queued. A class without waiting calls
// starts at the current virtual time. If its last callers were refused or gave up, it keeps a credit of up to one call;
// otherwise a class whose callers give up before its next turn would starve.
func (s *schedule) arrive(classIndex int) {
	q := &s.queues[classIndex]
	if q.length > 0 {
		return
	}
	if q.startSet {
		q.start = max(q.start, s.virtualTime-min(s.virtualTime, classes[classIndex].stride))
		return
	}
	q.start = max(q.lastFinish, s.virtualTime)
	q.startSet = true
}

// push queues a call. The caller must have called arrive for its class.
func (s *schedule) push(w *waiter) {
	q := &s.queues[w.classIndex]
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

// remove removes a call from its queue without serving it. The virtual start time of its class does not change, so that
// callers that give up do not delay those behind them.
func (s *schedule) remove(w *waiter) {
	q := &s.queues[w.classIndex]
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
	var best *waiter
	var lowest uint64
	for i := range s.queues {
		q := &s.queues[i]
		if q.length == 0 {
			continue
		}
		if finish := q.start + classes[i].stride; best == nil || finish < lowest {
			best, lowest = q.head, finish
		}
	}
	return best
}

// serve removes the call that first returned and advances the virtual time.
func (s *schedule) serve(w *waiter) {
	q := &s.queues[w.classIndex]
	q.lastFinish = q.start + classes[w.classIndex].stride
	q.start = q.lastFinish
	s.virtualTime = q.lastFinish
	s.remove(w)
	q.startSet = q.length > 0
}

// position returns how many calls would be served up to and including a new one of the given class if no others arrived.
// The caller must have called arrive for the class.
func (s *schedule) position(classIndex int) int {
	own := &s.queues[classIndex]
	total := own.length + 1
	finish := own.start + uint64(total)*classes[classIndex].stride
	for i := range s.queues {
		q := &s.queues[i]
		if i == classIndex || q.length == 0 || q.start >= finish {
			continue
		}
		span := finish - q.start
		if i > classIndex {
			span-- // at equal finish times the class with the higher priority is served first
		}
		total += min(q.length, int(span/classes[i].stride))
	}
	return total
}
