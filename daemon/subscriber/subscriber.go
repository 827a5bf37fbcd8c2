// Package subscriber keeps a session to a controller and holds the snapshot in effect.
package subscriber

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/waiter"
	"bluebellhoist/core/wire"
)

const (
	// StaleLimit is how long a controller may lack a majority before the daemon tries another.
	StaleLimit = time.Second
	// AnswerLimit is the time after which an unanswered request makes a session without any other frame suspect.
	AnswerLimit = 900 * time.Millisecond

	minBackoff = 200 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
	// roundPause bounds the jitter between two controllers of one round.
	roundPause = 100 * time.Millisecond
	// dialTimeout lets a daemon find a controller within the 14 s for a change when the VM of its own has died, which
	// takes framer.SilenceLimit to notice, and 8 further ones of 12 with it; with more no majority is left.
	dialTimeout = 500 * time.Millisecond
)

// Errors of this layer.
var (
	ErrDisconnected = errors.New("no session to a controller")
	ErrRefused      = errors.New("controller refused the request")
	ErrSession      = errors.New("session ended")
	ErrRejected     = errors.New("update rejected")
	ErrStore        = errors.New("snapshot store failed")
)

// Controller is one controller that a daemon may connect to.
type Controller struct {
	Addr   netip.AddrPort `json:"addr"`
	Domain string         `json:"domain"`
	Region string         `json:"region"` // optional
}

// Subscriber follows the configuration of one batch.
type Subscriber struct {
	name        string
	domain      string
	region      string
	batch       string
	controllers []Controller
	source      func() []Controller
	store       store
	random      *rand.Rand
	log         hclog.Logger
	failed      map[netip.AddrPort]time.Time // ends of sessions with controllers of the own failure domain; belongs to Run
	dial        func(context.Context, netip.AddrPort) (net.Conn, error)

	held    atomic.Pointer[compiler.Snapshot]
	session atomic.Pointer[session]
}

// Option sets up a Subscriber.
type Option func(*Subscriber)

// WithName sets the name, failure domain and batch of the daemon.
func WithName(name, domain, batch string) Option {
	return func(s *Subscriber) { s.name, s.domain, s.batch = name, domain, batch }
}

// WithRegion sets the region of the daemon, whose controllers come before those of other regions.
func WithRegion(region string) Option {
	return func(s *Subscriber) { s.region = region }
}

// WithControllers sets the controllers to choose from.
func WithControllers(controllers ...Controller) Option {
	return func(s *Subscriber) { s.controllers = controllers }
}

// WithSource sets a function that returns further controllers, as they are known now.
func WithSource(source func() []Controller) Option {
	return func(s *Subscriber) { s.source = source }
}

// WithFolder sets the data folder that keeps the snapshot over a restart.
func WithFolder(folder string) Option {
	return func(s *Subscriber) { s.store = store{folder: folder} }
}

// WithRandom sets the source of jitter.
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

// New returns a subscriber. WithName and WithControllers are required.
func New(opts ...Option) *Subscriber {
	s := &Subscriber{
		source: func() []Controller { return nil },
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		log:    hclog.NewNullLogger(),
		failed: map[netip.AddrPort]time.Time{},
		dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Held returns the snapshot in effect, or nil before the first.
func (s *Subscriber) Held() *compiler.Snapshot {
	return s.held.Load()
}

// Run follows the configuration until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	s.restore()
	backoff := minBackoff
	for {
		established, err := s.round(ctx)
		if err != nil {
			return err
		}
		if established {
			backoff = minBackoff
		}
		// Full jitter spreads the reconnects of all daemons when the controllers die.
		if err := s.pause(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// round tries each controller once and reports whether any answered. It ends early when there is a reason to begin anew
// with those of the own failure domain.
func (s *Subscriber) round(ctx context.Context) (bool, error) {
	answered := false
	tried := false // one of the own failure domain
	for _, c := range s.order() {
		established, err := s.visit(ctx, c, tried)
		answered = answered || established
		var referred *referral
		if errors.As(err, &referred) {
			tried = true
			established, err = s.follow(ctx, c, referred.to)
			answered = answered || established
		}
		if ctx.Err() != nil || errors.Is(err, errNearer) {
			return answered, ctx.Err()
		}
		tried = tried || s.near(c)
		if err := s.pause(ctx, roundPause); err != nil {
			return answered, err
		}
	}
	return answered, nil
}

// follow runs a session with the controller that another one has named, or else with that one.
func (s *Subscriber) follow(ctx context.Context, from, to Controller) (bool, error) {
	established, err := s.visit(ctx, to, true)
	if established || ctx.Err() != nil {
		return established, err
	}
	return s.visit(ctx, from, true)
}

// visit runs one session and tells how it ended.
func (s *Subscriber) visit(ctx context.Context, c Controller, stay bool) (bool, error) {
	established, err := s.connect(ctx, c, stay)
	s.noteEnd(c, time.Now())
	if ctx.Err() == nil {
		s.log.Info("session ended", "controller", c.Addr, "error", err)
	}
	return established, err
}

func (s *Subscriber) pause(ctx context.Context, limit time.Duration) error {
	return waiter.Sleep(ctx, time.Duration(s.random.Int64N(int64(limit))))
}

// restore puts the stored snapshot in effect. Without a usable one the first session begins with a barrier.
func (s *Subscriber) restore() {
	stored, err := s.store.load()
	switch {
	case err != nil:
		s.log.Error("stored snapshot not used", "error", err)
	case stored == nil:
	case stored.Batch().Name != s.batch:
		s.log.Warn("stored snapshot is of another batch", "stored", stored.Batch().Name, "batch", s.batch)
	default:
		s.publish(stored)
	}
}

// take puts the snapshot of a frame in effect if it is newer and valid.
func (s *Subscriber) take(frame wire.Frame) error {
	next, err := s.build(frame)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrRejected, err)
	}
	held := s.Held()
	if next.Batch().Name != s.batch {
		return fmt.Errorf("%w: batch %q, want %q", ErrRejected, next.Batch().Name, s.batch)
	}
	if held != nil && next.Version() <= held.Version() {
		return fmt.Errorf("%w: version %d, held %d", ErrRejected, next.Version(), held.Version())
	}
	if err := s.keep(next); err != nil {
		return err
	}
	s.publish(next)
	return nil
}

// keep makes the snapshot durable before it is in effect, or a restart could go back to an older one. If that fails, for
// example because the disk is full, no snapshot is kept: a restart then begins with a barrier.
func (s *Subscriber) keep(next *compiler.Snapshot) error {
	err := s.store.save(next)
	if err == nil {
		return nil
	}
	s.log.Error("snapshot not stored", "version", next.Version(), "error", err)
	return s.store.forget()
}

func (s *Subscriber) build(frame wire.Frame) (*compiler.Snapshot, error) {
	if frame.Full != nil {
		return compiler.New(frame.Full.Batch, frame.Full.Sum)
	}
	held := s.Held()
	if held == nil {
		return nil, errors.New("delta without a held snapshot")
	}
	return held.Merge(*frame.Delta)
}

func (s *Subscriber) publish(next *compiler.Snapshot) {
	s.held.Store(next)
	s.log.Info("snapshot in effect", "batch", s.batch, "version", next.Version(), "revision", next.Batch().Revision)
}
