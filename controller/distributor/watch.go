package distributor

import (
	"context"
	"time"

	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
)

// serveWatch tells a daemon the version of its batch, at once when it changes, until the session ends. The daemon has its session
// with another controller and moves here if that one lacks the version.
func (s *session) serveWatch(ctx context.Context, batch string) error {
	heartbeats := time.NewTicker(framer.HeartbeatInterval)
	defer heartbeats.Stop()
	for {
		view := s.distributor.view()
		current, _ := view.Batch(batch)
		if err := s.conn.Send(ctx, wire.Frame{Heartbeat: &wire.Heartbeat{Version: current.Version, Fresh: s.distributor.fresh()}}); err != nil {
			return err
		}
		select {
		case <-view.Changed():
		case <-heartbeats.C:
		case <-s.stopping:
			return s.conn.Send(ctx, wire.Frame{Bye: true})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
