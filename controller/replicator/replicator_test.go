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

// cluster is several nodes in one process with real data folders.
type cluster struct {
	dir      string
	mu       sync.Mutex
	nodes    map[netip.AddrPort]*replicator.Replicator
	isolated map[netip.AddrPort]bool
	stops    []func()
	applied  []uint64 // last index applied, by node
	restored []uint64 // index of the last checkpoint restored, by node
	padding  []byte   // appended to each saved state
}

func (cl *cluster) send(from, to netip.AddrPort, p wire.Packet) {
	cl.mu.Lock()
	node := cl.nodes[to]
	if cl.isolated[from] || cl.isolated[to] {
		node = nil
	}
	cl.mu.Unlock()
	if node != nil {
		node.Deliver(p)
	}
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func startCluster(tb testing.TB, count int) *cluster {
	return startClusterWithPadding(tb, count, nil)
}

func startClusterWithPadding(tb testing.TB, count int, padding []byte) *cluster {
	cl := &cluster{
		padding: padding,
		dir:     tb.TempDir(), nodes: map[netip.AddrPort]*replicator.Replicator{}, isolated: map[netip.AddrPort]bool{},
		applied: make([]uint64, count), restored: make([]uint64, count),
	}
	_, err := storer.InitCluster(cl.path(0), wire.Node{Name: "node-0", Addr: addr(0)})
	is.New(tb).NoErr(err)
	for i := range count {
		cl.startNode(tb, i)
	}
	return cl
}

func (cl *cluster) path(i int) string {
	return filepath.Join(cl.dir, fmt.Sprintf("node-%d", i))
}

// startNode starts one node from its data folder.
func (cl *cluster) startNode(tb testing.TB, i int) {
	is := is.New(tb)
	node := wire.Node{Name: fmt.Sprintf("node-%d", i), Addr: addr(i), Voter: true}
	store, err := storer.Open(cl.path(i), node.Name)
	is.NoErr(err)
	r := replicator.New(
		replicator.WithStore(store), replicator.WithNode(node), replicator.WithSeeds([]netip.AddrPort{addr(0)}),
		replicator.WithSend(func(to netip.AddrPort, p wire.Packet) { cl.send(addr(i), to, p) }),
		replicator.WithApply(func(index uint64, _ wire.Command) wire.Result {
			cl.applied[i] = index
			return wire.Result{Version: index}
		}),
		replicator.WithSave(func() ([]byte, error) {
			return append(binary.LittleEndian.AppendUint64(nil, cl.applied[i]), cl.padding...), nil
		}),
		replicator.WithRestore(func(state []byte) error {
			cl.applied[i] = binary.LittleEndian.Uint64(state)
			cl.restored[i] = cl.applied[i]
			return nil
		}),
		replicator.WithRandom(rand.New(rand.NewPCG(uint64(i), 1))),
	)
	cl.mu.Lock()
	cl.nodes[addr(i)] = r
	cl.mu.Unlock()
	ctx, cancel := context.WithCancel(tb.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	cl.stops = append(cl.stops, func() {
		cancel()
		is.NoErr(<-done)
		is.NoErr(store.Close())
	})
}

func (cl *cluster) stop() {
	for _, stop := range cl.stops {
		stop()
	}
	cl.stops = nil
}

// waitVoters waits until node 0 leads with count voters.
func (cl *cluster) waitVoters(count int) {
	for {
		s, voters := cl.nodes[addr(0)].Status(), 0
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

// TestGroup guards against a runtime that loses the result of a forwarded proposal, completes a barrier without a
// majority or keeps leadership at a planned stop.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := startCluster(t, 3)
		defer cl.stop()
		cl.waitVoters(3)
		ctx := t.Context()
		result, err := cl.nodes[addr(2)].Propose(ctx, wire.Command{Expire: true})
		is.NoErr(err)
		is.NoErr(cl.nodes[addr(1)].Barrier(ctx))
		is.True(cl.applied[1] >= result.Version) // applied on this node before the barrier returns
		var callers sync.WaitGroup
		for i := range 60 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				if _, err := cl.nodes[addr(i%3)].Propose(ctx, wire.Command{Expire: true}); err != nil {
					t.Error(err) // a planned stop leaves no proposal with an unknown outcome
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		is.True(errors.Is(cl.nodes[addr(0)].Leave(ctx), replicator.ErrNoSuccessor)) // the leadership is transferred, the vote kept
		callers.Wait()
		is.True(cl.nodes[addr(0)].Status().Role != "leader")
		_, err = cl.nodes[addr(0)].Propose(ctx, wire.Command{Expire: true})
		is.NoErr(err)

		cl.mu.Lock()
		cl.isolated[addr(0)] = true
		cl.mu.Unlock()
		isolatedCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		err = cl.nodes[addr(0)].Barrier(isolatedCtx)
		is.True(errors.Is(err, replicator.ErrUnavailable))
		is.True(time.Since(cl.nodes[addr(0)].Status().QuorumAt) > 9*time.Second) // an isolated node has had no recent majority
	})
}

// TestRestart guards against commands that are lost or applied twice when a node restarts from its checkpoint.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := startCluster(t, 1)
		defer func() { cl.stop() }()
		var callers sync.WaitGroup
		for range 100 {
			callers.Go(func() {
				for range 90 {
					if _, err := cl.nodes[addr(0)].Propose(t.Context(), wire.Command{Expire: true}); err != nil {
						t.Error(err)
					}
				}
			})
		}
		callers.Wait()
		cl.stop()
		lastApplied := cl.applied[0]
		is.True(lastApplied > 9000)
		cl.applied[0] = 0
		cl.startNode(t, 0)
		is.NoErr(cl.nodes[addr(0)].Barrier(t.Context()))
		is.True(cl.restored[0] >= 8192)      // restarted from the checkpoint
		is.Equal(cl.applied[0], lastApplied) // and applied the rest of the log
	})
}

// TestLargeCommands guards against a restart that applies hundreds of large commands again before the node can respond.
func TestLargeCommands(t *testing.T) {
	for name, compressible := range map[string]bool{"incompressible": false, "compressible": true} {
		t.Run(name, func(t *testing.T) { testLargeCommands(t, compressible) })
	}
}

func testLargeCommands(t *testing.T, compressible bool) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size        = 64 << 10 // bytes of one command
			count       = 100
			maxReplayed = 2 << 20 / size // commands that a restart may apply again
		)
		is := is.New(t)
		cl := startCluster(t, 1)
		defer func() { cl.stop() }()
		random := rand.NewChaCha8([32]byte{})
		for range count {
			cmd := wire.Command{Finish: &wire.Claim{Body: make([]byte, size)}}
			if !compressible {
				_, _ = random.Read(cmd.Finish.Body) // never fails
			}
			_, err := cl.nodes[addr(0)].Propose(t.Context(), cmd)
			is.NoErr(err)
		}
		cl.stop()
		last := cl.applied[0]
		cl.applied[0] = 0
		cl.startNode(t, 0)
		is.NoErr(cl.nodes[addr(0)].Barrier(t.Context()))
		is.Equal(cl.applied[0], last)
		is.True(last-cl.restored[0] <= maxReplayed)
	})
}

// BenchmarkPropose measures proposals per second with real syncs.
func BenchmarkPropose(b *testing.B) {
	for _, c := range []struct{ count, state int }{{1, 0}, {3, 0}, {4, 0}, {5, 0}, {3, 64 << 20}} {
		count := c.count
		b.Run(fmt.Sprintf("voters=%d/state=%dMiB", count, c.state>>20), func(b *testing.B) {
			cl := startClusterWithPadding(b, count, make([]byte, c.state))
			defer cl.stop()
			cl.waitVoters(count)
			cmd := wire.Command{Claim: &wire.Claim{Service: "payout", Key: "0190b5a4-5b0e-7c1d-8a2f-3b4c5d6e7f80", Attempt: "a"}}
			b.SetParallelism(32)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := cl.nodes[addr(0)].Propose(b.Context(), cmd); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}
