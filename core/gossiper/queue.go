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

func (q *queue) has(name string) bool {
	return slices.ContainsFunc(q.items, func(it item) bool { return it.name == name })
}

// take returns first and the entries sent least often that fit into room bytes, and counts them as sent.
func (q *queue) take(t *table, room int, limit int, first ...*entry) []wire.Member {
	if len(q.items) > crowded {
		limit = min(limit, crowdedLimit)
	}
	slices.SortStableFunc(q.items, func(a, b item) int { return cmp.Compare(a.sent, b.sent) })
	var taken []wire.Member
	for _, e := range first {
		if e.size <= room {
			room -= e.size
			taken = append(taken, e.Member)
		}
	}
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

// sendLimit returns how often each of n members sends an update. In an epidemic n*e^(-s) members miss an update of
// which s copies per member arrive; here that is 0.01 members at a loss of 20 %.
func sendLimit(n int) int {
	return int(math.Ceil(math.Log(100*float64(n)) / 0.8))
}
