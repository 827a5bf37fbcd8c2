package runner

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// stop transfers the leadership, leaves the gossip, tells the daemons to reconnect elsewhere, and waits for requests in
// flight.
func (r *Runner) stop(servers []*http.Server) error {
	limit := stopLimit
	if grace := time.Duration(r.settings.Grace); grace > 0 {
		limit = grace - exitReserve
	}
	r.log.Info("stopping", "limit", limit)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := r.replicator.Transfer(ctx); err != nil {
		r.log.Warn("leadership not transferred", "error", err)
	}
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
