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
	// quietTime is how long no caller must have sent a routed call before a stopping daemon ends. Callers move away only
	// after they have seen more than once that the daemon is not ready.
	quietTime = 2500 * time.Millisecond
	// stopPoll is the time between two looks at the calls in progress.
	stopPoll = 20 * time.Millisecond
)

// stop leaves the mesh and returns once every call in progress has ended.
func (r *Runner) stop(servers ...*http.Server) error {
	limit := stopLimit
	if grace := time.Duration(r.settings.Load().Grace); grace > 0 {
		limit = grace - stopReserve
	}
	r.log.Info("stopping", "limit", limit)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r.stopping.Store(true)
	r.pipeliner.Drain()
	r.announcer.Leave()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveLimit)
	defer cancelLeave()
	if err := r.gossiper.Leave(leaveCtx); err != nil {
		r.log.Warn("leave not confirmed", "error", err)
	}
	if err := r.forwarder.Drain(ctx); err != nil {
		r.log.Error("calls were cut off", "error", err)
	}
	if err := r.claimer.Drain(ctx); err != nil {
		r.log.Warn("claims not released", "error", err)
	}
	r.awaitQuiet(ctx)
	// Daemons that have not heard of the leave yet get refusals as not run instead of closed connections.
	if !r.settings.Load().Routes.IsValid() {
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

// awaitQuiet returns once no routed call is in progress and callers have moved away.
func (r *Runner) awaitQuiet(ctx context.Context) {
	if !r.settings.Load().Routes.IsValid() {
		return
	}
	began := time.Now()
	for ctx.Err() == nil {
		quiet := time.Since(time.Unix(0, r.lastCall.Load())) >= quietTime && time.Since(began) >= quietTime
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
