// Package distributor serves daemon sessions: it sends snapshots, deltas and heartbeats, and replies to claims and departures.
package distributor

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/hashicorp/go-hclog"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// MaxUnacknowledged is the maximum number of updates in flight on a session. With a second one the link is busy while the first is
// applied. More would wait in the buffers of the connection, and a daemon on a slow link would fall behind by all of them.
const MaxUnacknowledged = 2

const (
	// barrierTimeout bounds the linearizable read before the first snapshot of a daemon.
	barrierTimeout = 5 * time.Second
	// proposeTimeout is shorter than the time after which a daemon ends a session because a request got no reply.
	proposeTimeout = 700 * time.Millisecond
	// announceBytes is the size from which an update is announced. A daemon then waits for it, although a slow link may need longer
	// than the time after which the daemon moves to another controller that has the version.
	announceBytes = 8 << 10
	// maxFrameBytes bounds a frame from a daemon. The largest one finishes a claim with a body of up to 1 KiB.
	maxFrameBytes = 64 << 10
	// maxProposals bounds the claims in flight per daemon.
	maxProposals = 256
)

// Distributor serves daemon sessions.
type Distributor struct {
	propose func(context.Context, wire.Command) (wire.Result, error)
	barrier func(context.Context) error
	view    func() *registrar.View
	gone    func(daemon string) []wire.Departure
	fresh   func() bool
	referTo func(domain string) (netip.AddrPort, bool)
	log     hclog.Logger
	cache   frameCache
	prover  *prover

	mu       sync.Mutex
	sessions map[*session]struct{}
	closing  bool
	drained  chan struct{} // closed once closing is set and no session is left
}

// Option configures a Distributor.
type Option func(*Distributor)

// WithPropose sets the function that runs a command through the replicated log.
func WithPropose(propose func(context.Context, wire.Command) (wire.Result, error)) Option {
	return func(d *Distributor) { d.propose = propose }
}

// WithBarrier sets the linearizable read that precedes the first snapshot of a daemon that holds none, and the proofs.
func WithBarrier(barrier func(context.Context) error) Option {
	return func(d *Distributor) { d.barrier = barrier }
}

// WithView sets the function that returns the current view of all batches.
func WithView(view func() *registrar.View) Option {
	return func(d *Distributor) { d.view = view }
}

// WithDepartures sets the function that returns the departures of the upstreams on the VM of a daemon.
func WithDepartures(gone func(daemon string) []wire.Departure) Option {
	return func(d *Distributor) { d.gone = gone }
}

// WithFresh sets the function that reports whether this controller holds every acknowledged change but the most
// recent ones. Daemons leave one that does not.
func WithFresh(fresh func() bool) Option {
	return func(d *Distributor) { d.fresh = fresh }
}

// WithReferral sets the function that selects a controller in the failure domain of a daemon, to which the daemon is
// referred. It returns false if this node is in that failure domain itself or no other controller there is known.
func WithReferral(referTo func(domain string) (netip.AddrPort, bool)) Option {
	return func(d *Distributor) { d.referTo = referTo }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(d *Distributor) { d.log = log }
}

// New returns a Distributor. WithPropose, WithBarrier, WithView and WithFresh are required.
func New(opts ...Option) *Distributor {
	d := &Distributor{
		gone:     func(string) []wire.Departure { return nil },
		referTo:  func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		log:      hclog.NewNullLogger(),
		sessions: map[*session]struct{}{},
		drained:  make(chan struct{}),
		prover:   newProver(),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.prover.barrier = d.barrier
	return d
}

// Run answers the asks of daemons for a proof until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	return d.prover.run(ctx)
}

// ServeHTTP serves one daemon session until it ends.
func (d *Distributor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		d.log.Debug("WebSocket handshake failed", "remote", r.RemoteAddr, "error", err)
		return
	}
	s := newSession(d, framer.New(conn, framer.WithLimit(maxFrameBytes)))
	if !d.add(s) {
		_ = conn.Close(websocket.StatusGoingAway, "controller is stopping")
		return
	}
	defer d.remove(s)
	err = s.run(r.Context())
	d.log.Debug("session ended", "remote", r.RemoteAddr, "error", err)
}

// Close tells all daemons to reconnect to another controller and returns once all sessions have ended.
func (d *Distributor) Close(ctx context.Context) error {
	d.mu.Lock()
	if !d.closing {
		d.closing = true
		for s := range d.sessions {
			close(s.stopping)
		}
		if len(d.sessions) == 0 {
			close(d.drained)
		}
	}
	d.mu.Unlock()
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Daemons returns the connected daemons, sorted by name.
func (d *Distributor) Daemons() []presenter.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]presenter.Daemon, 0, len(d.sessions))
	for s := range d.sessions {
		if hello := s.hello.Load(); hello != nil && !hello.Watch {
			all = append(all, presenter.Daemon{Name: hello.Name, Domain: hello.Domain, Batch: hello.Batch, Held: s.heldVersion.Load()})
		}
	}
	slices.SortFunc(all, func(a, b presenter.Daemon) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// add registers a session, or returns false if the distributor is closing.
func (d *Distributor) add(s *session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return false
	}
	d.sessions[s] = struct{}{}
	return true
}

// remove unregisters a session that has ended.
func (d *Distributor) remove(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sessions, s)
	d.prover.forget(s)
	if d.closing && len(d.sessions) == 0 {
		close(d.drained)
	}
}
