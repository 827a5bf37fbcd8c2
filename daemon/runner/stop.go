package runner

import (
	"context"
	"net/http"
	"time"

	"bluebellhoist/core/compiler"
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
	// acceptShare is the part of the grace after which a stopping daemon refuses routed calls, since they might not end
	// in time.
	acceptShare = 0.45
	// stopPoll is the time between two looks at the calls in progress.
	stopPoll = 20 * time.Millisecond
)

// stop leaves the mesh and returns once every call in progress has ended.
func (r *Runner) stop(servers ...*http.Server) error {
	grace := time.Duration(r.settings.Load().Grace)
	limit := stopLimit
	if grace > 0 {
		limit = grace - stopReserve
	}
	r.log.Info("stopping", "limit", limit)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r.stopping.Store(true)
	r.pipeliner.Drain()
	routes := r.settings.Load().Routes.IsValid()
	if routes {
		wait(ctx, awayTime)
		refuse := time.AfterFunc(time.Duration(acceptShare*float64(limit))-awayTime, func() { r.refusing.Store(true) })
		defer refuse.Stop()
	}
	r.leave(ctx)
	if routes {
		r.awaitQuiet(ctx)
	} else {
		// Daemons that have not heard of the leave yet get refusals as not run instead of closed connections.
		wait(ctx, lingerTime)
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

// awaitQuiet returns once no routed call is in progress and none came for a while.
func (r *Runner) awaitQuiet(ctx context.Context) {
	for ctx.Err() == nil {
		quiet := time.Since(time.Unix(0, r.lastCall.Load())) >= quietTime
		if quiet && r.calls.Load() == 0 && r.limiter.Load() == 0 {
			return
		}
		wait(ctx, stopPoll)
	}
	r.log.Warn("stop limit reached", "calls", r.calls.Load(), "load", r.limiter.Load())
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
