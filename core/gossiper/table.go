package gossiper

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/wire"
)

// entry is one member and when it entered its state.
type entry struct {
	wire.Member
	at     time.Time
	pinged time.Time // last ping while suspect
	size   int
	bucket uint64 // hash of the name
	sum    uint32 // checksum of what exchanges compare
}

func (e *entry) set(m wire.Member, now time.Time) {
	if e.State != m.State {
		e.at = now
	}
	e.Member = m
	e.measure()
}

// measure computes the derived values after a change.
func (e *entry) measure() {
	e.size = size(e.Member)
	e.bucket = xxhash.Sum64String(e.Name)
	e.sum = checksum(e.Member)
}

// reachable reports whether the member takes part in probes and pushes.
func (e *entry) reachable() bool {
	return e.State == wire.Alive || e.State == wire.Suspect
}

// table holds the entries by name and in order of name.
type table struct {
	byName map[string]*entry
	list   []*entry
}

func newTable() *table {
	return &table{byName: map[string]*entry{}}
}

func (t *table) put(e *entry) {
	e.measure()
	t.byName[e.Name] = e
	i, _ := slices.BinarySearchFunc(t.list, e.Name, func(o *entry, name string) int { return strings.Compare(o.Name, name) })
	t.list = slices.Insert(t.list, i, e)
}

// remove drops the entries for which drop holds and reports whether there were any.
func (t *table) remove(drop func(*entry) bool) bool {
	before := len(t.list)
	t.list = slices.DeleteFunc(t.list, func(e *entry) bool {
		if !drop(e) {
			return false
		}
		delete(t.byName, e.Name)
		return true
	})
	return len(t.list) != before
}

func (t *table) members() []wire.Member {
	members := make([]wire.Member, len(t.list))
	for i, e := range t.list {
		members[i] = e.Member
	}
	return members
}
