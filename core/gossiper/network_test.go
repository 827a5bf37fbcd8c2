package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/gossiper"
	"bluebellhoist/core/wire"
)

// network connects gossipers in memory and simulates delay, loss, duplication and partitions.
type network struct {
	t        *testing.T
	seed     uint64
	lossRate float64

	deadRetention, leftRetention time.Duration
	seeds                        []netip.AddrPort
	domains                      int  // number of failure domains, assigned to nodes round-robin
	exchangesBroken              bool // guarded by mu
	noRefusals                   bool // an exchange with a stopped node times out instead of failing immediately

	mu      sync.Mutex
	nodes   map[netip.AddrPort]*node
	blocked func(a, b *node) bool
}

type node struct {
	*gossiper.Gossiper
	name                         string
	index                        int
	addr                         netip.AddrPort
	cancel                       context.CancelFunc
	runErr                       chan error
	running                      chan struct{} // closed unless the node is frozen; guarded by network.mu
	buffered                     atomic.Int32
	datagrams                    atomic.Int64
	datagramBytes, exchangeBytes atomic.Int64 // bytes sent in datagrams and in exchanges
	crossDomainBytes             atomic.Int64 // bytes sent to other failure domains, including headers
}

// eachLayout runs f as parallel subtests, with all nodes in one failure domain and with nodes spread over four.
func eachLayout(t *testing.T, f func(t *testing.T, domains int)) {
	t.Parallel()
	for _, domains := range []int{1, 4} {
		t.Run(fmt.Sprint(domains, " domains"), func(t *testing.T) {
			t.Parallel()
			f(t, domains)
		})
	}
}

func newNetwork(t *testing.T, seed uint64, lossRate float64, domains int) *network {
	return &network{t: t, seed: seed, lossRate: lossRate, domains: domains, deadRetention: 24 * time.Hour, leftRetention: time.Hour,
		seeds: []netip.AddrPort{address(0), address(1), address(2)},
		nodes: map[netip.AddrPort]*node{}, blocked: func(_, _ *node) bool { return false }}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7001)
}

// start creates node i and runs it in a goroutine.
func (n *network) start(i int, incarnation uint64) *node {
	x := &node{name: fmt.Sprintf("node-%04d", i), index: i, addr: address(i), runErr: make(chan error, 1), running: make(chan struct{})}
	close(x.running)
	r := rand.New(rand.NewPCG(n.seed, uint64(i)))
	x.Gossiper = gossiper.New(
		gossiper.WithSelf(wire.Member{Name: x.name, Domain: n.domain(i), Addr: x.addr, Service: "payout", Slots: 20, Ready: true, Incarnation: incarnation}),
		gossiper.WithSeeds(n.seeds),
		gossiper.WithRetention(n.deadRetention, n.leftRetention),
		gossiper.WithRandom(rand.New(rand.NewPCG(n.seed, uint64(i)+1<<32))),
		gossiper.WithSend(func(to netip.AddrPort, data []byte) error { return n.send(x, r, to, data) }),
		gossiper.WithExchange(func(ctx context.Context, to netip.AddrPort, msg wire.Gossip) (wire.Gossip, error) {
			return n.exchange(ctx, x, to, msg)
		}))
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(context.Background())
	n.mu.Lock()
	n.nodes[x.addr] = x
	n.mu.Unlock()
	go func() { x.runErr <- x.Run(ctx) }()
	return x
}

func (n *network) domain(i int) string {
	return fmt.Sprint("domain-", i%n.domains)
}

func (n *network) kill(x *node) {
	n.mu.Lock()
	delete(n.nodes, x.addr)
	n.mu.Unlock()
	x.cancel()
	<-x.runErr
}

func (n *network) partition(blocked func(a, b *node) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

// freeze blocks the goroutine of x when it next sends a datagram, until the returned function is called. Datagrams for x
// wait in a bounded buffer meanwhile.
func (n *network) freeze(x *node) (thaw func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	frozen := make(chan struct{})
	x.running = frozen
	return sync.OnceFunc(func() { close(frozen) })
}

func (n *network) stop() {
	for _, x := range n.nodes {
		n.kill(x)
	}
}

func (n *network) reachableNode(x *node, to netip.AddrPort) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	y := n.nodes[to]
	if y == nil || n.blocked(x, y) {
		return nil
	}
	return y
}

func (n *network) runningSignal(x *node) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return x.running
}

// send delivers a datagram from x with simulated delay, loss and duplication. It runs on the goroutine of x, so the random
// source needs no lock.
func (n *network) send(x *node, r *rand.Rand, to netip.AddrPort, data []byte) error {
	<-n.runningSignal(x)
	x.datagrams.Add(1)
	x.datagramBytes.Add(int64(len(data)))
	n.countCrossDomain(x, to, len(data)+udpHeaders)
	if len(data) > gossiper.MaxDatagram {
		n.t.Errorf("datagram of %d bytes", len(data))
	}
	copies := 1
	if r.Float64() < n.lossRate {
		copies = 0
	} else if r.Float64() < n.lossRate/4 {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(r.IntN(2_000_000))
		if r.Float64() < n.lossRate/4 {
			delay += time.Duration(r.IntN(2_000_000_000)) // delayed and reordered
		}
		time.AfterFunc(delay, func() {
			if y := n.reachableNode(x, to); y != nil {
				n.deliver(x, y, data)
			}
		})
	}
	return nil
}

// deliver buffers up to 64 datagrams for a frozen node, like a socket buffer, and drops the rest.
func (n *network) deliver(x, y *node, data []byte) {
	thawed := n.runningSignal(y)
	if y.buffered.Add(1) <= 64 {
		<-thawed
		y.Deliver(x.addr, data)
	}
	y.buffered.Add(-1)
}

func (n *network) exchangesFail() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exchangesBroken
}

func (n *network) breakExchanges() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exchangesBroken = true
}

func (n *network) exchange(ctx context.Context, x *node, to netip.AddrPort, msg wire.Gossip) (wire.Gossip, error) {
	select {
	case <-time.After(3 * time.Millisecond):
	case <-ctx.Done():
	}
	y := n.reachableNode(x, to)
	if y == nil && n.noRefusals {
		<-ctx.Done() // a VM that is powered off does not refuse connections
	}
	if y == nil || ctx.Err() != nil || n.exchangesFail() {
		return wire.Gossip{}, errors.New("unreachable")
	}
	reply := y.HandleExchange(msg)
	x.exchangeBytes.Add(encodedSize(msg))
	y.exchangeBytes.Add(encodedSize(reply))
	n.countCrossDomain(x, to, compressedSize(msg)+compressedSize(reply)+exchangeHeaders)
	return reply, nil
}

// countCrossDomain counts bytes that x sends to an address in another failure domain.
func (n *network) countCrossDomain(x *node, to netip.AddrPort, bytes int) {
	i := to.Addr().As4()
	if n.domain(int(i[1])<<16|int(i[2])<<8|int(i[3])) != n.domain(x.index) {
		x.crossDomainBytes.Add(int64(bytes))
	}
}

func compressedSize(msg wire.Gossip) int {
	data, err := encoder.Marshal(msg)
	if err != nil {
		panic(err)
	}
	return len(encoder.Compress(data))
}

func encodedSize(msg wire.Gossip) int64 {
	data, err := encoder.Marshal(msg)
	if err != nil {
		panic(err)
	}
	return int64(len(data))
}

// runMesh starts count nodes in a synctest bubble and calls f once all of them know each other.
func (n *network) runMesh(count int, f func(n *network, nodes []*node)) {
	synctest.Test(n.t, func(t *testing.T) {
		n.t = t
		defer n.stop()
		var nodes []*node
		for i := range count {
			nodes = append(nodes, n.start(i, 0))
		}
		n.waitUntil(2*time.Minute, fmt.Sprint(count, " members joined"), func(x *node) bool { return countAlive(x) == count })
		f(n, nodes)
	})
}

// waitUntil waits until cond returns true for every node and logs the elapsed time. It fails the test after limit.
func (n *network) waitUntil(limit time.Duration, what string, cond func(*node) bool) {
	n.t.Helper()
	start := time.Now()
	for {
		synctest.Wait()
		failing := ""
		for _, x := range n.nodes {
			if !cond(x) {
				failing = x.name
			}
		}
		if failing == "" {
			n.t.Logf("%s on all nodes after %s", what, time.Since(start))
			return
		}
		if time.Since(start) >= limit {
			n.t.Fatalf("after %s, condition not met on %s: %s", limit, failing, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// requireNoneDead fails the test if x considers any of the selected members dead.
func (n *network) requireNoneDead(x *node, selected func(wire.Member) bool) {
	n.t.Helper()
	for _, m := range x.Members() {
		if m.State == wire.Dead && selected(m) {
			n.t.Fatalf("%s considers %s dead", x.name, m.Name)
		}
	}
}

func countAlive(x *node) int {
	count := 0
	for _, m := range x.Members() {
		if m.State == wire.Alive {
			count++
		}
	}
	return count
}

func lookup(x interface{ Members() []wire.Member }, name string) wire.Member {
	for _, m := range x.Members() {
		if m.Name == name {
			return m
		}
	}
	return wire.Member{}
}
