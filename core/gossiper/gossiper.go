// Package gossiper maintains the membership of daemons, their upstreams and controllers with a SWIM-style gossip protocol:
// random probes and pushed updates over datagrams, and periodic anti-entropy exchanges of the whole table.
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

// ErrUnconfirmed reports that too few members acknowledged a leave.
var ErrUnconfirmed = errors.New("leave not confirmed by other members")

// ErrSelf reports that the own entry is invalid and other members would reject it.
var ErrSelf = errors.New("invalid own membership entry")

const (
	tickInterval        = 200 * time.Millisecond // period of pushes and deadline checks
	probeInterval       = time.Second
	directTimeout       = 400 * time.Millisecond // without an ack by then, a probe also goes through relays
	suspicionTimeout    = 4 * time.Second
	suspectPingDelay    = 1500 * time.Millisecond // a refutation normally arrives sooner
	suspectPingInterval = 800 * time.Millisecond
	maxExchangeInterval = 30 * time.Second       // average period of exchanges once the table has converged
	reconnectInterval   = 5 * time.Second        // average period of pings to dead members and unreachable seeds
	joinTimeout         = 400 * time.Millisecond // a seed's VM may be powered off; the next attempt picks a seed again
	minExchangeInterval = 300 * time.Millisecond // doubles up to maxExchangeInterval: when many start at once, the first exchange finds few members
	exchangeTimeout     = 5 * time.Second
	leaveTimeout        = 5 * time.Second
	burstInterval       = 100 * time.Millisecond // limits the rate at which two members with the same name refute each other

	indirectProbes = 3
	pushFanout     = 3
	// backlogPushFanout is used instead of pushFanout while the queue is backlogged and exchanges spread most entries.
	backlogPushFanout     = 1
	discardPeriod         = time.Second // long enough to drain the datagrams buffered in the socket
	burstFanout           = 6
	leaveFanout           = 8
	leaveQuorum           = 4
	inboxLength           = 512
	maxSuspectPings       = 4  // suspects pinged per tick; limits the traffic when a failure domain is lost
	maxRefutationRequests = 64 // members asked to refute a report of their death, per message received
)

// Gossiper maintains the membership. Run owns its state; the exported methods are safe for concurrent use.
type Gossiper struct {
	send          func(netip.AddrPort, []byte) error
	exchange      func(context.Context, netip.AddrPort, wire.Gossip) (wire.Gossip, error)
	departed      func(wire.Departure)
	seeds         []netip.AddrPort
	deadRetention time.Duration
	leftRetention time.Duration
	rand          *rand.Rand
	log           hclog.Logger

	members atomic.Pointer[[]wire.Member]
	inbox   chan datagram
	wake    chan struct{}
	done    chan struct{}

	recovered      chan struct{} // closed when the round of startRecovery has ended
	remembered     chan struct{} // see Remembered
	rememberedOnce sync.Once
	started        time.Time

	mu      sync.Mutex
	actions []func()

	// The fields below are owned by the goroutine of Run.
	self             *entry
	table            *table
	queue            *updateQueue
	crossDomain      crossDomainUpdates
	publishPending   bool
	lastPublish      time.Time
	lastTick         time.Time
	nextProbe        time.Time
	nextExchange     time.Time
	exchangeInterval time.Duration
	exchanges        int // due exchanges since the join
	nextReconnect    time.Time
	nextJoin         time.Time
	joinBackoff      time.Duration
	lastBurst        time.Time
	seq              uint64
	probe            *probe
	probeRound       []string // names not yet probed in the current round
	priorityProbes   []string // names to probe before the rest of the round
	relayedPings     map[uint64]relayedPing
	exchangeInFlight bool
	joined           bool
	unconverged      bool             // the last exchange changed many entries, so the tables still differ
	expedited        bool             // the next exchange has already been brought forward
	discardUntil     time.Time        // datagrams received before this time are discarded
	rejoinAddrs      []netip.AddrPort // addresses of members removed after a long stall, used like seeds
	recoveredPeer    netip.AddrPort   // member of another failure domain that was dead here and has sent a message since
	pendingLeave     *leaveRequest
	rounds           []*round // rounds of pings that have not ended
}

type datagram struct {
	from netip.AddrPort
	msg  wire.Gossip
}

// New returns a gossiper whose table holds only its own entry.
func New(opts ...Option) *Gossiper {
	g := &Gossiper{
		deadRetention: 24 * time.Hour,
		leftRetention: time.Hour,

		send: func(netip.AddrPort, []byte) error { return nil },
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		log:  hclog.NewNullLogger(),

		inbox: make(chan datagram, inboxLength),
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),

		departed:  func(wire.Departure) {},
		recovered: make(chan struct{}),

		remembered: make(chan struct{}),
		started:    time.Now(),

		self:         &entry{},
		table:        newTable(),
		queue:        newUpdateQueue(),
		relayedPings: map[uint64]relayedPing{},
	}
	for _, opt := range opts {
		opt(g)
	}
	if g.self.Incarnation == 0 {
		g.self.Incarnation = uint64(time.Now().UnixMilli())
	}
	g.self.State = wire.Alive
	g.table.put(g.self)
	g.crossDomain.add(g.self.Name)
	g.publish()
	return g
}

// Members returns all known members in any state, including this one, sorted by name. The caller must not change the
// returned slice.
func (g *Gossiper) Members() []wire.Member {
	return *g.members.Load()
}

// Update changes the own entry. Changes to its name, incarnation and state are ignored.
func (g *Gossiper) Update(change func(*wire.Member)) {
	g.enqueueAction(func() { g.update(change) })
}

// SetSeeds replaces the seed addresses, which the member uses to join and to reconnect after a partition.
func (g *Gossiper) SetSeeds(seeds []netip.AddrPort) {
	g.enqueueAction(func() { g.seeds = seeds })
}

// Deliver queues one received datagram. It drops malformed datagrams, and all datagrams while the inbox is full.
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

// enqueueAction queues f to run on the goroutine of Run.
func (g *Gossiper) enqueueAction(f func()) {
	g.mu.Lock()
	g.actions = append(g.actions, f)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
