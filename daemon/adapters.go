package main

import (
	"context"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/forwarder"
	"bluebellhoist/daemon/limiter"
	"bluebellhoist/daemon/router"
)

var routerKinds = map[forwarder.Result]router.Kind{
	forwarder.Success:     router.OK,
	forwarder.Failed:      router.Failed,
	forwarder.Shed:        router.Failed,
	forwarder.Timeout:     router.Failed,
	forwarder.Canceled:    router.Canceled,
	forwarder.Refused:     router.Rejected,
	forwarder.Unreachable: router.Unreachable,
}

var limiterOutcomes = map[forwarder.Result]limiter.Outcome{
	forwarder.Success:     limiter.OK,
	forwarder.Failed:      limiter.Ignored,
	forwarder.Shed:        limiter.Overloaded,
	forwarder.Timeout:     limiter.TimedOut,
	forwarder.Canceled:    limiter.Ignored,
	forwarder.Refused:     limiter.Ignored,
	forwarder.Unreachable: limiter.Ignored,
}

// pick selects a member for the forwarder and passes its outcomes to the router.
func (d *daemon) pick(service string, skip []string) (wire.Member, func(forwarder.Outcome), error) {
	member, done, err := d.router.Pick(service, skip)
	if err != nil {
		return wire.Member{}, nil, err
	}
	return member, func(o forwarder.Outcome) {
		done(router.Outcome{Kind: routerKinds[o.Result], Latency: o.Latency, Load: o.Load})
	}, nil
}

// acquire takes a slot for the forwarder and passes its outcomes to the limiter.
func (d *daemon) acquire(ctx context.Context, class string) (func(forwarder.Outcome), error) {
	done, err := d.limiter.Acquire(ctx, class)
	if err != nil {
		return nil, err
	}
	return func(o forwarder.Outcome) { done(limiterOutcomes[o.Result]) }, nil
}

// update spreads a change of the local upstream and sets the slots.
func (d *daemon) update(change func(*wire.Member)) {
	var m wire.Member
	change(&m)
	if m.Ready {
		if d.since.Swap(m.Since) != m.Since {
			d.limiter.Resize(0) // a new or restarted upstream starts cold
		}
		d.limiter.Resize(d.slots(m.Slots))
	}
	d.gossiper.Update(change)
}

// slots returns how many calls the upstream gets at once: no more than it takes connections, since the surplus would
// wait for a connection while it holds a slot.
func (d *daemon) slots(announced int) int {
	if upstream, ok := d.announcer.Upstream(); ok {
		return min(announced, upstream.Conns)
	}
	return announced
}

// drained waits for the calls in progress of an upstream that leaves.
func (d *daemon) drained(ctx context.Context) error {
	err := d.limiter.Drain(ctx)
	d.limiter.Resize(0)
	return err
}
