package runner

import (
	"context"
	"time"
)

const (
	// recoveryTick and recoveryTicks bound the wait for the departures of the replicated log to 5 s: longer than the controllers
	// take to elect a leader after all have restarted. Ticks are counted, since a process that is frozen meanwhile has not
	// waited.
	recoveryTick  = 250 * time.Millisecond
	recoveryTicks = 20
	// memoryTicks is when the memory of another member suffices, after 1 s. A controller that can be reached has answered by then.
	memoryTicks = 4
	// recordLimit bounds the wait until a departure is in the replicated log. Upstreams wait for the answer to a leave for about
	// a second.
	recordLimit = 900 * time.Millisecond
)

// recoverDepartures lets the announcer announce the upstream once the departures are known from gossip and from the replicated
// log, and then waits until ctx ends.
//
// If the log does not answer, gossip alone must do, so that a failure domain that is cut off goes on serving: soon if another
// member remembers this one from before its start, and thus its departure, or else after recoveryTicks. See
// docs/design/leave.md.
func (r *Runner) recoverDepartures(ctx context.Context) error {
	select {
	case <-r.gossiper.Recovered():
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := r.awaitLog(ctx, r.subscriber.Recovered(), r.gossiper.Remembered()); err != nil {
		return err
	}
	close(r.recovered)
	<-ctx.Done()
	return ctx.Err()
}

// awaitLog returns once the replicated log has told the departures, after memoryTicks if another member remembers this one, or
// after recoveryTicks. Its error is that of ctx.
func (r *Runner) awaitLog(ctx context.Context, told, remembered <-chan struct{}) error {
	ticker := time.NewTicker(recoveryTick)
	defer ticker.Stop()
	for tick := range recoveryTicks {
		var memory <-chan struct{}
		if tick >= memoryTicks {
			memory = remembered
		}
		select {
		case <-told:
			return nil
		case <-memory:
			r.log.Info("no controller has told the departures of this VM, but another member remembers it")
			return nil
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.log.Warn("no controller has told the departures of this VM", "timeout", recoveryTicks*recoveryTick)
	return nil
}
