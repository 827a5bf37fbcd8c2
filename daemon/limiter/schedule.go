package limiter

import "time"

// classes are in order of priority. The class with the lowest next finish time in units of strides is served first, which is
// self-clocked fair queueing: of two classes with waiting calls, one with a quarter of the stride gets four times the slots.
var classes = [...]struct {
	name   string
	stride uint64
}{
	{"urgent", 1},
	{"normal", 4},
	{"bulk", 16},
	{"late", 1 << 12}, // gets slots that no other class waits for
}

// rank returns the position of a class; unknown names are normal.
func rank(class string) int {
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
	rank       int
	deadline   time.Time // zero if none
	ready      chan struct{}
	seq        uint64 // set when granted
	err        error  // set when refused
	queued     bool
	prev, next *waiter
}

// queue holds the waiting calls of one class in order of arrival.
type queue struct {
	head, tail *waiter
	length     int
	begin      uint64 // virtual time from which the first call is scheduled
	finish     uint64 // virtual finish time of the last call served
	unserved   bool   // calls arrived since then
}

// schedule holds the queues of all classes.
type schedule struct {
	queues [len(classes)]queue
	length int
	clock  uint64 // virtual time
}

// arrive notes that a call of a class wants service, whether or not it is then queued. A class without waiting calls
// begins at the present virtual time. If its last callers were refused or gave up, it keeps up to one call of the service
// that it missed. Otherwise a class whose callers wait less than its turn takes would starve.
func (s *schedule) arrive(rank int) {
	q := &s.queues[rank]
	if q.length > 0 {
		return
	}
	if q.unserved {
		q.begin = max(q.begin, s.clock-min(s.clock, classes[rank].stride))
		return
	}
	q.begin = max(q.finish, s.clock)
	q.unserved = true
}

// push queues a call whose class has arrived.
func (s *schedule) push(w *waiter) {
	q := &s.queues[w.rank]
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

// remove takes a call out without service. The virtual time of its class stays, so that callers that give up do not
// delay those behind them.
func (s *schedule) remove(w *waiter) {
	q := &s.queues[w.rank]
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
		if finish := q.begin + classes[i].stride; best == nil || finish < lowest {
			best, lowest = q.head, finish
		}
	}
	return best
}

// serve takes out the call that first returned and advances the virtual time.
func (s *schedule) serve(w *waiter) {
	q := &s.queues[w.rank]
	q.finish = q.begin + classes[w.rank].stride
	q.begin = q.finish
	s.clock = q.finish
	s.remove(w)
	q.unserved = q.length > 0
}

// ahead returns how many calls are served up to and including a new one of the given class, if no others arrive. The
// class must have arrived.
func (s *schedule) ahead(rank int) int {
	own := &s.queues[rank]
	total := own.length + 1
	finish := own.begin + uint64(total)*classes[rank].stride
	for i := range s.queues {
		q := &s.queues[i]
		if i == rank || q.length == 0 || q.begin >= finish {
			continue
		}
		span := finish - q.begin
		if i > rank {
			span-- // The higher class is served first at equal times.
		}
		total += min(q.length, int(span/classes[i].stride))
	}
	return total
}
