package runner

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"bluebellhoist/controller/administrator"
	"bluebellhoist/controller/storer"
	"bluebellhoist/core/saver"
	"bluebellhoist/core/wire"
)

// disk holds the files of a node. While it is full, every write fails, half of them after a part of the data.
type disk struct {
	full   atomic.Bool
	writes atomic.Int64
	fillAt atomic.Pointer[string] // the disk becomes full when a file of this name is written
}

func (d *disk) files() saver.Files {
	f := saver.OS()
	system := f
	f.Open = func(path string, flag int) (*os.File, error) {
		if name := d.fillAt.Load(); name != nil && filepath.Base(path) == *name {
			d.fillAt.Store(nil)
			d.full.Store(true)
		}
		if _, err := os.Stat(path); d.full.Load() && (errors.Is(err, fs.ErrNotExist) || flag&os.O_TRUNC != 0) {
			return nil, syscall.ENOSPC
		}
		return system.Open(path, flag)
	}
	f.WriteAt = func(file *os.File, data []byte, offset int64) error {
		if !d.full.Load() {
			return system.WriteAt(file, data, offset)
		}
		if d.writes.Add(1)%2 == 0 {
			return errors.Join(system.WriteAt(file, data[:len(data)/2], offset), syscall.ENOSPC)
		}
		return syscall.ENOSPC
	}
	f.Rename = func(from, to string) error {
		if d.full.Load() {
			return syscall.ENOSPC
		}
		return system.Rename(from, to)
	}
	return f
}

// serve runs a node as Serve does, on a disk that may become full.
func (c *cluster) serve(i int, d *disk) {
	n := c.nodes[i]
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	n.mu.Lock()
	n.cancel, n.done = cancel, done
	n.mu.Unlock()
	go func() {
		defer close(done)
		done <- runWithRetry(ctx, hclog.NewNullLogger(), func() (func(context.Context) error, error) { return c.open(i, d) })
	}()
}

// open opens the data folder of a node and returns the function that runs the node.
func (c *cluster) open(i int, d *disk) (func(context.Context) error, error) {
	n := c.nodes[i]
	store, err := storer.Open(n.settings.Data, n.settings.Name, storer.WithFiles(d.files()))
	if err != nil {
		return nil, err
	}
	running := newRunner(n.settings, store, hclog.NewNullLogger())
	running.send = func(to netip.AddrPort, p wire.Packet) { c.send(i, int(to.Port())-1, p) }
	n.mu.Lock()
	n.runner = running
	n.mu.Unlock()
	return func(ctx context.Context) error {
		err := running.replicator.Run(ctx)
		n.mu.Lock()
		n.runner = nil
		n.mu.Unlock()
		return errors.Join(err, store.Close())
	}, nil
}

// fillRounds is how often each disk becomes full.
const fillRounds = 4

// fillInTurn fills the disks of all nodes in turn, never two at once. Each becomes full when the next of the named files is
// written, or at once without names.
func fillInTurn(disks []*disk, full time.Duration, names ...string) {
	for round := range fillRounds {
		for _, d := range disks {
			if len(names) == 0 {
				d.full.Store(true)
			} else {
				d.fillAt.Store(&names[round%len(names)])
			}
			for !d.full.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(full)
			d.full.Store(false)
		}
	}
}

// changer changes one batch again and again.
type changer struct {
	version  uint64       // last version that is known to be accepted
	services int          // services of the batch, all of which change each time
	pending  *wire.Change // change that got no answer
	count    int
}

// change makes one change at a random node and reports whether it was accepted. It first sends a change again that got no answer.
func (h *changer) change(ctx context.Context, c *cluster, random *rand.Rand) bool {
	if h.pending == nil {
		h.pending = h.next()
	}
	for ctx.Err() == nil {
		result, err := c.submit(ctx, random, *h.pending)
		if err == nil {
			h.pending, h.version = nil, result.Version
			return result.Code == ""
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// next returns the next change.
func (h *changer) next() *wire.Change {
	h.count++
	edit := wire.Edit{Name: "b", Base: h.version, Until: time.Now().Add(time.Hour).UnixMilli()}
	for s := range h.services {
		edit.Services = append(edit.Services, wire.Service{Name: fmt.Sprintf("s%04d", s), Class: "normal", Limit: time.Duration(h.count) * time.Millisecond})
	}
	return &wire.Change{ID: fmt.Sprint(h.count), Edits: []wire.Edit{edit}}
}

// submit proposes a change at a random node.
func (c *cluster) submit(ctx context.Context, random *rand.Rand, change wire.Change) (wire.Result, error) {
	running := c.nodes[random.IntN(len(c.nodes))].currentRunner()
	if running == nil {
		return wire.Result{}, administrator.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return running.Change(ctx, change)
}

// TestFullDisksInTurn guards against controllers whose disks were full one after another, never two at once, and that accept no
// change, or have lost one, long after the last has room again.
func TestFullDisksInTurn(t *testing.T) {
	compaction := []string{"checkpoint.tmp", "log.tmp"}
	cases := []struct {
		name     string
		full     time.Duration
		services int // large changes make checkpoints frequent
		pause    time.Duration

		names    []string // files at which disks become full
		spare    bool     // a fourth node takes the place of a voter that is silent
		restarts bool     // nodes are killed and start again, also while their disk is full
	}{
		{name: "small changes", full: 4500 * time.Millisecond, services: 2, pause: 300 * time.Millisecond},
		{name: "checkpoints", full: 2 * time.Second, services: 400, pause: 50 * time.Millisecond, names: compaction},
		{name: "restarts", full: 3 * time.Second, services: 100, pause: 100 * time.Millisecond, restarts: true},
		{name: "voters replaced", full: 4 * time.Second, services: 20, pause: 100 * time.Millisecond, spare: true},
		{name: "voters replaced, checkpoints", full: 4 * time.Second, services: 400, pause: 50 * time.Millisecond, names: compaction, spare: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				nodes := clusterSize
				if c.spare {
					nodes++
				}
				cl, disks := newDiskCluster(t, nodes)
				cl.awaitVoters()
				random := rand.New(rand.NewPCG(1, 1))
				h := &changer{services: c.services}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var faults sync.WaitGroup
				faults.Go(func() {
					fillInTurn(disks, c.full, c.names...)
					cancel()
				})
				if c.restarts {
					faults.Go(func() { cl.restartInTurn(ctx, disks) })
				}
				accepted := 0
				for ctx.Err() == nil {
					if h.change(ctx, cl, random) {
						accepted++
					}
					time.Sleep(c.pause)
				}
				faults.Wait()
				is.True(accepted > 20)
				cl.requireAccepted(t, h, random, nodes)
			})
		})
	}
}

// newDiskCluster returns a cluster of nodes that are served on disks of their own. At most clusterSize of them vote.
func newDiskCluster(t *testing.T, nodes int) (*cluster, []*disk) {
	c := newCluster(t, 1)
	for i := range clusterSize {
		c.crash(i)
	}
	for i := clusterSize; i < nodes; i++ {
		c.nodes = append(c.nodes, &node{settings: Settings{
			Name: fmt.Sprintf("c%d", i), Domain: fmt.Sprintf("f%d", i), Listen: address(i), Peers: c.nodes[0].settings.Peers,
			Data: filepath.Join(c.folder, fmt.Sprint(i)), Voter: true,
		}})
		t.Cleanup(func() { c.crash(i) })
	}
	var disks []*disk
	for i, n := range c.nodes {
		n.settings.MaxVoters = clusterSize
		disks = append(disks, &disk{})
		c.serve(i, disks[i])
	}
	return c, disks
}

// restartInTurn kills one node after another and starts it again at once, until ctx ends.
func (c *cluster) restartInTurn(ctx context.Context, disks []*disk) {
	for ctx.Err() == nil {
		for i, d := range disks {
			time.Sleep(1700 * time.Millisecond)
			c.crash(i)
			c.serve(i, d)
		}
	}
}

// requireAccepted fails the test unless each node takes a change soon after all disks have room, and has every accepted one.
func (c *cluster) requireAccepted(t *testing.T, h *changer, random *rand.Rand, nodes int) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	for range 2 { // the first may be one that got no answer before
		last := h.version
		is.True(h.change(ctx, c, random)) // a conflict would mean that an accepted change is lost
		is.True(h.version > last)
	}
	for i := range nodes {
		for view, err := c.read(ctx, i); ; view, err = c.read(ctx, i) {
			if err == nil {
				is.Equal(view, h.version)
				break
			}
			is.NoErr(ctx.Err()) // the node answers in time
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// read returns the version that a node reads.
func (c *cluster) read(ctx context.Context, i int) (uint64, error) {
	running := c.nodes[i].currentRunner()
	if running == nil {
		return 0, administrator.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	view, err := running.Read(ctx)
	if err != nil {
		return 0, err
	}
	return view.Version(), nil
}
