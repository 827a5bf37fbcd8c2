package runner

import (
	"context"
	"iter"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/controller/allocator"
	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/carrier"
	"bluebellhoist/core/waiter"
	"bluebellhoist/core/wire"
)

const (
	// renewInterval is the time between two barriers that renew the lease of the allocator. A lease so outlasts one that times out.
	renewInterval = time.Second
	// renewTimeout bounds a barrier. A longer one would leave little of the lease.
	renewTimeout = allocator.Lease / 2
)

// quota answers the asks of daemons for tokens: it receives them by datagram, passes the limits in force to the allocator and
// renews its lease.
type quota struct {
	clock     func() time.Duration // does not stop while the VM is suspended
	view      func() *registrar.View
	barrier   func(context.Context) error
	self      string // ID of this node
	allocator *allocator.Allocator
	carrier   *carrier.Carrier
	counter   *quotaCounter
	log       hclog.Logger

	mu   sync.Mutex
	seen *registrar.View // view whose limits the allocator knows

	renewed bool // the last barrier succeeded; used by Run only
}

// newQuota returns the quota of a node.
func (r *Runner) newQuota(clock func() time.Duration) *quota {
	q := &quota{
		clock: clock, view: r.registrar.View, barrier: r.barrier, self: r.store.Identity().ID, log: r.log.Named("quota"),
	}
	q.counter = newQuotaCounter(q)
	q.allocator = allocator.New(clock(), r.settings.Quota.Bound(), allocator.WithCount(q.counter.count))
	q.carrier = carrier.New(r.settings.Quota.ListenAddr(r.settings.bind()), carrier.WithDeliver(q.deliver), carrier.WithLogger(q.log))
	return q
}

// setMembership passes a membership of the replicated log to the allocator.
func (q *quota) setMembership(nodes []wire.Node, skipped bool) {
	now := q.clock()
	if skipped {
		q.allocator.SkipMemberships(now)
	}
	voters, voting := 0, false
	for _, n := range nodes {
		if n.Voter {
			voters++
			voting = voting || n.ID == q.self
		}
	}
	q.allocator.ApplyMembership(now, voters, voting)
}

// deliver answers an ask.
func (q *quota) deliver(from netip.AddrPort, ask wire.Quota) {
	if ask.Kind != carrier.Ask {
		return
	}
	q.updateLimits()
	if err := q.carrier.Send(from, q.allocator.Answer(q.clock(), ask)); err != nil {
		q.log.Debug("cannot answer", "daemon", from, "error", err)
	}
}

// updateLimits passes the limits of the newest view to the allocator.
func (q *quota) updateLimits() {
	q.mu.Lock()
	defer q.mu.Unlock()
	view, last := q.view(), q.seen
	if view == last {
		return
	}
	q.seen = view
	now := q.clock()
	for _, batch := range view.Batches() {
		q.allocator.SetLimits(now, batch.Name, batch.Version, limitsOf(batch))
	}
	if last == nil {
		return
	}
	for _, batch := range last.Batches() {
		if _, ok := view.Batch(batch.Name); !ok {
			q.allocator.RemoveBatch(batch.Name)
		}
	}
}

// limitsOf returns the limits of the tenants of a batch by name.
func limitsOf(batch wire.Batch) iter.Seq2[string, allocator.Limit] {
	return func(yield func(string, allocator.Limit) bool) {
		for i := range batch.Tenants {
			t := &batch.Tenants[i]
			if !yield(t.Name, allocator.Limit{Rate: t.Rate, Burst: t.Burst, Mod: t.Mod}) {
				return
			}
		}
	}
}

// Run renews the lease of the allocator until ctx ends. It does nothing while no tenant has a limit.
func (q *quota) Run(ctx context.Context) error {
	for {
		if err := q.maintain(ctx); err != nil {
			return err
		}
	}
}

// maintain renews the lease once if any tenant has a limit, and returns when that is due again. Its error is that of ctx.
func (q *quota) maintain(ctx context.Context) error {
	changed := q.view().Changed()
	q.updateLimits()
	if q.allocator.LimitCount() == 0 {
		select {
		case <-changed:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := q.carrier.Open(); err != nil {
		q.log.Error("cannot receive asks for tokens", "error", err)
	} else {
		q.renew(ctx)
	}
	return waiter.Sleep(ctx, renewInterval)
}

// renew renews the lease by a barrier.
func (q *quota) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	start := q.clock()
	err := q.barrier(ctx)
	q.logRenewal(err)
	if err != nil {
		return
	}
	q.updateLimits()
	q.allocator.RenewLease(start, q.clock())
}

// logRenewal logs when barriers begin or cease to succeed.
func (q *quota) logRenewal(err error) {
	switch {
	case err == nil && !q.renewed:
		q.log.Info("lease for quotas renewed", "tenants", q.allocator.LimitCount())
	case err != nil && q.renewed:
		q.log.Warn("lease for quotas not renewed; no tokens are allotted after its end", "error", err)
	}
	q.renewed = err == nil
}
