package runner

import (
	"context"
	"time"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/dispatcher"
	"bluebellhoist/daemon/forwarder"
	"bluebellhoist/daemon/limiter"
	"bluebellhoist/daemon/router"
	"bluebellhoist/daemon/subscriber"
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

var routedKinds = map[dispatcher.Kind]router.Kind{
	dispatcher.OK:          router.OK,
	dispatcher.Failed:      router.Failed,
	dispatcher.Rejected:    router.Rejected,
	dispatcher.Unreachable: router.Unreachable,
	dispatcher.Canceled:    router.Canceled,
}

// routedEnds keeps all announced slots open: an upstream that rejects calls although no more are sent to it than it has
// slots, or that is slow, gains nothing from fewer calls, since nobody else sends any.
var routedEnds = map[deliverer.End]limiter.Outcome{
	deliverer.OK:         limiter.OK,
	deliverer.Overloaded: limiter.Ignored,
	deliverer.TimedOut:   limiter.OK,
	deliverer.Ignored:    limiter.Ignored,
}

// pick selects a member for the forwarder and passes its outcomes to the router.
func (r *Runner) pick(service string, skip []string) (wire.Member, func(forwarder.Outcome), error) {
	member, done, err := r.router.Pick(service, skip)
	if err != nil {
		return wire.Member{}, nil, err
	}
	return member, func(o forwarder.Outcome) {
		done(router.Outcome{Kind: routerKinds[o.Result], Latency: o.Latency, Load: o.Load})
	}, nil
}

// acquire takes a slot for the forwarder and passes its outcomes to the limiter.
func (r *Runner) acquire(ctx context.Context, class string) (func(forwarder.Outcome), error) {
	done, err := r.limiter.Acquire(ctx, class)
	if err != nil {
		return nil, err
	}
	return func(o forwarder.Outcome) { done(limiterOutcomes[o.Result]) }, nil
}

// updateMember spreads a change of the local upstream and sets the slots.
func (r *Runner) updateMember(change func(*wire.Member)) {
	var m wire.Member
	change(&m)
	if m.Ready {
		if r.since.Swap(m.Since) != m.Since {
			r.limiter.Resize(0) // a new or restarted upstream starts cold
		}
		r.limiter.Resize(r.slots(m.Slots))
	}
	r.gossiper.Update(change)
}

// slots returns how many calls the upstream gets at once: no more than it takes connections, since the surplus would
// wait for a connection while it holds a slot.
func (r *Runner) slots(announced int) int {
	if upstream, ok := r.announcer.Upstream(); ok {
		return min(announced, upstream.Conns)
	}
	return announced
}

// drained waits for the calls in progress of an upstream that leaves.
func (r *Runner) drained(ctx context.Context) error {
	err := r.limiter.Drain(ctx)
	r.limiter.Resize(0)
	return err
}

// controllers returns the controllers that gossip knows.
func (r *Runner) controllers() []subscriber.Controller {
	var all []subscriber.Controller
	for _, m := range r.gossiper.Members() {
		if m.Control && (m.State == wire.Alive || m.State == wire.Suspect) {
			all = append(all, subscriber.Controller{Addr: m.Addr, Domain: m.Domain})
		}
	}
	return all
}

// daemons returns how many daemons are known, in any state.
func (r *Runner) daemons() int {
	count := 0
	for _, m := range r.gossiper.Members() {
		if !m.Control {
			count++
		}
	}
	return count
}

// pickRouted selects a member for a routed call.
func (r *Runner) pickRouted(service string, skip []string) (wire.Member, func(dispatcher.Outcome), error) {
	member, done, err := r.router.Pick(service, skip)
	if err != nil {
		return wire.Member{}, nil, err
	}
	return member, func(o dispatcher.Outcome) {
		done(router.Outcome{Kind: routedKinds[o.Kind], Latency: o.Latency, Load: o.Load})
	}, nil
}

// acquireRouted takes a slot for a routed call.
func (r *Runner) acquireRouted(ctx context.Context, class string, latest time.Time) (func(deliverer.End), error) {
	done, err := r.limiter.AcquireBefore(ctx, class, latest)
	if err != nil {
		return nil, err
	}
	return func(end deliverer.End) { done(routedEnds[end]) }, nil
}
