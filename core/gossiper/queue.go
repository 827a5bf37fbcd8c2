package gossiper

import (
	"cmp"
	"math"
	"slices"

	"bluebellhoist/core/wire"
)

// crowded is the queue length above which updates are sent fewer times: after a partition or the loss of a failure
// domain hundreds of entries change at once, and exchanges carry the rest in fewer bytes.
const crowded = 64

const crowdedLimit = 4

// queue holds the names of members whose entries are to be spread and how often each was sent.
type queue struct {
	items []item
}

type item struct {
	name string
	sent int
}

func newQueue() *queue {
	return &queue{}
}

// add starts spreading the entry of name anew.
func (q *queue) add(name string) {
	q.drop(name)
	q.items = append(q.items, item{name: name})
}

func (q *queue) drop(name string) {
	q.items = slices.DeleteFunc(q.items, func(it item) bool { return it.name == name })
}

func (q *queue) clear() {
	q.items = nil
}

func (q *queue) has(name string) bool {
	return slices.ContainsFunc(q.items, func(it item) bool { return it.name == name })
}

// limit returns how often each entry is sent to spread among n members.
func (q *queue) limit(n int) int {
	if q.crowded() {
		return min(sendLimit(n), crowdedLimit)
	}
	return sendLimit(n)
}

// crowded reports whether exchanges spread the entries better than pushes.
func (q *queue) crowded() bool {
	return len(q.items) > crowded
}

// told counts entries as sent once more after an exchange, but for suspicions, which exchanges don't tell.
func (q *queue) told(t *table) {
	limit := q.limit(len(t.list))
	kept := q.items[:0]
	for _, it := range q.items {
		if e, ok := t.byName[it.name]; ok && e.State != wire.Suspect {
			it.sent++
		}
		if it.sent < limit {
			kept = append(kept, it)
		}
	}
	q.items = kept
}

// take returns first and the entries sent least often that fit into room bytes, and counts them as sent.
func (q *queue) take(t *table, room int, first ...*entry) []wire.Member {
	limit := q.limit(len(t.list))
	slices.SortStableFunc(q.items, func(a, b item) int { return cmp.Compare(a.sent, b.sent) })
	taken := fit(&room, first)
	kept := q.items[:0]
	for _, it := range q.items {
		e, ok := t.byName[it.name]
		if !ok {
			continue
		}
		switch {
		case slices.Contains(first, e):
			it.sent++
		case e.size <= room:
			room -= e.size
			taken = append(taken, e.Member)
			it.sent++
		}
		if it.sent < limit {
			kept = append(kept, it)
		}
	}
	q.items = kept
	return taken
}

// fit returns the entries that fit into room bytes, which it takes from room.
func fit(room *int, entries []*entry) []wire.Member {
	var taken []wire.Member
	for _, e := range entries {
		if e.size <= *room {
			*room -= e.size
			taken = append(taken, e.Member)
		}
	}
	return taken
}

// sendLimit returns how often each of n members sends an update. In an epidemic n*e^(-s) members miss an update of
// which s copies per member arrive; here that is 0.01 members at a loss of 20 %.
func sendLimit(n int) int {
	return int(math.Ceil(math.Log(100*float64(n)) / 0.8))
}
