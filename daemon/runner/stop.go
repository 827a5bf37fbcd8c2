package runner

import (
	"context"
	"net/http"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/waiter"
)

const (
	// stopLimit bounds a planned stop if the settings don't. It exceeds the longest time of a call, so that none is cut.
	stopLimit = compiler.MaxLimit + 15*time.Second
	// stopReserve is the part of the grace that is left for ending the process.
	stopReserve = 300 * time.Millisecond
	// leaveLimit bounds the wait until other daemons have confirmed the leave.
	leaveLimit = 3 * time.Second
	// lingerTime is how long a stopping daemon still refuses calls, until all others have heard of its leave.
	lingerTime = 2 * time.Second
	// awayTime is how long callers need to see that a daemon is not ready. It serves on until then.
	awayTime = 2 * time.Second
	// quietTime is how long no caller must have sent a routed call before a stopping daemon ends.
	quietTime = 300 * time.Millisecond
	// acceptShare is the part of the limit after which a stopping daemon refuses routed calls, since they might not end
	// in time.
	acceptShare = 0.45
	// stopPoll is the time between two looks at the calls in progress.
	stopPoll = 20 * time.Millisecond
)

// stopPlan tells when a stopping daemon does what, counted from the moment at which it was told to stop.
type stopPlan struct {
	leave  time.Duration // the upstream is withdrawn and other daemons are told
	refuse time.Duration // routed calls of callers are refused
	end    time.Duration // the process ends, also if calls are in progress
}

// planStop returns the plan for a daemon with or without routed calls. Callers on routes move away only after they have
// seen that the daemon is not ready, so it serves on until then, if the grace permits.
func planStop(grace time.Duration, routes bool) stopPlan {
	plan := stopPlan{end: stopLimit}
	if grace > 0 {
		plan.end = max(grace-stopReserve, 0)
	}
	if routes {
		plan.refuse = time.Duration(acceptShare * float64(plan.end))
		plan.leave = min(awayTime, plan.refuse)
	}
	return plan
}

// stop leaves the mesh and returns once every call in progress has ended.
func (r *Runner) stop(servers ...*http.Server) error {
	s := r.settings.Load()
	plan := planStop(time.Duration(s.Grace), s.Routes.IsValid())
	r.log.Info("stopping", "limit", plan.end.String())
	ctx, cancel := context.WithTimeout(context.Background(), plan.end)
	defer cancel()
	r.stopping.Store(true)
	r.pipeliner.Drain()
	refuse := time.AfterFunc(plan.refuse, func() { r.refusing.Store(true) })
	defer refuse.Stop()
	waiter.Slept(ctx, plan.leave)
	r.leave(ctx)
	if s.Routes.IsValid() {
		r.awaitQuiet(ctx)
	} else {
		// Daemons that have not heard of the leave yet get refusals as not run instead of closed connections.
		waiter.Slept(ctx, lingerTime)
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

// leave withdraws the upstream and tells the other members.
func (r *Runner) leave(ctx context.Context) {
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

// awaitQuiet returns once no routed call is in progress and none came for a while. A call that comes later is refused, since
// its connection is about to be closed.
func (r *Runner) awaitQuiet(ctx context.Context) {
	r.awaitIdle(ctx, quietTime)
	r.refusing.Store(true)
	r.awaitIdle(ctx, 0)
	if ctx.Err() != nil {
		r.log.Warn("stop limit reached", "calls", r.calls.Load(), "load", r.limiter.Load())
	}
}

// awaitIdle waits until no call came for the given time and all are answered.
func (r *Runner) awaitIdle(ctx context.Context, quiet time.Duration) {
	for ctx.Err() == nil {
		last := time.Unix(0, r.lastCall.Load())
		if time.Since(last) >= quiet && r.calls.Load() == 0 && r.limiter.Load() == 0 && r.pipeliner.Pending() == 0 {
			return
		}
		waiter.Slept(ctx, stopPoll)
	}
}
