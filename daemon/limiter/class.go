package limiter

import (
	"cmp"
	"strconv"
)

// Class determines the place of a call among those that wait for a slot.
type Class struct {
	Rank   int  // 0 or any other number; lower is more urgent
	Nested bool // a running call makes it: its parent holds a slot elsewhere
	Late   bool // it gets only slots that no other call waits for
}

// Ranks of the classes with a name.
const (
	UrgentRank = 0
	NormalRank = 2
	BulkRank   = 3
)

// NamedClass returns the class of a name: urgent, normal or bulk. Unknown names count as normal.
func NamedClass(name string) Class {
	switch name {
	case "urgent":
		return Class{Rank: UrgentRank}
	case "bulk":
		return Class{Rank: BulkRank}
	}
	return Class{Rank: NormalRank}
}

// Name returns the name of the class to which builds without ranks assign a rank.
func (c Class) Name() string {
	switch {
	case c.Rank < NormalRank:
		return "urgent"
	case c.Rank == NormalRank:
		return "normal"
	}
	return "bulk"
}

// String returns a text for logs and errors.
func (c Class) String() string {
	text := "rank " + strconv.Itoa(c.Rank)
	if c.Nested {
		text += ", nested"
	}
	if c.Late {
		text += ", late"
	}
	return text
}

// compare orders classes: calls of running calls first, late calls last, and by rank among equals.
func (c Class) compare(other Class) int {
	return cmp.Or(compareBool(c.Late, other.Late), -compareBool(c.Nested, other.Nested), cmp.Compare(c.Rank, other.Rank))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// hasFloor reports whether the class is guaranteed a share of its calls. Nested calls go first in any case.
func (c Class) hasFloor() bool {
	return !c.Nested && !c.Late
}
