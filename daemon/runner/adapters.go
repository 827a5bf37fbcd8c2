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

// routerResultOfForward maps results of the forwarder to those that the router distinguishes.
var routerResultOfForward = map[forwarder.Result]router.Result{
	forwarder.Success:     router.OK,
	forwarder.Failed:      router.Failed,
	forwarder.Overloaded:  router.Failed,
	forwarder.Timeout:     router.Failed,
	forwarder.Canceled:    router.Canceled,
	forwarder.Refused:     router.Refused,
	forwarder.OverBudget:  router.Canceled, // says nothing about the member
	forwarder.Unreachable: router.Unreachable,
}

// limiterOutcomeOfForward maps results of the forwarder to the outcomes from which the limiter learns its limit.
var limiterOutcomeOfForward = map[forwarder.Result]limiter.Outcome{
	forwarder.Success:     limiter.OK,
	forwarder.Failed:      limiter.Ignored,
	forwarder.Overloaded:  limiter.Overloaded,
	forwarder.Timeout:     limiter.TimedOut,
	forwarder.Canceled:    limiter.Ignored,
	forwarder.Refused:     limiter.Ignored,
	forwarder.OverBudget:  limiter.Ignored,
	forwarder.Unreachable: limiter.Ignored,
}

// routerResultOfDispatch maps results of routed calls to those that the router distinguishes.
var routerResultOfDispatch = map[dispatcher.Result]router.Result{
	dispatcher.OK:          router.OK,
	dispatcher.Failed:      router.Failed,
	dispatcher.Refused:     router.Refused,
	dispatcher.Unreachable: router.Unreachable,
	dispatcher.Canceled:    router.Canceled,
	dispatcher.OverBudget:  router.Canceled, // says nothing about the member
}

// limiterOutcomeOfDelivery maps results of routed calls to limiter outcomes that never lower the limit. The upstream gets
// at most as many concurrent calls as the slots that it announced, and only from this daemon, so it would gain nothing
// from fewer calls even if it refuses some or is slow.
var limiterOutcomeOfDelivery = map[deliverer.SlotOutcome]limiter.Outcome{
	deliverer.OK:         limiter.OK,
	deliverer.Overloaded: limiter.Ignored,
	deliverer.TimedOut:   limiter.OK,
	deliverer.Ignored:    limiter.Ignored,
}

// pickForServiceCall selects a member for a service call and passes the outcome of the call to the router.
func (r *Runner) pickForServiceCall(service string, skip []string) (wire.Member, func(forwarder.Outcome), error) {
	member, done, err := r.router.Pick(service, skip)
	if err != nil {
		return wire.Member{}, nil, err
	}
	return member, func(o forwarder.Outcome) {
		done(router.Outcome{Result: routerResultOfForward[o.Result], Latency: o.Latency, Load: o.Load})
	}, nil
}

// acquireForServiceCall acquires a slot for a service call and passes the outcome of the call to the limiter.
func (r *Runner) acquireForServiceCall(ctx context.Context, class string) (func(forwarder.Outcome), error) {
	done, err := r.limiter.Acquire(ctx, class)
	if err != nil {
		return nil, err
	}
	return func(o forwarder.Outcome) { done(limiterOutcomeOfForward[o.Result]) }, nil
}

// updateMember adapts the limiter to a change of the local upstream and gossips it to the other members.
func (r *Runner) updateMember(change func(*wire.Member)) {
	var m wire.Member
	change(&m)
	if m.Ready {
		if r.upstreamStart.Swap(m.Since) != m.Since {
			r.limiter.SetSlots(0) // a new or restarted upstream starts cold
		}
		r.limiter.SetSlots(r.slotLimit(m.Slots))
	}
	r.gossiper.Update(change)
}

// restoreDeparture passes on a departure that other members remember.
func (r *Runner) restoreDeparture(d wire.Departure) {
	r.announcer.Restore(d)
}

// restoreDepartures passes on the departures that the replicated log holds.
func (r *Runner) restoreDepartures(all []wire.Departure) {
	r.announcer.RestoreAll(all)
}

// recordDeparture stores a departure in the replicated log.
func (r *Runner) recordDeparture(ctx context.Context, gone wire.Departure) error {
	ctx, cancel := context.WithTimeout(ctx, recordLimit)
	defer cancel()
	return r.claimer.Leave(ctx, gone)
}

// slotLimit returns how many calls the upstream gets at once. The limit does not exceed the connections that the upstream
// accepts, since further calls would hold a slot while they wait for a connection.
func (r *Runner) slotLimit(announced int) int {
	if upstream, ok := r.announcer.Upstream(); ok {
		return min(announced, upstream.Conns)
	}
	return announced
}

// drainUpstream waits for the in-flight calls of a leaving upstream and then closes all its slots.
func (r *Runner) drainUpstream(ctx context.Context) error {
	err := r.limiter.Drain(ctx)
	r.limiter.SetSlots(0)
	return err
}

// discoveredControllers returns the controllers that gossip knows and does not consider dead.
func (r *Runner) discoveredControllers() []subscriber.Controller {
	var all []subscriber.Controller
	for _, m := range r.gossiper.Members() {
		if m.Control && (m.State == wire.Alive || m.State == wire.Suspect) {
			all = append(all, subscriber.Controller{Addr: m.Addr, Domain: m.Domain})
		}
	}
	return all
}

// configSource returns the controller that the daemon has a session with, or "" without one, and the newest version heard of.
func (r *Runner) configSource() (controller string, newest uint64) {
	if c, ok := r.subscriber.Controller(); ok {
		controller = c.Addr.String()
	}
	return controller, r.subscriber.NewestVersion()
}

// pickForRoutedCall selects a member for a routed call and passes the outcome of the call to the router.
func (r *Runner) pickForRoutedCall(service string, skip []string) (wire.Member, func(dispatcher.Outcome), error) {
	member, done, err := r.router.Pick(service, skip)
	if err != nil {
		return wire.Member{}, nil, err
	}
	return member, func(o dispatcher.Outcome) {
		done(router.Outcome{Result: routerResultOfDispatch[o.Result], Latency: o.Latency, Load: o.Load})
	}, nil
}

// acquireForRoutedCall acquires a slot for a routed call and passes the outcome of the call to the limiter. If the call
// has to wait, it must start by latest.
func (r *Runner) acquireForRoutedCall(ctx context.Context, class string, latest time.Time) (func(deliverer.SlotOutcome), error) {
	done, err := r.limiter.AcquireBefore(ctx, class, latest)
	if err != nil {
		return nil, err
	}
	return func(outcome deliverer.SlotOutcome) { done(limiterOutcomeOfDelivery[outcome]) }, nil
}
