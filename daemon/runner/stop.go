package runner

import (
	"context"
	"net/http"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/waiter"
)

const (
	// stopLimit bounds a planned stop without a configured grace. It exceeds the longest call, so that none is cut off.
	stopLimit = compiler.MaxCallLimit + 15*time.Second
	// exitReserve is the part of the grace that is reserved for the exit of the process.
	exitReserve = 300 * time.Millisecond
	// leaveLimit bounds the wait until other members have confirmed the leave.
	leaveLimit = 3 * time.Second
	// refusalTime is how long a stopping daemon still answers calls with refusals, until all others know of its leave.
	refusalTime = 2 * time.Second
	// unreadyNoticeTime is how long callers need to notice that a daemon is not ready. Until then it serves their calls.
	unreadyNoticeTime = 2 * time.Second
	// quietPeriod is the time without a new routed call that a stopping daemon waits for before it exits.
	quietPeriod = 300 * time.Millisecond
	// acceptShare is the fraction of the stop time in which routed calls are still accepted. Later calls might not end in
	// time.
	acceptShare = 0.45
	// idlePollInterval is the time between two checks for calls in flight.
	idlePollInterval = 20 * time.Millisecond
)

// stopPlan is the schedule of a planned stop. Times are relative to its beginning.
type stopPlan struct {
	leave  time.Duration // the upstream is withdrawn and the daemon leaves the mesh
	refuse time.Duration // routed calls are refused from here on at the latest; drainRoutedCalls may refuse them earlier
	end    time.Duration // the process exits, even if calls are in flight
}

// planStop returns the schedule for a daemon with or without routed calls. Callers of routed calls switch to another daemon
// only after they notice that this one is not ready, so it serves them until then if the grace permits.
func planStop(grace time.Duration, routes bool) stopPlan {
	plan := stopPlan{end: stopLimit}
	if grace > 0 {
		plan.end = max(grace-exitReserve, 0)
	}
	if routes {
		plan.refuse = time.Duration(acceptShare * float64(plan.end))
		plan.leave = min(unreadyNoticeTime, plan.refuse)
	}
	return plan
}

// stop leaves the mesh and returns once every in-flight call has ended or the stop time has passed. Without routes it
// first keeps refusing calls for refusalTime.
func (r *Runner) stop(servers ...*http.Server) error {
	s := r.settings.Load()
	plan := planStop(time.Duration(s.Grace), s.Routes.IsValid())
	r.log.Info("stopping", "limit", plan.end.String())
	ctx, cancel := context.WithTimeout(context.Background(), plan.end)
	defer cancel()
	r.stopping.Store(true)
	r.pipeliner.Drain()
	if end, ok := ctx.Deadline(); ok {
		r.forwarder.StopBy(end)
	}
	refuseTimer := time.AfterFunc(plan.refuse, func() { r.refusingCalls.Store(true) })
	defer refuseTimer.Stop()
	waiter.SleepCompleted(ctx, plan.leave)
	r.leaveMesh(ctx)
	if s.Routes.IsValid() {
		r.drainRoutedCalls(ctx)
	} else {
		// Daemons that do not know of the leave yet get a refusal, which says that the call was not run, instead of a
		// closed connection.
		waiter.SleepCompleted(ctx, refusalTime)
	}
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			r.log.Error("calls were cut off", "error", err)
		}
	}
	r.forwarder.Close()
	r.log.Info("stopped")
	return nil
}

// leaveMesh withdraws the upstream, tells the other members, and drains service calls and claims.
func (r *Runner) leaveMesh(ctx context.Context) {
	r.announcer.Leave()
	leaveCtx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	if err := r.gossiper.Leave(leaveCtx); err != nil {
		r.log.Warn("leave not confirmed", "error", err)
	}
	if err := r.forwarder.Drain(ctx); err != nil {
		r.log.Error("calls were cut off", "error", err)
	}
	if err := r.claimer.Drain(ctx); err != nil {
		r.log.Warn("claims not released", "error", err)
	}
}

// drainRoutedCalls returns once no routed call is in flight and none has arrived for quietPeriod. Later calls are refused,
// since their connections are about to be closed.
func (r *Runner) drainRoutedCalls(ctx context.Context) {
	r.awaitIdle(ctx, quietPeriod)
	r.refusingCalls.Store(true)
	r.awaitIdle(ctx, 0)
	if ctx.Err() != nil {
		r.log.Warn("stop limit reached", "calls", r.inFlightCalls.Load(), "load", r.limiter.Load())
	}
}

// awaitIdle waits until no routed call has arrived for the given time and all have been answered, or until ctx ends.
func (r *Runner) awaitIdle(ctx context.Context, quiet time.Duration) {
	for ctx.Err() == nil {
		last := time.Unix(0, r.lastCallStart.Load())
		if time.Since(last) >= quiet && r.inFlightCalls.Load() == 0 && r.limiter.Load() == 0 && r.pipeliner.Pending() == 0 {
			return
		}
		waiter.SleepCompleted(ctx, idlePollInterval)
	}
}
