package wire

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
)

// FinalSeq is the sequence number of a departure that makes all reports of the process out of date.
const FinalSeq = math.MaxUint64

// HashUpstream returns the hash that stands for the id of an upstream in a Departure, or 0 if id is empty.
func HashUpstream(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(xxhash.Sum64String(id), 1)
}

// IsZero reports whether no upstream has left.
func (d Departure) IsZero() bool {
	return d == Departure{}
}

// After reports whether d replaces other. Departures are totally ordered, so that all members keep the same one.
func (d Departure) After(other Departure) bool {
	return cmp.Or(cmp.Compare(d.Start, other.Start), cmp.Compare(d.Seq, other.Seq), cmp.Compare(d.Upstream, other.Upstream)) > 0
}

// Covers reports whether the departure makes a report out of date. A start or sequence number of 0 is unknown. A report of
// another upstream is out of date if its process started earlier, since a VM runs one upstream at a time.
func (d Departure) Covers(id string, start int64, seq uint64) bool {
	if d.IsZero() {
		return false
	}
	if start != 0 && d.Start != 0 && start != d.Start {
		return start < d.Start
	}
	if hash := HashUpstream(id); hash != 0 && d.Upstream != 0 && hash != d.Upstream {
		return false
	}
	return d.Seq == FinalSeq || seq != 0 && seq <= d.Seq
}
