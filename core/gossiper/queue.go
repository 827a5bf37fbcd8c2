package gossiper

import (
	"cmp"
	"math"
	"slices"

	"bluebellhoist/core/wire"
)

// backlogThreshold is the queue length above which each update is sent fewer times. After a partition or the loss of a
// failure domain hundreds of entries change at once, and exchanges carry the rest in fewer bytes.
const backlogThreshold = 64

// backlogSendLimit is the maximum number of times that an update is sent while the queue is backlogged.
const backlogSendLimit = 4

// updateQueue holds the names of members whose entries are to be pushed, and how often each was sent.
type updateQueue struct {
	updates []queuedUpdate
}

type queuedUpdate struct {
	name string
	sent int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{}
}

// add queues the entry of name and resets its send count.
func (q *updateQueue) add(name string) {
	q.remove(name)
	q.updates = append(q.updates, queuedUpdate{name: name})
}

func (q *updateQueue) remove(name string) {
	q.updates = slices.DeleteFunc(q.updates, func(u queuedUpdate) bool { return u.name == name })
}

func (q *updateQueue) clear() {
	q.updates = nil
}

func (q *updateQueue) has(name string) bool {
	return slices.ContainsFunc(q.updates, func(u queuedUpdate) bool { return u.name == name })
}

// sendLimit returns how often this member sends each update, given n members.
func (q *updateQueue) sendLimit(n int) int {
	if q.backlogged() {
		return min(sendLimit(n), backlogSendLimit)
	}
	return sendLimit(n)
}

// backlogged reports whether the queue is so long that exchanges spread entries in fewer bytes than pushes.
func (q *updateQueue) backlogged() bool {
	return len(q.updates) > backlogThreshold
}

// recordExchange counts each queued update as sent once more after an exchange. Suspicions are not counted, since
// exchanges do not compare them.
func (q *updateQueue) recordExchange(t *table) {
	limit := q.sendLimit(len(t.list))
	kept := q.updates[:0]
	for _, u := range q.updates {
		if e, ok := t.byName[u.name]; ok && e.State != wire.Suspect {
			u.sent++
		}
		if u.sent < limit {
			kept = append(kept, u)
		}
	}
	q.updates = kept
}

// take returns the entries in first and then the entries sent least often, as far as they fit into room bytes, and counts
// them as sent.
func (q *updateQueue) take(t *table, room int, first ...*entry) []wire.Member {
	limit := q.sendLimit(len(t.list))
	slices.SortStableFunc(q.updates, func(a, b queuedUpdate) int { return cmp.Compare(a.sent, b.sent) })
	taken := takeFitting(&room, first)
	kept := q.updates[:0]
	for _, u := range q.updates {
		e, ok := t.byName[u.name]
		if !ok {
			continue
		}
		switch {
		case slices.Contains(first, e):
			u.sent++
		case e.encodedSize <= room:
			room -= e.encodedSize
			taken = append(taken, e.Member)
			u.sent++
		}
		if u.sent < limit {
			kept = append(kept, u)
		}
	}
	q.updates = kept
	return taken
}

// takeFitting returns the entries that fit into room bytes and subtracts their sizes from room.
func takeFitting(room *int, entries []*entry) []wire.Member {
	var taken []wire.Member
	for _, e := range entries {
		if e.encodedSize <= *room {
			*room -= e.encodedSize
			taken = append(taken, e.Member)
		}
	}
	return taken
}

// sendLimit returns how often each of n members sends an update. In epidemic broadcast, n*e^(-s) members miss an update of
// which s copies per member arrive; with this limit that is 0.01 members at 20% datagram loss.
func sendLimit(n int) int {
	return int(math.Ceil(math.Log(100*float64(n)) / 0.8))
}
