// Package gossiper keeps the membership of daemons and their upstreams with SWIM-style probes over datagrams.
package gossiper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/wire"
)

// ErrUnconfirmed reports that too few members confirmed a leave.
var ErrUnconfirmed = errors.New("leave not confirmed by other members")

// ErrSelf reports an own entry that other members would not accept.
var ErrSelf = errors.New("invalid own entry")

const (
	tick            = 200 * time.Millisecond // period of pushes and of the checks of deadlines
	probeInterval   = time.Second
	directTimeout   = 400 * time.Millisecond // after it a probe also goes through relays
	suspicion       = 4 * time.Second
	confirmAfter    = 1500 * time.Millisecond // a refutation has normally arrived by then
	confirmInterval = 800 * time.Millisecond
	syncInterval    = 30 * time.Second       // period of exchanges
	retryInterval   = 5 * time.Second        // period of pings to dead members
	joinTimeout     = 400 * time.Millisecond // for the answer of a seed, which may have no power; the next one is tried then
	firstSync       = 300 * time.Millisecond // the interval doubles from here: when many start at once, the first exchange finds few members
	exchangeTimeout = 5 * time.Second
	leaveTimeout    = 5 * time.Second
	burstInterval   = 100 * time.Millisecond // two daemons with one name refute each other without end; this limits their rate

	relays     = 3
	pushFanout = 3
	// crowdedFanout is that of pushes while exchanges spread most entries.
	crowdedFanout = 1
	deafTime      = time.Second // covers the datagrams that wait in a socket
	burstFanout   = 6
	leaveFanout   = 8
	leaveQuorum   = 4
	inboxLength   = 512
	confirmLimit  = 4  // suspects pinged in one tick; bounds the traffic when a failure domain is lost
	accusedLimit  = 64 // members told about their accusation in one exchange
)

// Gossiper keeps the membership. Run owns its control state; the exported methods may be called from any goroutine.
type Gossiper struct {
	send     func(netip.AddrPort, []byte) error
	exchange func(context.Context, netip.AddrPort, wire.Gossip) (wire.Gossip, error)
	seeds    []netip.AddrPort
	keepDead time.Duration
	keepLeft time.Duration
	rand     *rand.Rand
	log      hclog.Logger

	members atomic.Pointer[[]wire.Member]
	inbox   chan datagram
	wake    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	actions []func()

	// The fields below belong to the goroutine of Run.
	self      *entry
	table     *table
	queue     *queue
	outbound  outbound
	dirty     bool
	published time.Time
	lastTick  time.Time
	nextProbe time.Time
	nextSync  time.Time
	syncWait  time.Duration
	nextRetry time.Time
	nextJoin  time.Time
	joinWait  time.Duration
	lastBurst time.Time
	seq       uint64
	probe     *probe
	order     []string // names still to be probed in this round
	accused   []string // names probed before the rest of the round
	relayed   map[uint64]relay
	syncing   bool
	synced    bool
	unsettled bool             // the last exchange has changed many entries
	early     bool             // the next exchange has been brought forward
	deafUntil time.Time        // datagrams are dropped until then
	rejoin    []netip.AddrPort // addresses of members forgotten after a long stall
	returned  netip.AddrPort   // member of another failure domain that was dead here and has been heard from
	leaving   *leave
}

type datagram struct {
	from netip.AddrPort
	msg  wire.Gossip
}

// New returns a gossiper that knows only itself.
func New(opts ...Option) *Gossiper {
	g := &Gossiper{
		keepDead: 24 * time.Hour,
		keepLeft: time.Hour,

		send: func(netip.AddrPort, []byte) error { return nil },
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		log:  hclog.NewNullLogger(),

		inbox: make(chan datagram, inboxLength),
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),

		self:    &entry{},
		table:   newTable(),
		queue:   newQueue(),
		relayed: map[uint64]relay{},
	}
	for _, opt := range opts {
		opt(g)
	}
	if g.self.Inc == 0 {
		g.self.Inc = uint64(time.Now().UnixMilli())
	}
	g.self.State = wire.Alive
	g.table.put(g.self)
	g.outbound.add(g.self.Name)
	g.publish()
	return g
}

// Members returns the known members in order of name, in every state and with the daemon itself. It never changes.
func (g *Gossiper) Members() []wire.Member {
	return *g.members.Load()
}

// Update changes the daemon's own entry. Name, incarnation and state stay as they are.
func (g *Gossiper) Update(change func(*wire.Member)) {
	g.do(func() { g.update(change) })
}

// Reseed replaces the addresses through which the daemon joins and finds others again.
func (g *Gossiper) Reseed(seeds []netip.AddrPort) {
	g.do(func() { g.seeds = seeds })
}

// Deliver takes one datagram. It drops malformed ones, and any while too many wait.
func (g *Gossiper) Deliver(from netip.AddrPort, data []byte) {
	msg, err := decode(data)
	if err != nil {
		g.log.Debug("dropped datagram", "from", from, "error", err)
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	select {
	case g.inbox <- datagram{from, msg}:
	default:
	}
}

// do queues f for the goroutine of Run.
func (g *Gossiper) do(f func()) {
	g.mu.Lock()
	g.actions = append(g.actions, f)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
