package gossiper

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

const (
	minBuckets = 16
	maxBuckets = 256
	perBucket  = 4 // entries per bucket: fewer make the checksums longer, more make each difference dearer
)

// checksum covers what two tables must agree on. The incarnation is left out, since a refutation changes it alone, and
// so is suspicion, which passes within seconds.
func checksum(m wire.Member) uint32 {
	m.Inc = 0
	switch m.State {
	case wire.Suspect:
		m.State = wire.Alive
	case wire.Dead, wire.Left:
		m = wire.Member{Name: m.Name, State: m.State}
	}
	data, err := encoder.Marshal(m)
	if err != nil {
		return 0
	}
	return uint32(xxhash.Sum64(data))
}

// bucketCount returns the number of buckets for n entries, a power of two.
func bucketCount(n int) int {
	return max(minBuckets, min(maxBuckets, 1<<bits.Len(uint(n/perBucket))))
}

// sums returns the combined checksum of the entries in each bucket.
func sums(t *table, buckets int) []uint32 {
	s := make([]uint32, buckets)
	for _, e := range t.list {
		s[e.bucket%uint64(buckets)] ^= e.sum
	}
	return s
}

// differing returns the entries in buckets whose checksum is not the given one, and the own checksums if there are any.
func differing(t *table, theirs []uint32) ([]wire.Member, []uint32) {
	if len(theirs) == 0 || len(theirs) > maxBuckets {
		return t.members(), nil
	}
	own := sums(t, len(theirs))
	if slices.Equal(own, theirs) {
		return nil, nil
	}
	var members []wire.Member
	for _, e := range t.list {
		if b := e.bucket % uint64(len(own)); own[b] != theirs[b] {
			members = append(members, e.Member)
		}
	}
	return members, own
}

// lacked returns the entries that win over the other side's answer to the checksums sent.
func lacked(t *table, sent []uint32, answer wire.Gossip) []wire.Member {
	if len(answer.Sums) != len(sent) {
		return nil
	}
	known := make(map[string]wire.Member, len(answer.Members))
	for _, m := range answer.Members {
		known[m.Name] = m
	}
	var members []wire.Member
	for _, e := range t.list {
		if b := e.bucket % uint64(len(sent)); sent[b] == answer.Sums[b] {
			continue
		}
		m, ok := known[e.Name]
		wins := e.Inc > m.Inc || e.Inc == m.Inc && rank[e.State] > rank[m.State]
		if ok && wins || !ok && e.reachable() {
			members = append(members, e.Member)
		}
	}
	return members
}
