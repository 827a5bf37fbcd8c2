package subscriber

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/waiter"
	"bluebellhoist/core/wire"
)

const (
	// catchUpLimit is how long the daemon waits for its own controller to send a version that the watched one has. A leader repeats
	// its commit index every 150 ms, so a controller in contact has the version by then even if one packet was lost.
	catchUpLimit = 300 * time.Millisecond
	// moveRetryDelay is the time between two moves for the same version.
	moveRetryDelay = framer.ReceiveTimeout
	// watchFailureMemory is how long a controller whose watch has failed is watched only if there is no other one.
	watchFailureMemory = 10 * time.Second
)

// Reasons not to watch a controller. Each of them outweighs all before it.
const (
	costOtherRegion  = 1 << iota
	costOtherDomain  // another failure domain than the daemon's; only a watch in the own one shows that the daemon can go back
	costSharedDomain // the failure domain of the daemon's own controller: both would be lost together
	costFailed       // its watch has failed lately
)

// Reasons for ending a watch.
var (
	errBehind       = errors.New("another controller has a newer version")
	errRewatch      = errors.New("another controller is to be watched")
	errWatchUpdate  = errors.New("controller sends updates to a watch")
	errWatchLagging = errors.New("watched controller lacks a majority or a version")
)

// watch is a connection to a second controller, through which the daemon hears of a version that its own controller lacks,
// whatever the reason.
type watch struct {
	subscriber *Subscriber
	controller Controller
	conn       *framer.Framer
	due        <-chan time.Time // when to check whether the daemon still lacks a version; nil if it lacks none
	staleSince time.Time        // when the controller was first seen without a majority or with an older version, or zero
}

// standby is a watched controller that could take the place of the daemon's own: it has a majority and all versions of the daemon.
type standby struct {
	controller Controller
	seenAt     time.Time // when it last said so
}

// runWatches keeps a watch on one controller at a time until ctx ends. It begins once there is a snapshot: before that the daemon
// lacks everything.
func (s *Subscriber) runWatches(ctx context.Context, random *rand.Rand) error {
	backoff := minBackoff
	for {
		c, ok := s.selectWatched(random)
		if ok {
			started := time.Now()
			err := s.serveWatch(ctx, c)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			s.log.Info("watch ended", "controller", c.Addr, "error", err)
			if time.Since(started) >= maxBackoff {
				backoff = minBackoff
			}
			if !errors.Is(err, errRewatch) {
				s.watchFailures[c.Addr] = time.Now()
			}
		}
		if err := waiter.Sleep(ctx, time.Duration(random.Int64N(int64(backoff)))); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// selectWatched selects the controller to watch, the one with the lowest cost or one of these at random, or returns false if there is
// none. It removes old failures.
func (s *Subscriber) selectWatched(random *rand.Rand) (Controller, bool) {
	if s.Snapshot() == nil {
		return Controller{}, false
	}
	for addr, at := range s.watchFailures {
		if time.Since(at) >= watchFailureMemory {
			delete(s.watchFailures, addr)
		}
	}
	own, connected := s.moves.current()
	all := s.allControllers()
	own = findController(all, own)
	var best *Controller
	var bestCost int
	for _, i := range random.Perm(len(all)) {
		c := all[i]
		if connected && c.Addr == own.Addr {
			continue
		}
		if cost := s.watchCost(c, own); best == nil || cost < bestCost {
			best, bestCost = &c, cost
		}
	}
	if best == nil {
		return Controller{}, false
	}
	return *best, true
}

// watchCost adds up what speaks against watching c while own is the daemon's controller.
func (s *Subscriber) watchCost(c, own Controller) int {
	cost := 0
	if _, failed := s.watchFailures[c.Addr]; failed {
		cost += costFailed
	}
	if sharesDomain(c, own) {
		cost += costSharedDomain
	}
	if !s.sameDomain(c) {
		cost += costOtherDomain
	}
	if s.region != "" && c.Region != s.region {
		cost += costOtherRegion
	}
	return cost
}

// shouldWatchOwnDomain reports whether the daemon is with a controller of another failure domain and watches one of another failure
// domain too, although one of its own can be watched.
func (s *Subscriber) shouldWatchOwnDomain(own, watched Controller) bool {
	if s.sameDomain(own) || s.sameDomain(watched) {
		return false
	}
	all := s.allControllers()
	if s.sameDomain(findController(all, own)) {
		return false
	}
	return slices.ContainsFunc(all, func(c Controller) bool {
		failed, ok := s.watchFailures[c.Addr]
		return s.sameDomain(c) && (!ok || time.Since(failed) >= watchFailureMemory)
	})
}

// findController returns the entry of a controller in a list, or the controller itself if the list lacks it. The failure domain of a
// configured controller is known only once it is discovered, which may be after the session with it began.
func findController(list []Controller, c Controller) Controller {
	i := slices.IndexFunc(list, func(o Controller) bool { return o.Addr == c.Addr })
	if i < 0 {
		return c
	}
	return list[i]
}

// sharesDomain reports whether two controllers are known to be in the same failure domain.
func sharesDomain(a, b Controller) bool {
	return a.Domain != "" && a.Domain == b.Domain
}

// serveWatch watches one controller until the watch ends, and returns why it did.
func (s *Subscriber) serveWatch(ctx context.Context, to Controller) error {
	conn, err := s.connect(ctx, to)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &watch{subscriber: s, controller: to, conn: framer.New(conn, framer.WithLimit(encoder.MaxMessage), framer.WithCounters(bytesOut.Add, bytesIn.Add))}
	defer s.standby.Store(nil)
	frames := make(chan wire.Frame)
	reader := make(chan error, 1)
	go func() {
		defer close(frames)
		reader <- w.readLoop(ctx, frames)
	}()
	err = w.run(ctx, frames)
	cancel()
	w.conn.Close()
	return fmt.Errorf("%w: %w", ErrSession, errors.Join(err, <-reader))
}

// readLoop passes the controller's frames on until the connection fails or ctx ends.
func (w *watch) readLoop(ctx context.Context, frames chan<- wire.Frame) error {
	for {
		frame, err := w.conn.Receive(ctx)
		if err != nil {
			return err
		}
		select {
		case frames <- frame:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// run sends the hello and the heartbeats and handles the controller's frames until the watch ends. It returns nil if the reader
// has ended.
func (w *watch) run(ctx context.Context, frames <-chan wire.Frame) error {
	s := w.subscriber
	hello := &wire.Hello{Name: s.name, Domain: s.domain, Batch: s.batch, Held: s.heldVersion(), Stay: true, Watch: true}
	if err := w.conn.Send(ctx, wire.Frame{Hello: hello}); err != nil {
		return err
	}
	heartbeats := time.NewTicker(framer.HeartbeatInterval)
	defer heartbeats.Stop()
	for {
		var err error
		select {
		case frame, ok := <-frames:
			if !ok {
				return nil
			}
			err = w.handleFrame(frame)
		case <-heartbeats.C:
			err = w.conn.Send(ctx, wire.Frame{Heartbeat: &wire.Heartbeat{}})
		case <-w.due:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err == nil {
			err = w.check(time.Now())
		}
		if err != nil {
			return err
		}
	}
}

// handleFrame handles one frame. An error ends the watch.
func (w *watch) handleFrame(frame wire.Frame) error {
	switch {
	case frame.Bye:
		return errStopping
	case frame.Error != "":
		return fmt.Errorf("%w: %s", ErrRefused, frame.Error)
	case frame.Refer != nil:
		return newReferralError(*frame.Refer)
	case frame.Full != nil:
		return w.handleUpdate(frame.Full.Batch.Version)
	case frame.Delta != nil:
		return w.handleUpdate(frame.Delta.Version)
	case frame.Heartbeat != nil:
		return w.handleHeartbeat(*frame.Heartbeat, time.Now())
	}
	return nil
}

// handleUpdate handles an update, which a controller of an older build sends. The watch starts again, since the controller sends
// nothing more until the update is acknowledged.
func (w *watch) handleUpdate(version uint64) error {
	w.subscriber.lag.hear(version, time.Now())
	if err := w.check(time.Now()); err != nil {
		return err
	}
	return errWatchUpdate
}

// handleHeartbeat records the version of the controller. It ends the watch if the controller has lacked a majority, or a version that
// the daemon has, for StaleLimit: such a controller would not tell of a newer version.
func (w *watch) handleHeartbeat(heartbeat wire.Heartbeat, now time.Time) error {
	s := w.subscriber
	s.lag.hear(heartbeat.Version, now)
	if heartbeat.Fresh && heartbeat.Version >= s.heldVersion() {
		w.staleSince = time.Time{}
		s.standby.Store(&standby{w.controller, now})
		return nil
	}
	s.standby.Store(nil)
	if w.staleSince.IsZero() {
		w.staleSince = now
	}
	if now.Sub(w.staleSince) >= StaleLimit {
		return errWatchLagging
	}
	return nil
}

// check ends the watch if it no longer serves its purpose or the daemon has to move to the watched controller. Otherwise it sets
// the time of the next check.
func (w *watch) check(now time.Time) error {
	s := w.subscriber
	own, connected := s.moves.current()
	if connected && (own.Addr == w.controller.Addr || s.shouldWatchOwnDomain(own, w.controller)) {
		return errRewatch
	}
	s.lag.hear(0, now) // a version heard of while the daemon lacked an older one counts from now
	version, at, ok := s.lag.due()
	if !ok {
		w.due = nil
		return nil
	}
	if at.After(now) {
		w.due = time.After(at.Sub(now))
		return nil
	}
	if s.isReceiving(version) {
		w.due = time.After(catchUpLimit)
		return nil
	}
	s.log.Info("moving to a controller with a newer version", "version", version, "held", s.heldVersion(), "to", w.controller.Addr)
	if connected {
		s.watchFailures[own.Addr] = now // it would not tell of a newer version
	}
	s.lag.move(now)
	s.moves.request(w.controller)
	return errRewatch
}

// isReceiving reports whether the daemon's own controller has announced the version or has sent it.
func (s *Subscriber) isReceiving(version uint64) bool {
	c := s.session.Load()
	return c != nil && c.announced.Load() >= version
}
