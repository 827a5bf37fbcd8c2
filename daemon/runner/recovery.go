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
	// recordLimit bounds the wait until a departure is in the replicated log. Upstreams wait for the answer to a leave for about
	// a second.
	recordLimit = 900 * time.Millisecond
)

// recoverDepartures lets the announcer announce the upstream once the departures are known from gossip and from the replicated
// log, and then waits until ctx ends.
//
// If the log does not answer in time, gossip alone must do. A member that has a configuration then has either run since the
// departure, so that it tells it by gossip, or got the configuration from the log or from its disk; see docs/design/leave.md.
func (r *Runner) recoverDepartures(ctx context.Context) error {
	select {
	case <-r.gossiper.Recovered():
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := r.awaitLog(ctx); err != nil {
		return err
	}
	close(r.recovered)
	<-ctx.Done()
	return ctx.Err()
}

// awaitLog returns once the replicated log has told the departures, or after recoveryTicks. Its error is that of ctx.
func (r *Runner) awaitLog(ctx context.Context) error {
	ticker := time.NewTicker(recoveryTick)
	defer ticker.Stop()
	for range recoveryTicks {
		select {
		case <-r.subscriber.Recovered():
			return nil
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.log.Warn("no controller has told the departures of this VM", "timeout", recoveryTicks*recoveryTick)
	return nil
}
