package allocator

import (
	"iter"
	"time"
)

// SetLimits replaces the limits of a batch by those of the given version. A tenant without a rate has no limit. Tenants that did
// not change after the last version keep their buckets; the content of the others is capped by the new limit. A new tenant
// starts with an empty bucket.
func (a *Allocator) SetLimits(now time.Duration, name string, version uint64, limits iter.Seq2[string, Limit]) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.batches[name]
	if known == nil {
		known = &batch{buckets: map[string]*bucket{}}
		a.batches[name] = known
	}
	if version <= known.version {
		return
	}
	a.settle(now)
	leased := a.lease.leased(now)
	limited := 0
	for tenant, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		limited++
		if limit.Mod <= known.version && known.buckets[tenant] != nil {
			continue
		}
		known.set(tenant, limit, leased).resize(a.bound, a.portion)
	}
	known.version = version
	if limited < len(known.buckets) {
		known.retain(limits)
	}
}

// set sets the limit of one tenant and returns its bucket, which is refilled by the old limit until now.
func (b *batch) set(tenant string, limit Limit, leased time.Duration) *bucket {
	known := b.buckets[tenant]
	if known == nil {
		known = &bucket{at: leased}
		b.buckets[tenant] = known
	}
	known.advance(leased)
	known.limit = limit
	return known
}

// retain removes the buckets of all tenants that have no limit any more.
func (b *batch) retain(limits iter.Seq2[string, Limit]) {
	limited := map[string]bool{}
	for tenant, limit := range limits {
		limited[tenant] = limit.Rate > 0
	}
	for tenant := range b.buckets {
		if !limited[tenant] {
			delete(b.buckets, tenant)
		}
	}
}

// RemoveBatch removes the buckets of a batch.
func (a *Allocator) RemoveBatch(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.batches, name)
}

// LimitCount returns the number of tenants with a limit.
func (a *Allocator) LimitCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	limits := 0
	for _, b := range a.batches {
		limits += len(b.buckets)
	}
	return limits
}
