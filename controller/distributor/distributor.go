// Package distributor serves the sessions of daemons: snapshots, deltas, beats and claims.
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

const (
	barrierTimeout = 5 * time.Second
	// proposeTimeout is shorter than the time after which a daemon takes an unanswered request for a dead session.
	proposeTimeout = 700 * time.Millisecond
	// readLimit bounds a frame from a daemon in bytes; the largest one finishes a claim with a body of 1 KiB.
	readLimit = 64 << 10
	// proposalLimit is how many claims of one daemon may be in progress at once.
	proposalLimit = 256
)

// Distributor serves daemon sessions.
type Distributor struct {
	propose func(context.Context, wire.Command) (wire.Result, error)
	barrier func(context.Context) error
	view    func() *registrar.View
	fresh   func() bool
	nearer  func(domain string) (netip.AddrPort, bool)
	log     hclog.Logger
	frames  frames

	mu       sync.Mutex
	sessions map[*session]struct{}
	closing  bool
	ended    chan struct{} // closed once closing is set and no session is left
}

// Option sets up a Distributor.
type Option func(*Distributor)

// WithPropose sets the function that runs a command through the replicated log.
func WithPropose(propose func(context.Context, wire.Command) (wire.Result, error)) Option {
	return func(d *Distributor) { d.propose = propose }
}

// WithBarrier sets the linearizable read that precedes the first snapshot of a restarted daemon.
func WithBarrier(barrier func(context.Context) error) Option {
	return func(d *Distributor) { d.barrier = barrier }
}

// WithView sets the source of batches.
func WithView(view func() *registrar.View) Option {
	return func(d *Distributor) { d.view = view }
}

// WithFresh sets the function that tells whether a leader with a majority was heard from lately.
func WithFresh(fresh func() bool) Option {
	return func(d *Distributor) { d.fresh = fresh }
}

// WithNearer sets the function that names another controller, in the failure domain of a daemon, if there is one and this
// node is in another one.
func WithNearer(nearer func(domain string) (netip.AddrPort, bool)) Option {
	return func(d *Distributor) { d.nearer = nearer }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(d *Distributor) { d.log = log }
}

// New returns a distributor. WithPropose, WithBarrier, WithView and WithFresh are required.
func New(opts ...Option) *Distributor {
	d := &Distributor{
		nearer:   func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		log:      hclog.NewNullLogger(),
		sessions: map[*session]struct{}{},
		ended:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// ServeHTTP runs one session of a daemon until it ends.
func (d *Distributor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		d.log.Debug("session not accepted", "remote", r.RemoteAddr, "error", err)
		return
	}
	s := newSession(d, framer.New(conn, framer.WithLimit(readLimit)))
	if !d.add(s) {
		_ = conn.Close(websocket.StatusGoingAway, "controller is stopping")
		return
	}
	defer d.remove(s)
	err = s.run(r.Context())
	d.log.Debug("session ended", "remote", r.RemoteAddr, "error", err)
}

// Close tells every daemon to reconnect elsewhere and returns once all sessions have ended.
func (d *Distributor) Close(ctx context.Context) error {
	d.mu.Lock()
	if !d.closing {
		d.closing = true
		for s := range d.sessions {
			close(s.bye)
		}
		if len(d.sessions) == 0 {
			close(d.ended)
		}
	}
	d.mu.Unlock()
	select {
	case <-d.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Daemons returns the connected daemons in order of name.
func (d *Distributor) Daemons() []presenter.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]presenter.Daemon, 0, len(d.sessions))
	for s := range d.sessions {
		if hello := s.hello.Load(); hello != nil {
			all = append(all, presenter.Daemon{Name: hello.Name, Domain: hello.Domain, Batch: hello.Batch, Held: s.held.Load()})
		}
	}
	slices.SortFunc(all, func(a, b presenter.Daemon) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (d *Distributor) add(s *session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return false
	}
	d.sessions[s] = struct{}{}
	return true
}

func (d *Distributor) remove(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sessions, s)
	if d.closing && len(d.sessions) == 0 {
		close(d.ended)
	}
}
