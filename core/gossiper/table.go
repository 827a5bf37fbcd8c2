package gossiper

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/wire"
)

// entry is one member with local bookkeeping.
type entry struct {
	wire.Member
	stateSince  time.Time // when the member entered its state
	knownSince  time.Time // when this member first heard of it, in any incarnation
	renewed     time.Time // when its incarnation last grew
	lastPing    time.Time // last ping sent while the member is suspect
	encodedSize int
	nameHash    uint64 // determines the bucket in exchanges
	checksum    uint32 // checksum of the fields that exchanges compare
}

func (e *entry) set(m wire.Member, now time.Time) {
	if e.State != m.State {
		e.stateSince = now
	}
	e.Member = m
	e.updateDerived()
}

// updateDerived recomputes the values derived from the member.
func (e *entry) updateDerived() {
	e.encodedSize = entrySize(e.Member)
	e.nameHash = xxhash.Sum64String(e.Name)
	e.checksum = entryChecksum(e.Member)
}

// reachable reports whether the member is alive or suspect, so that messages are sent to it.
func (e *entry) reachable() bool {
	return e.State == wire.Alive || e.State == wire.Suspect
}

// table holds the entries, indexed by name and sorted by name.
type table struct {
	byName map[string]*entry
	list   []*entry
}

func newTable() *table {
	return &table{byName: map[string]*entry{}}
}

func (t *table) put(e *entry) {
	e.updateDerived()
	t.byName[e.Name] = e
	i, _ := slices.BinarySearchFunc(t.list, e.Name, func(other *entry, name string) int { return strings.Compare(other.Name, name) })
	t.list = slices.Insert(t.list, i, e)
}

// remove deletes the entries for which drop returns true and reports whether there were any.
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
