package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

// cluster is three controllers on a network that drops, delays and duplicates packets.
type cluster struct {
	t      *testing.T
	folder string

	mu       sync.Mutex
	random   *rand.Rand
	nodes    []*node
	isolated map[int]bool // nodes that exchange no packets with others
	withheld map[int]bool // nodes that get no packets with entries
	quotas   bool         // nodes that start have quotas
}

// node is a controller that may be down, in which case runner is nil.
type node struct {
	settings Settings
	mu       sync.Mutex
	runner   *Runner
	handler  http.Handler
	cancel   context.CancelFunc
	done     chan error
}

const clusterSize = 3

// newCluster starts a cluster whose packet faults follow from seed.
func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, folder: t.TempDir(), random: rand.New(rand.NewPCG(seed, seed)), isolated: map[int]bool{}, withheld: map[int]bool{}}
	var peers []netip.AddrPort
	for i := range clusterSize {
		peers = append(peers, address(i))
	}
	for i := range clusterSize {
		c.nodes = append(c.nodes, &node{settings: Settings{
			Name: fmt.Sprintf("c%d", i), Domain: fmt.Sprintf("f%d", i), Listen: address(i), Peers: peers,
			Data: filepath.Join(c.folder, fmt.Sprint(i)), Voter: true,
		}})
	}
	if _, err := storer.InitCluster(c.nodes[0].settings.Data, c.nodes[0].settings.Node()); err != nil {
		t.Fatal(err)
	}
	for i := range clusterSize {
		c.start(i)
	}
	t.Cleanup(func() {
		for i := range clusterSize {
			c.crash(i)
		}
	})
	return c
}

// address returns the address of a node, whose port is its number plus one.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
}

func (c *cluster) start(i int) {
	n := c.nodes[i]
	store, err := storer.Open(n.settings.Data, n.settings.Name)
	if err != nil {
		c.t.Fatal(err)
	}
	running := newRunner(n.settings, store, hclog.NewNullLogger())
	running.send = func(to netip.AddrPort, p wire.Packet) { c.send(i, int(to.Port())-1, p) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	if c.quotas {
		running.addTestQuota()
	}
	proving := make(chan struct{})
	go func() {
		defer close(proving)
		_ = running.distributor.Run(ctx) // returns the error of ctx
	}()
	renewing := make(chan struct{})
	go func() {
		defer close(renewing)
		running.renewTestQuota(ctx)
	}()
	go func() {
		done <- running.replicator.Run(ctx)
		<-proving
		<-renewing
		_ = store.Close()
		close(done)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runner, n.handler, n.cancel, n.done = running, running.handler(), cancel, done
}

// crash ends a node without a planned stop.
func (c *cluster) crash(i int) {
	n := c.nodes[i]
	n.mu.Lock()
	cancel, done := n.cancel, n.done
	n.runner, n.handler, n.cancel = nil, nil, nil
	n.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	for err := range done {
		if err != nil {
			c.t.Errorf("node %d: %v", i, err)
		}
	}
}

// loseDisk crashes a node and restarts it with an empty data folder.
func (c *cluster) loseDisk(i int) {
	c.crash(i)
	if err := os.RemoveAll(c.nodes[i].settings.Data); err != nil {
		c.t.Fatal(err)
	}
	c.start(i)
}

func (c *cluster) isolate(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[i] = on
}

func (c *cluster) withholdEntries(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withheld[i] = on
}

// send delivers a packet after a random delay of up to 20 ms. It drops one packet in fifty and duplicates one in fifty.
func (c *cluster) send(from, to int, p wire.Packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated[from] || c.isolated[to] || c.withheld[to] && len(p.Entries) > 0 || c.random.IntN(50) == 0 {
		return
	}
	c.deliver(to, p)
	if c.random.IntN(50) == 0 {
		c.deliver(to, p)
	}
}

func (c *cluster) deliver(to int, p wire.Packet) {
	time.AfterFunc(time.Duration(c.random.Int64N(int64(20*time.Millisecond))), func() {
		if running := c.nodes[to].currentRunner(); running != nil {
			running.replicator.Deliver(p)
		}
	})
}

func (n *node) currentRunner() *Runner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runner
}

func (n *node) currentHandler() http.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handler
}

// voters returns the number of running nodes that consider themselves voters.
func (c *cluster) voters() int {
	count := 0
	for _, n := range c.nodes {
		if running := n.currentRunner(); running != nil && running.replicator.Status().Self.Voter {
			count++
		}
	}
	return count
}

// awaitVoters waits until all nodes are voters.
func (c *cluster) awaitVoters() {
	for c.voters() < clusterSize {
		time.Sleep(100 * time.Millisecond)
	}
}
