package allocator

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/apportioner"
	"bluebellhoist/core/carrier"
	"bluebellhoist/core/wire"
)

// limitsOf returns limits with the given rate, burst and mod.
func limitsOf(rate, burst float64, mod uint64) map[string]Limit {
	return map[string]Limit{"t": {Rate: rate, Burst: burst, Mod: mod}}
}

// newAllocator returns an allocator of one of n voters that began a lease ago, holds a lease until a lease after now, and knows
// the limit of the tenant t.
func newAllocator(voters int, limits map[string]Limit) (a *Allocator, now time.Duration) {
	a = New(0, apportioner.Bound{})
	a.ApplyMembership(0, voters, true)
	now = Lease + 1
	a.RenewLease(now, now)
	a.SetLimits(now, "b", 1, maps.All(limits))
	return a, now
}

func assertAllot(t *testing.T, a *Allocator, now time.Duration, count, extra, want int) (wait time.Duration) {
	t.Helper()
	is := is.New(t)
	granted, wait, ok := a.Allot(now, "b", "t", count, extra)
	is.True(ok)
	is.Equal(granted, want)
	is.Equal(wait > 0, granted < count)
	return wait
}

func assertSilent(t *testing.T, a *Allocator, now time.Duration) {
	t.Helper()
	granted, _, ok := a.Allot(now, "b", "t", 1, 0)
	is.New(t).True(!ok && granted == 0)
}

// TestBucket guards against a bucket that starts full, holds more than its share of the burst, or refills by more than its share
// of the rate.
func TestBucket(t *testing.T) {
	a, now := newAllocator(3, limitsOf(30, 60, 1))
	assertAllot(t, a, now, 1, 0, 0)
	assertAllot(t, a, now+time.Second, 15, 0, 10)
	assertAllot(t, a, now+Lease-time.Second/2, 100, 0, 15)
	now += time.Hour
	a.RenewLease(now, now)
	assertAllot(t, a, now, 100, 0, 5) // the rest of the lease, but nothing without one
	assertAllot(t, a, now+time.Second, 100, 0, 10)
	a.RenewLease(now+time.Second, now+time.Second)
	assertAllot(t, a, now+time.Second+Lease-1, 100, 0, 21)
}

// TestSmallBurst guards against a limit of which no controller ever has a whole token.
func TestSmallBurst(t *testing.T) {
	a, now := newAllocator(3, limitsOf(3, 1, 1))
	assertAllot(t, a, now+2*time.Second, 2, 0, 1)
}

// TestExtra guards against tokens for expected calls that leave none for waiting ones.
func TestExtra(t *testing.T) {
	a, now := newAllocator(1, limitsOf(10, 20, 1))
	assertAllot(t, a, now+2*time.Second, 2, 100, 9)
	assertAllot(t, a, now+2*time.Second, 2, 100, 2)
}

// TestWait guards against a wait that is outside the bounds, or shorter than the refill of the tokens that were refused before.
func TestWait(t *testing.T) {
	is := is.New(t)
	a, now := newAllocator(1, limitsOf(10, 10, 1))
	is.Equal(assertAllot(t, a, now, 1, 0, 0), 100*time.Millisecond)
	is.Equal(assertAllot(t, a, now, 2, 0, 0), 300*time.Millisecond)
	is.Equal(assertAllot(t, a, now, 1000, 0, 0), maxWait)
	b, now := newAllocator(1, limitsOf(1000, 1000, 1))
	is.Equal(assertAllot(t, b, now, 1, 0, 0), minWait)
}

// TestLimitChange guards against a bucket that keeps more than a lowered limit permits, against a raised limit that fills the
// bucket at once, and against a removed tenant that comes back with a full one.
func TestLimitChange(t *testing.T) {
	is := is.New(t)
	a, now := newAllocator(1, limitsOf(10, 20, 1))
	now += 2 * time.Second
	a.SetLimits(now, "b", 2, maps.All(limitsOf(10, 5, 2)))
	assertAllot(t, a, now, 20, 0, 6)
	a.RenewLease(now, now)
	a.SetLimits(now, "b", 3, maps.All(limitsOf(100, 200, 3)))
	assertAllot(t, a, now, 20, 0, 0)
	now += time.Second
	a.SetLimits(now, "b", 4, maps.All(map[string]Limit{}))
	is.Equal(a.LimitCount(), 0)
	assertSilent(t, a, now)
	a.SetLimits(now, "b", 5, maps.All(limitsOf(100, 200, 5)))
	assertAllot(t, a, now, 20, 0, 0)
	a.SetLimits(now+time.Second, "b", 4, maps.All(limitsOf(1, 1, 4))) // late
	assertAllot(t, a, now+time.Second, 1000, 0, 100)
}

// TestLease guards against a controller that allots without a valid lease, for example after it was frozen.
func TestLease(t *testing.T) {
	a, now := newAllocator(1, limitsOf(10, 10, 1))
	assertAllot(t, a, now+Lease-1, 1, 0, 1)
	assertSilent(t, a, now+Lease)
	a.RenewLease(now, now+2*Lease) // the barrier took too long
	assertSilent(t, a, now+2*Lease)
	a.RenewLease(now+2*Lease, now+2*Lease)
	assertAllot(t, a, now+2*Lease, 1, 0, 1)
}

// TestMemberships guards against shares that add up to more than 1 while controllers hold different memberships.
func TestMemberships(t *testing.T) {
	const second = time.Second
	renew := func(a *Allocator, now time.Duration) { a.RenewLease(now, now) }
	t.Run("a process starts without a share", func(t *testing.T) {
		a := New(0, apportioner.Bound{})
		a.SetLimits(0, "b", 1, maps.All(limitsOf(10, 10, 1)))
		a.ApplyMembership(second, 1, true)
		renew(a, second)
		assertSilent(t, a, 2*second)
		renew(a, 3*second)
		assertSilent(t, a, second+Lease)
		assertAllot(t, a, second+Lease+1, 1, 0, 0)
	})
	t.Run("a smaller share counts at once", func(t *testing.T) {
		a, now := newAllocator(2, limitsOf(10, 20, 1))
		a.ApplyMembership(now+second, 4, true)
		assertAllot(t, a, now+second, 10, 0, 5)
		renew(a, now+second)
		assertAllot(t, a, now+3*second, 10, 0, 5)
	})
	t.Run("a larger share counts a lease later", func(t *testing.T) {
		a, now := newAllocator(2, limitsOf(10, 20, 1))
		a.ApplyMembership(now, 1, true)
		renew(a, now+2*second)
		assertAllot(t, a, now+Lease, 20, 0, 11)
		renew(a, now+Lease)
		assertAllot(t, a, now+Lease+1, 10, 0, 0)
		assertAllot(t, a, now+Lease+second+1, 15, 0, 10)
	})
	t.Run("a removed voter loses its tokens", func(t *testing.T) {
		a, now := newAllocator(1, limitsOf(10, 20, 1))
		now += 2 * second
		renew(a, now)
		a.ApplyMembership(now, 1, false)
		a.ApplyMembership(now, 1, true)
		assertSilent(t, a, now+second)
		renew(a, now+Lease)
		assertAllot(t, a, now+Lease+1, 10, 0, 0)
	})
	t.Run("a checkpoint hides memberships", func(t *testing.T) {
		a, now := newAllocator(1, limitsOf(10, 20, 1))
		now += 2 * second
		a.SkipMemberships(now)
		a.ApplyMembership(now, 1, true)
		renew(a, now)
		assertSilent(t, a, now+second)
	})
}

// TestAnswer guards against answers that are taken for an allotment although the controller must not allot, and against
// allotments by an older limit than the daemon has.
func TestAnswer(t *testing.T) {
	is := is.New(t)
	a, now := newAllocator(3, limitsOf(30, 30, 1))
	now += time.Second
	ask := wire.Quota{Kind: carrier.Ask, Seq: 7, Batch: "b", Items: []wire.QuotaItem{
		{Tenant: "t", Mod: 1, Count: 4}, {Tenant: "t", Mod: 2, Count: 4}, {Tenant: "other", Count: 1}, {Tenant: "t", Mod: 1, Count: 9},
	}}
	answer := a.Answer(now, ask)
	is.Equal(answer.Kind, carrier.Allot)
	is.Equal(answer.Seq, uint64(7))
	is.Equal(answer.Voters, 3)
	is.Equal(answer.Items, []wire.QuotaItem{
		{Tenant: "t", Count: 4}, {Tenant: "t"}, {Tenant: "other"}, {Tenant: "t", Count: 6, Wait: 300 * time.Millisecond},
	})
	is.Equal(a.Answer(now+Lease, ask), wire.Quota{Kind: carrier.Decline, Seq: 7})
}

// BenchmarkAnswer measures an ask for one of 10,000 tenants.
func BenchmarkAnswer(b *testing.B) {
	limits := map[string]Limit{}
	for i := range 10_000 {
		limits[fmt.Sprint(i)] = Limit{Rate: 5, Burst: 5, Mod: 1}
	}
	a, now := newAllocator(3, limits)
	ask := wire.Quota{Kind: carrier.Ask, Batch: "b", Items: []wire.QuotaItem{{Tenant: "17", Count: 1}}}
	b.ReportAllocs()
	for b.Loop() {
		a.Answer(now, ask)
	}
}
