package gossiper

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

const (
	minBuckets       = 16
	maxBuckets       = 256
	entriesPerBucket = 4 // lower values need more checksums, higher ones send more entries for each difference
)

// entryChecksum returns the checksum of the fields on which two tables must agree. It excludes the incarnation, since a
// refutation changes only that, and suspicion, which ends within seconds.
func entryChecksum(m wire.Member) uint32 {
	m.Incarnation = 0
	switch m.State {
	case wire.Suspect:
		m.State = wire.Alive
	case wire.Dead, wire.Left:
		m = wire.Member{Name: m.Name, State: m.State, Gone: m.Gone}
	}
	data, err := encoder.Marshal(m)
	if err != nil {
		return 0
	}
	checksum := uint32(xxhash.Sum64(data))
	if m.Gone.IsZero() {
		return checksum
	}
	gone, err := encoder.Marshal(m.Gone) // the encoding of a member does not include it
	if err != nil {
		return 0
	}
	return checksum ^ uint32(xxhash.Sum64(gone))
}

// bucketCount returns the number of buckets, a power of two, for n entries.
func bucketCount(n int) int {
	return max(minBuckets, min(maxBuckets, 1<<bits.Len(uint(n/entriesPerBucket))))
}

// bucketChecksums returns the XOR of the entry checksums in each bucket.
func bucketChecksums(t *table, buckets int) []uint32 {
	checksums := make([]uint32, buckets)
	for _, e := range t.list {
		checksums[e.nameHash%uint64(buckets)] ^= e.checksum
	}
	return checksums
}

// differingEntries returns the entries in buckets whose checksums differ from remote, and the local checksums if any differ.
// If remote has an invalid length, it returns all entries.
func differingEntries(t *table, remote []uint32) ([]wire.Member, []uint32) {
	if len(remote) == 0 || len(remote) > maxBuckets {
		return t.members(), nil
	}
	local := bucketChecksums(t, len(remote))
	if slices.Equal(local, remote) {
		return nil, nil
	}
	var members []wire.Member
	for _, e := range t.list {
		if b := e.nameHash % uint64(len(local)); local[b] != remote[b] {
			members = append(members, e.Member)
		}
	}
	return members, local
}

// entriesMissingAtPeer returns the local entries that are newer than the peer's entries or missing from them, given the
// peer's reply to the checksums sent.
func entriesMissingAtPeer(t *table, sent []uint32, reply wire.Gossip) []wire.Member {
	if len(reply.Sums) != len(sent) {
		return nil
	}
	known := make(map[string]wire.Member, len(reply.Members))
	for _, m := range reply.Members {
		known[m.Name] = m
	}
	var members []wire.Member
	for _, e := range t.list {
		if b := e.nameHash % uint64(len(sent)); sent[b] == reply.Sums[b] {
			continue
		}
		m, ok := known[e.Name]
		newer := e.Incarnation > m.Incarnation || e.Gone.After(m.Gone) ||
			e.Incarnation == m.Incarnation && statePrecedence[e.State] > statePrecedence[m.State]
		if ok && newer || !ok && e.reachable() {
			members = append(members, e.Member)
		}
	}
	return members
}
