package replicator_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/controller/replicator"
	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

// group is several nodes in one process with real data folders.
type group struct {
	folder  string
	mu      sync.Mutex
	nodes   map[netip.AddrPort]*replicator.Replicator
	cut     map[netip.AddrPort]bool
	stops   []func()
	last    []uint64 // index last applied, by node
	from    []uint64 // index of the state snapshot restored, by node
	ballast []byte   // rest of each saved state
}

func (g *group) send(from, to netip.AddrPort, p wire.Packet) {
	g.mu.Lock()
	node := g.nodes[to]
	if g.cut[from] || g.cut[to] {
		node = nil
	}
	g.mu.Unlock()
	if node != nil {
		node.Deliver(p)
	}
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func start(tb testing.TB, count int) *group {
	return startWith(tb, count, nil)
}

func startWith(tb testing.TB, count int, ballast []byte) *group {
	g := &group{
		ballast: ballast,
		folder:  tb.TempDir(), nodes: map[netip.AddrPort]*replicator.Replicator{}, cut: map[netip.AddrPort]bool{},
		last: make([]uint64, count), from: make([]uint64, count),
	}
	_, err := storer.Init(g.path(0), wire.Node{Name: "node-0", Addr: addr(0)})
	is.New(tb).NoErr(err)
	for i := range count {
		g.run(tb, i)
	}
	return g
}

func (g *group) path(i int) string {
	return filepath.Join(g.folder, fmt.Sprintf("node-%d", i))
}

// run starts one node from its folder.
func (g *group) run(tb testing.TB, i int) {
	is := is.New(tb)
	node := wire.Node{Name: fmt.Sprintf("node-%d", i), Addr: addr(i), Voter: true}
	store, err := storer.Open(g.path(i), node.Name)
	is.NoErr(err)
	r := replicator.New(
		replicator.WithStore(store), replicator.WithNode(node), replicator.WithSeeds([]netip.AddrPort{addr(0)}),
		replicator.WithSend(func(to netip.AddrPort, p wire.Packet) { g.send(addr(i), to, p) }),
		replicator.WithApply(func(index uint64, _ wire.Command) wire.Result {
			g.last[i] = index
			return wire.Result{Version: index}
		}),
		replicator.WithSave(func() ([]byte, error) {
			return append(binary.LittleEndian.AppendUint64(nil, g.last[i]), g.ballast...), nil
		}),
		replicator.WithRestore(func(state []byte) error {
			g.last[i] = binary.LittleEndian.Uint64(state)
			g.from[i] = g.last[i]
			return nil
		}),
		replicator.WithRandom(rand.New(rand.NewPCG(uint64(i), 1))),
	)
	g.mu.Lock()
	g.nodes[addr(i)] = r
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(tb.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	g.stops = append(g.stops, func() {
		cancel()
		is.NoErr(<-done)
		is.NoErr(store.Close())
	})
}

func (g *group) stop() {
	for _, stop := range g.stops {
		stop()
	}
	g.stops = nil
}

// waitVoters waits until node 0 leads with so many voters.
func (g *group) waitVoters(count int) {
	for {
		s, voters := g.nodes[addr(0)].Status(), 0
		for _, n := range s.Nodes {
			if n.Voter {
				voters++
			}
		}
		if s.Role == "leader" && voters == count && s.Applied == s.Commit {
			return
		}
		time.Sleep(replicator.Tick)
	}
}

// TestGroup guards against a runtime that loses the answer of a forwarded proposal, answers a barrier without a majority
// or keeps leadership at a planned stop.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := start(t, 3)
		defer g.stop()
		g.waitVoters(3)
		ctx := t.Context()
		result, err := g.nodes[addr(2)].Propose(ctx, wire.Command{Expire: true})
		is.NoErr(err)
		is.NoErr(g.nodes[addr(1)].Barrier(ctx))
		is.True(g.last[1] >= result.Version) // applied here before the barrier returns
		var callers sync.WaitGroup
		for i := range 60 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				if _, err := g.nodes[addr(i%3)].Propose(ctx, wire.Command{Expire: true}); err != nil {
					t.Error(err) // a planned stop leaves no unknown outcome
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		is.NoErr(g.nodes[addr(0)].Transfer(ctx))
		callers.Wait()
		is.True(g.nodes[addr(0)].Status().Role != "leader")
		_, err = g.nodes[addr(0)].Propose(ctx, wire.Command{Expire: true})
		is.NoErr(err)

		g.mu.Lock()
		g.cut[addr(0)] = true
		g.mu.Unlock()
		alone, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		err = g.nodes[addr(0)].Barrier(alone)
		is.True(errors.Is(err, replicator.ErrUnavailable))
		is.True(time.Since(g.nodes[addr(0)].Status().Fresh) > 9*time.Second) // a cut-off node is not fresh
	})
}

// TestRestart guards against commands that are lost or applied again when a node starts from its state snapshot.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := start(t, 1)
		defer func() { g.stop() }()
		var callers sync.WaitGroup
		for range 100 {
			callers.Go(func() {
				for range 90 {
					if _, err := g.nodes[addr(0)].Propose(t.Context(), wire.Command{Expire: true}); err != nil {
						t.Error(err)
					}
				}
			})
		}
		callers.Wait()
		g.stop()
		last := g.last[0]
		is.True(last > 9000)
		g.last[0] = 0
		g.run(t, 0)
		is.NoErr(g.nodes[addr(0)].Barrier(t.Context()))
		is.True(g.from[0] >= 8192) // started from the state snapshot
		is.Equal(g.last[0], last)  // and applied the rest of the log
	})
}

// TestLargeCommands guards against a restart that applies hundreds of large changes again before the node can answer.
func TestLargeCommands(t *testing.T) {
	for name, compressible := range map[string]bool{"incompressible": false, "compressible": true} {
		t.Run(name, func(t *testing.T) { testLargeCommands(t, compressible) })
	}
}

func testLargeCommands(t *testing.T, compressible bool) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size  = 64 << 10 // bytes of one command
			count = 100
			most  = 2 << 20 / size // commands that a start applies
		)
		is := is.New(t)
		g := start(t, 1)
		defer func() { g.stop() }()
		random := rand.NewChaCha8([32]byte{})
		for range count {
			cmd := wire.Command{Finish: &wire.Claim{Body: make([]byte, size)}}
			if !compressible {
				_, _ = random.Read(cmd.Finish.Body) // it always fills the slice
			}
			_, err := g.nodes[addr(0)].Propose(t.Context(), cmd)
			is.NoErr(err)
		}
		g.stop()
		last := g.last[0]
		g.last[0] = 0
		g.run(t, 0)
		is.NoErr(g.nodes[addr(0)].Barrier(t.Context()))
		is.Equal(g.last[0], last)
		is.True(last-g.from[0] <= most)
	})
}

// BenchmarkPropose measures proposals per second with real syncs.
func BenchmarkPropose(b *testing.B) {
	for _, c := range []struct{ count, state int }{{1, 0}, {3, 0}, {3, 64 << 20}} {
		count := c.count
		b.Run(fmt.Sprintf("voters=%d/state=%dMiB", count, c.state>>20), func(b *testing.B) {
			g := startWith(b, count, make([]byte, c.state))
			defer g.stop()
			g.waitVoters(count)
			cmd := wire.Command{Claim: &wire.Claim{Service: "payout", Key: "0190b5a4-5b0e-7c1d-8a2f-3b4c5d6e7f80", Attempt: "a"}}
			b.SetParallelism(32)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := g.nodes[addr(0)].Propose(b.Context(), cmd); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}
