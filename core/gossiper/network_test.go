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

// network connects gossipers in memory with delay, loss, doubling and partitions.
type network struct {
	t    *testing.T
	seed uint64
	loss float64

	keepDead, keepLeft time.Duration
	seeds              []netip.AddrPort
	domains            int  // failure domains, over which the nodes are spread in turn
	noExchange         bool // guarded by mu
	silent             bool // an exchange with a node that does not run has no answer, not even a refusal

	mu    sync.Mutex
	nodes map[netip.AddrPort]*node
	cut   func(a, b *node) bool
}

type node struct {
	*gossiper.Gossiper
	name          string
	index         int
	addr          netip.AddrPort
	cancel        context.CancelFunc
	ended         chan error
	frozen        chan struct{} // closed when the node runs; guarded by network.mu
	waiting       atomic.Int32
	datagrams     atomic.Int64
	bytes, synced atomic.Int64 // sent bytes in datagrams and in exchanges
	crossed       atomic.Int64 // those of both that went to another failure domain, with headers of datagrams
}

// eachLayout runs f with all nodes in one failure domain and spread over several, beside other tests.
func eachLayout(t *testing.T, f func(t *testing.T, domains int)) {
	t.Parallel()
	for _, domains := range []int{1, 4} {
		t.Run(fmt.Sprint(domains, " domains"), func(t *testing.T) {
			t.Parallel()
			f(t, domains)
		})
	}
}

func newNetwork(t *testing.T, seed uint64, loss float64, domains int) *network {
	return &network{t: t, seed: seed, loss: loss, domains: domains, keepDead: 24 * time.Hour, keepLeft: time.Hour,
		seeds: []netip.AddrPort{address(0), address(1), address(2)},
		nodes: map[netip.AddrPort]*node{}, cut: func(_, _ *node) bool { return false }}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7001)
}

// start runs node i.
func (n *network) start(i int, inc uint64) *node {
	x := &node{name: fmt.Sprintf("node-%04d", i), index: i, addr: address(i), ended: make(chan error, 1), frozen: make(chan struct{})}
	close(x.frozen)
	r := rand.New(rand.NewPCG(n.seed, uint64(i)))
	x.Gossiper = gossiper.New(
		gossiper.WithSelf(wire.Member{Name: x.name, Domain: n.domain(i), Addr: x.addr, Service: "payout", Slots: 20, Ready: true, Inc: inc}),
		gossiper.WithSeeds(n.seeds),
		gossiper.WithRetention(n.keepDead, n.keepLeft),
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
	go func() { x.ended <- x.Run(ctx) }()
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
	<-x.ended
}

func (n *network) setCut(cut func(a, b *node) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// freeze blocks the goroutine of x at its next datagram and drops what arrives, until the returned function is called.
func (n *network) freeze(x *node) (thaw func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	frozen := make(chan struct{})
	x.frozen = frozen
	return sync.OnceFunc(func() { close(frozen) })
}

func (n *network) stop() {
	for _, x := range n.nodes {
		n.kill(x)
	}
}

func (n *network) route(x *node, to netip.AddrPort) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	y := n.nodes[to]
	if y == nil || n.cut(x, y) {
		return nil
	}
	return y
}

func (n *network) thawed(x *node) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return x.frozen
}

// send runs on the goroutine of x, so that its random source needs no lock.
func (n *network) send(x *node, r *rand.Rand, to netip.AddrPort, data []byte) error {
	<-n.thawed(x)
	x.datagrams.Add(1)
	x.bytes.Add(int64(len(data)))
	n.count(x, to, len(data)+udpHeaders)
	if len(data) > gossiper.MaxDatagram {
		n.t.Errorf("datagram of %d bytes", len(data))
	}
	copies := 1
	if r.Float64() < n.loss {
		copies = 0
	} else if r.Float64() < n.loss/4 {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(r.IntN(2_000_000))
		if r.Float64() < n.loss/4 {
			delay += time.Duration(r.IntN(2_000_000_000)) // delayed and reordered
		}
		time.AfterFunc(delay, func() {
			if y := n.route(x, to); y != nil {
				n.deliver(x, y, data)
			}
		})
	}
	return nil
}

// deliver holds up to 64 datagrams for a frozen node, like a socket's buffer, and drops the rest.
func (n *network) deliver(x, y *node, data []byte) {
	thawed := n.thawed(y)
	if y.waiting.Add(1) <= 64 {
		<-thawed
		y.Deliver(x.addr, data)
	}
	y.waiting.Add(-1)
}

func (n *network) broken() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.noExchange
}

func (n *network) breakExchanges() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noExchange = true
}

func (n *network) exchange(ctx context.Context, x *node, to netip.AddrPort, msg wire.Gossip) (wire.Gossip, error) {
	select {
	case <-time.After(3 * time.Millisecond):
	case <-ctx.Done():
	}
	y := n.route(x, to)
	if y == nil && n.silent {
		<-ctx.Done() // a VM without power refuses nothing
	}
	if y == nil || ctx.Err() != nil || n.broken() {
		return wire.Gossip{}, errors.New("unreachable")
	}
	answer := y.Answer(msg)
	x.synced.Add(encodedSize(msg))
	y.synced.Add(encodedSize(answer))
	n.count(x, to, packedSize(msg)+packedSize(answer)+exchangeHeaders)
	return answer, nil
}

// count notes bytes that go from x to an address if that is in another failure domain.
func (n *network) count(x *node, to netip.AddrPort, bytes int) {
	i := to.Addr().As4()
	if n.domain(int(i[1])<<16|int(i[2])<<8|int(i[3])) != n.domain(x.index) {
		x.crossed.Add(int64(bytes))
	}
}

func packedSize(msg wire.Gossip) int {
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

// run starts count nodes in a bubble of fake time and calls f once they know each other.
func (n *network) run(count int, f func(n *network, nodes []*node)) {
	synctest.Test(n.t, func(t *testing.T) {
		n.t = t
		defer n.stop()
		var nodes []*node
		for i := range count {
			nodes = append(nodes, n.start(i, 0))
		}
		n.until(2*time.Minute, fmt.Sprint(count, " members joined"), func(x *node) bool { return alive(x) == count })
		f(n, nodes)
	})
}

// until waits until cond holds on every node and logs how long it took.
func (n *network) until(limit time.Duration, what string, cond func(*node) bool) {
	n.t.Helper()
	start := time.Now()
	for {
		synctest.Wait()
		missing := ""
		for _, x := range n.nodes {
			if !cond(x) {
				missing = x.name
			}
		}
		if missing == "" {
			n.t.Logf("%s at all after %s", what, time.Since(start))
			return
		}
		if time.Since(start) >= limit {
			n.t.Fatalf("after %s not at %s: %s", limit, missing, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// noneDead fails the test if x holds a member dead that among selects.
func (n *network) noneDead(x *node, among func(wire.Member) bool) {
	n.t.Helper()
	for _, m := range x.Members() {
		if m.State == wire.Dead && among(m) {
			n.t.Fatalf("%s holds %s dead", x.name, m.Name)
		}
	}
}

func alive(x *node) int {
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
