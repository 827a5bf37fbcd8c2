// Package subscriber keeps a session with a controller open and holds the configuration snapshot in effect.
package subscriber

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
)

const (
	// StaleLimit is how long a controller may lack a majority before the daemon tries another one.
	StaleLimit = time.Second
	// AnswerLimit is the time after which an unanswered request ends a session on which no data has arrived.
	AnswerLimit = 900 * time.Millisecond

	minBackoff = 200 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
	// maxAttemptDelay bounds the jitter between attempts at two controllers of one round.
	maxAttemptDelay = 100 * time.Millisecond
	// dialTimeout allows for 9 dead controller VMs of 12: the daemon must find a live one within the 14 s allowed for a
	// change. The first is detected after framer.ReceiveTimeout, and dialing each of the other 8 takes dialTimeout. If
	// more die, no majority is left.
	dialTimeout = 500 * time.Millisecond
)

// Errors of a Subscriber.
var (
	ErrDisconnected = errors.New("no session to a controller")
	ErrRefused      = errors.New("controller refused the request")
	ErrSession      = errors.New("session ended")
	ErrRejected     = errors.New("update rejected")
	ErrStore        = errors.New("snapshot store failed")
)

// Controller is a controller that a daemon may connect to.
type Controller struct {
	Addr   netip.AddrPort `json:"addr"`
	Domain string         `json:"domain"`
	Region string         `json:"region"` // optional
}

// Subscriber follows the configuration of one batch. It holds at most one session at a time, and watches a second controller to
// hear of versions that the session does not bring.
type Subscriber struct {
	name           string
	domain         string
	region         string
	batch          string
	controllers    []Controller
	discover       func() []Controller
	store          store
	random         *rand.Rand
	log            hclog.Logger
	lastSessionEnd map[netip.AddrPort]time.Time // last session end by controller of the own failure domain; used by Run only
	// leftLagging holds when the daemon left a controller because it lacked a majority or a version; used by Run only.
	leftLagging map[netip.AddrPort]time.Time
	dial        func(context.Context, netip.AddrPort) (net.Conn, error)

	moves   *mover
	lag     lag
	standby atomic.Pointer[standby] // nil if there is none
	// watchFailures holds when the watch of a controller failed or the daemon left it lagging; used by the watches only.
	watchFailures map[netip.AddrPort]time.Time

	departed      func([]wire.Departure)
	recovered     chan struct{} // closed once the departures are known
	recoveredOnce sync.Once

	clock        func() (time.Duration, error) // for proofs
	proofsNeeded func() bool

	snapshot atomic.Pointer[compiler.Snapshot]
	proof    atomic.Pointer[proof] // latest proof
	session  atomic.Pointer[session]
}

// Option configures a Subscriber.
type Option func(*Subscriber)

// WithIdentity sets the name, the failure domain and the batch of the daemon.
func WithIdentity(name, domain, batch string) Option {
	return func(s *Subscriber) { s.name, s.domain, s.batch = name, domain, batch }
}

// WithRegion sets the region of the daemon. Controllers of this region are preferred to those of other regions.
func WithRegion(region string) Option {
	return func(s *Subscriber) { s.region = region }
}

// WithControllers sets the configured controllers.
func WithControllers(controllers ...Controller) Option {
	return func(s *Subscriber) { s.controllers = controllers }
}

// WithDiscovery sets a function that returns the controllers discovered so far, in addition to the configured ones.
func WithDiscovery(discover func() []Controller) Option {
	return func(s *Subscriber) { s.discover = discover }
}

// WithFolder sets the data folder that keeps the snapshot across restarts.
func WithFolder(folder string) Option {
	return func(s *Subscriber) { s.store = store{folder: folder} }
}

// WithDepartures sets the function that receives the departures of the upstreams on this VM that the replicated log holds.
func WithDepartures(departed func([]wire.Departure)) Option {
	return func(s *Subscriber) { s.departed = departed }
}

// WithRandom sets the random source for jitter and for the order of controllers.
func WithRandom(random *rand.Rand) Option {
	return func(s *Subscriber) { s.random = random }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(s *Subscriber) { s.log = log }
}

// WithDial sets the function that opens connections to controllers.
func WithDial(dial func(context.Context, netip.AddrPort) (net.Conn, error)) Option {
	return func(s *Subscriber) { s.dial = dial }
}

// New returns a subscriber. WithIdentity and WithControllers are required.
func New(opts ...Option) *Subscriber {
	s := &Subscriber{
		discover:       func() []Controller { return nil },
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		log:            hclog.NewNullLogger(),
		lastSessionEnd: map[netip.AddrPort]time.Time{},
		departed:       func([]wire.Departure) {},
		recovered:      make(chan struct{}),

		leftLagging:   map[netip.AddrPort]time.Time{},
		moves:         newMover(),
		watchFailures: map[netip.AddrPort]time.Time{},
		clock:         func() (time.Duration, error) { return 0, errors.New("no clock") },
		proofsNeeded:  func() bool { return false },
		dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Snapshot returns the snapshot in effect, or nil if there is none yet.
func (s *Subscriber) Snapshot() *compiler.Snapshot {
	return s.snapshot.Load()
}

// heldVersion returns the version in effect, or 0 if there is none yet.
func (s *Subscriber) heldVersion() uint64 {
	inEffect := s.Snapshot()
	if inEffect == nil {
		return 0
	}
	return inEffect.Version()
}

// NewestVersion returns the highest version that the daemon holds or has heard of, or 0.
func (s *Subscriber) NewestVersion() uint64 {
	return max(s.heldVersion(), s.lag.latest())
}

// Controller returns the controller that the daemon has a session with, or false without one.
func (s *Subscriber) Controller() (Controller, bool) {
	c := s.session.Load()
	if c == nil {
		return Controller{}, false
	}
	return c.controller, true
}

// Watched returns the controller that the daemon watches beside its own, or false if there is none that can be relied on.
func (s *Subscriber) Watched() (Controller, bool) {
	watched := s.standby.Load()
	if watched == nil {
		return Controller{}, false
	}
	return watched.controller, true
}

// Run puts the stored snapshot in effect and then follows the configuration until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	s.loadStored()
	ctx, cancel := context.WithCancel(ctx)
	watches := make(chan error, 1)
	random := rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
	go func() { watches <- s.runWatches(ctx, random) }()
	err := s.runSessions(ctx)
	cancel()
	<-watches // the error of ctx
	return err
}

// runSessions keeps a session open until ctx ends.
func (s *Subscriber) runSessions(ctx context.Context) error {
	backoff := minBackoff
	for {
		established, err := s.tryControllers(ctx)
		if err != nil {
			return err
		}
		if established {
			backoff = minBackoff
		}
		// Full jitter spreads the reconnects of all daemons after the controllers fail.
		if err := s.pause(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// tryControllers runs one session with each controller in turn and reports whether any session was established. It
// returns early when a session ends for a failback, so that the next round starts with the controllers of the own
// failure domain.
func (s *Subscriber) tryControllers(ctx context.Context) (bool, error) {
	anyEstablished := false
	localTried := false // whether a controller of the own failure domain was selected in this round
	untried := s.rankedControllers()
	for {
		c, moving := s.moves.take()
		switch {
		case moving:
			localTried = true
			untried = slices.DeleteFunc(untried, func(o Controller) bool { return o.Addr == c.Addr })
		case len(untried) == 0:
			return anyEstablished, nil
		default:
			c, untried = s.takeNext(untried, time.Now())
			if anyEstablished && s.lagged(c, time.Now()) {
				return true, nil // the next round starts with those that were left earlier in this one
			}
		}
		established, err := s.runSession(ctx, c, localTried)
		anyEstablished = anyEstablished || established
		var referred *referralError
		if errors.As(err, &referred) {
			localTried = true
			established, err = s.followReferral(ctx, c, referred.to)
			anyEstablished = anyEstablished || established
		}
		if ctx.Err() != nil || errors.Is(err, errFailback) {
			return anyEstablished, ctx.Err()
		}
		localTried = localTried || s.sameDomain(c)
		if err := s.pause(ctx, maxAttemptDelay); err != nil {
			return anyEstablished, err
		}
	}
}

// followReferral runs a session with the controller that a referral names. If no session is established, or that controller
// lacked a majority or a version lately, it runs one with the controller that sent the referral.
func (s *Subscriber) followReferral(ctx context.Context, from, to Controller) (bool, error) {
	if s.lagged(to, time.Now()) {
		return s.runSession(ctx, from, true)
	}
	established, err := s.runSession(ctx, to, true)
	if established || ctx.Err() != nil {
		return established, err
	}
	return s.runSession(ctx, from, true)
}

// runSession runs one session, logs its end, and reports whether it was established and why it ended.
func (s *Subscriber) runSession(ctx context.Context, c Controller, noReferral bool) (bool, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.moves.begin(c, cancel)
	defer s.moves.end()
	established, err := s.serveSession(attemptCtx, c, noReferral)
	if errors.Is(context.Cause(attemptCtx), errBehind) {
		err = fmt.Errorf("%w: %w", ErrSession, errBehind)
	}
	s.recordSessionEnd(c, time.Now())
	if errors.Is(err, errNoMajority) || errors.Is(err, errBehind) {
		s.recordLagging(c, time.Now())
	}
	if ctx.Err() == nil {
		s.log.Info("session ended", "controller", c.Addr, "error", err)
	}
	return established, err
}

// pause waits for a random time below maxDelay, or until the daemon has to move to another controller.
func (s *Subscriber) pause(ctx context.Context, maxDelay time.Duration) error {
	timer := time.NewTimer(time.Duration(s.random.Int64N(int64(maxDelay))))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.moves.wakeable:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loadStored puts the stored snapshot in effect. Without a usable one the first session starts with a barrier.
func (s *Subscriber) loadStored() {
	stored, err := s.store.load()
	switch {
	case err != nil:
		s.log.Error("stored snapshot cannot be loaded", "error", err)
	case stored == nil:
	case stored.Batch().Name != s.batch:
		s.log.Warn("stored snapshot belongs to another batch", "stored", stored.Batch().Name, "batch", s.batch)
	default:
		s.publish(stored)
		s.recoverDepartures(nil) // a data folder with a snapshot has the departures too
	}
}

// applyUpdate puts the snapshot that a frame carries or leads to in effect if it is valid and newer than the one in effect.
func (s *Subscriber) applyUpdate(frame wire.Frame) error {
	next, err := s.buildSnapshot(frame)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrRejected, err)
	}
	inEffect := s.Snapshot()
	if next.Batch().Name != s.batch {
		return fmt.Errorf("%w: batch %q, want %q", ErrRejected, next.Batch().Name, s.batch)
	}
	if inEffect != nil && next.Version() <= inEffect.Version() {
		return fmt.Errorf("%w: version %d, in effect %d", ErrRejected, next.Version(), inEffect.Version())
	}
	if err := s.persist(next); err != nil {
		return err
	}
	s.publish(next)
	return nil
}

// persist stores the snapshot before it takes effect; otherwise a restart could revert to an older one. If the write fails,
// for example because the disk is full, the stored snapshot is removed, so that a restart begins with a barrier.
func (s *Subscriber) persist(next *compiler.Snapshot) error {
	err := s.store.save(next)
	if err == nil {
		return nil
	}
	s.log.Error("snapshot cannot be stored", "version", next.Version(), "error", err)
	return s.store.remove()
}

// buildSnapshot returns the full snapshot in a frame, or the result of its delta on the snapshot in effect.
func (s *Subscriber) buildSnapshot(frame wire.Frame) (*compiler.Snapshot, error) {
	if frame.Full != nil {
		return compiler.New(frame.Full.Batch, frame.Full.Sum)
	}
	inEffect := s.Snapshot()
	if inEffect == nil {
		return nil, errors.New("delta received without a base snapshot")
	}
	return inEffect.Merge(*frame.Delta)
}

// publish puts a snapshot in effect.
func (s *Subscriber) publish(next *compiler.Snapshot) {
	s.snapshot.Store(next)
	wait, known := s.lag.apply(next.Version(), time.Now())
	if known {
		versionWaits.Update(wait.Seconds())
	}
	s.log.Info("snapshot in effect", "batch", s.batch, "version", next.Version(), "revision", next.Batch().Revision)
	if known && wait >= lateAfter {
		s.log.Warn("snapshot in effect late", "version", next.Version(), "wait", wait.String())
	}
}
