// Package allocator allots the tokens of tenants to daemons. Each voter of the replicated log has an equal share of every
// tenant's limit, in one token bucket for each tenant.
//
// The decisions take the time as a parameter and use neither network nor goroutines. Times are of a clock that does not stop
// while the VM is suspended.
package allocator

import (
	"sync"
	"time"

	"bluebellhoist/core/apportioner"
	"bluebellhoist/core/carrier"
	"bluebellhoist/core/wire"
)

// Allocator holds the buckets of one controller. Its methods may be called concurrently.
type Allocator struct {
	bound apportioner.Bound
	count func(batch, tenant string, asked, allotted int)

	mu      sync.Mutex
	lease   lease
	portion portion // what the buckets are sized for
	batches map[string]*batch
}

// batch holds the buckets of one batch.
type batch struct {
	version uint64 // version up to which the limits are known
	buckets map[string]*bucket
}

// Option configures an Allocator.
type Option func(*Allocator)

// WithCount sets the function that counts the tokens of a tenant that were asked for and allotted.
func WithCount(count func(batch, tenant string, asked, allotted int)) Option {
	return func(a *Allocator) { a.count = count }
}

// New returns an allocator of a process that starts at the given time, for limits with the given bound.
func New(now time.Duration, bound apportioner.Bound, opts ...Option) *Allocator {
	a := &Allocator{bound: bound, lease: newLease(now), batches: map[string]*batch{}, count: func(string, string, int, int) {}}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// ApplyMembership records that the next membership of the replicated log is in effect.
func (a *Allocator) ApplyMembership(now time.Duration, voters int, voting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	a.lease.apply(now, voters, voting)
	a.settle(now)
}

// SkipMemberships records that the log continues from a checkpoint, so that memberships may have been skipped.
func (a *Allocator) SkipMemberships(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	a.lease.skip(now)
	a.settle(now)
}

// RenewLease extends the lease by a barrier of the replicated log that began at start and has completed.
func (a *Allocator) RenewLease(start, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	a.lease.renew(start, now)
}

// settle refills and resizes all buckets if the portion of this controller has changed.
func (a *Allocator) settle(now time.Duration) {
	current := a.lease.current(now)
	if current == a.portion {
		return
	}
	// A share that grew did so at some time before now, and one that shrinks does so now.
	leased := a.lease.leased(now)
	for _, b := range a.batches {
		for _, bucket := range b.buckets {
			bucket.advance(leased)
			bucket.resize(a.bound, current)
		}
	}
	a.portion = current
}

// Allot allots up to count tokens of a tenant for calls that wait, and up to extra tokens for expected calls. If it allots fewer
// than count, wait is the time until there is room. ok is false if the limit is not known or this controller must not allot.
func (a *Allocator) Allot(now time.Duration, batch, tenant string, count, extra int) (granted int, wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ready(now) {
		return 0, 0, false
	}
	return a.allot(now, batch, wire.QuotaItem{Tenant: tenant, Count: count, Extra: extra})
}

// ready reports whether this controller may allot tokens.
func (a *Allocator) ready(now time.Duration) bool {
	a.settle(now)
	return a.lease.valid(now) && a.portion.share > 0
}

func (a *Allocator) allot(now time.Duration, batch string, item wire.QuotaItem) (granted int, wait time.Duration, ok bool) {
	known := a.batches[batch]
	if known == nil {
		return 0, 0, false
	}
	b := known.buckets[item.Tenant]
	if b == nil || b.limit.Mod < item.Mod {
		return 0, 0, false
	}
	b.advance(a.lease.leased(now))
	granted, wait = b.allot(item.Count, item.Extra)
	a.count(batch, item.Tenant, item.Count, granted)
	return granted, wait, true
}

// Answer returns the answer to an ask. An item without tokens and without a wait means that this controller does not know the
// limit, or knows only an older one.
func (a *Allocator) Answer(now time.Duration, ask wire.Quota) wire.Quota {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ready(now) {
		return wire.Quota{Kind: carrier.Decline, Seq: ask.Seq}
	}
	answer := wire.Quota{Kind: carrier.Allot, Seq: ask.Seq, Voters: a.portion.voters, Items: make([]wire.QuotaItem, 0, len(ask.Items))}
	for _, item := range ask.Items {
		granted, wait, _ := a.allot(now, ask.Batch, item)
		answer.Items = append(answer.Items, wire.QuotaItem{Tenant: item.Tenant, Count: granted, Wait: wait})
	}
	return answer
}

// Content returns the tokens that this controller holds for a tenant, or false if it knows no limit.
func (a *Allocator) Content(now time.Duration, batch, tenant string) (float64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	known := a.batches[batch]
	if known == nil || known.buckets[tenant] == nil {
		return 0, false
	}
	b := known.buckets[tenant]
	b.advance(a.lease.leased(now))
	return b.content, true
}
