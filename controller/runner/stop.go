package runner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bluebellhoist/controller/replicator"
)

// stop transfers the leadership and hands over the vote, leaves the gossip, tells the daemons to reconnect elsewhere, and waits
// for requests in flight.
func (r *Runner) stop(servers []*http.Server) error {
	limit := stopLimit
	if grace := time.Duration(r.settings.Grace); grace > 0 {
		limit = grace - exitReserve
	}
	r.log.Info("stopping", "limit", limit)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r.handOver(ctx)
	if r.gossiper != nil {
		leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveLimit)
		defer cancelLeave()
		if err := r.gossiper.Leave(leaveCtx); err != nil {
			r.log.Warn("leave not confirmed", "error", err)
		}
	}
	if err := r.distributor.Close(ctx); err != nil {
		r.log.Warn("sessions not closed in time", "error", err)
	}
	var shutdownErr error
	for _, server := range servers {
		shutdownErr = errors.Join(shutdownErr, server.Shutdown(ctx))
	}
	r.log.Info("stopped")
	return shutdownErr
}

// handOver transfers the leadership, and gives the vote to another controller if there is one without a vote, so that this one
// no longer counts for the majority.
func (r *Runner) handOver(ctx context.Context) {
	votes := r.replicator.Status().Self.Voter
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	err := r.replicator.Leave(ctx)
	switch {
	case errors.Is(err, replicator.ErrTransfer):
		r.log.Warn("leadership and vote kept", "reason", err)
	case err != nil:
		r.log.Info("vote kept", "reason", err)
	case votes:
		r.log.Info("vote handed over")
	}
}
