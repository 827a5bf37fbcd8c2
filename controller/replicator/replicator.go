// Package replicator is a Raft-like replicated log.
//
// A deterministic step core turns packets, ticks and proposals into packets, records to persist and committed entries.
// The runtime in this file gives it time, storage and a network. All of it runs on the goroutine of Run.
package replicator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

const (
	inboxSize   = 1024    // packets that wait; more are dropped, as on a lossy network
	maxCommand  = 8 << 20 // bytes of one encoded command before compression
	maxPerStep  = 1024    // proposals and reads that share one sync
	packetsStep = 64      // packets that share one sync
)

// Replicator runs one node of the replicated log.
type Replicator struct {
	store   *storer.Storer
	self    wire.Node
	seeds   []netip.AddrPort
	seats   int
	send    func(netip.AddrPort, wire.Packet)
	apply   func(uint64, wire.Command) wire.Result
	save    func() ([]byte, error)
	restore func([]byte) error
	rand    *rand.Rand
	log     hclog.Logger

	inbox    chan wire.Packet
	requests chan *request
	stopped  chan struct{}
	status   atomic.Pointer[Status]

	core     *core
	started  time.Time
	ticked   uint64
	nextID   uint64
	waiters  map[uint64]*request
	applied  int // bytes of entries since the last checkpoint
	transfer []*request
}

// New returns a replicator that Run starts. A store, a node and the functions for send, apply, save and restore are
// required.
func New(opts ...Option) *Replicator {
	r := &Replicator{
		log:      hclog.NewNullLogger(),
		rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		inbox:    make(chan wire.Packet, inboxSize),
		requests: make(chan *request, maxPerStep),
		stopped:  make(chan struct{}),
		waiters:  map[uint64]*request{},
	}
	for _, opt := range opts {
		opt(r)
	}
	identity := r.store.Identity()
	r.self.ID = identity.ID
	r.core = newCore(r.self, identity.Cluster, r.store.State(), r.seeds, r.rand)
	r.core.seats = r.seats
	// Request numbers start at random, so that a late answer to a request from before a restart matches none.
	r.nextID = r.rand.Uint64()
	r.publish()
	return r
}

// Run runs the node until the context ends or the durable state cannot be written. It may be called once.
func (r *Replicator) Run(ctx context.Context) error {
	defer close(r.stopped)
	if cp := r.store.State().Checkpoint; cp.Index > 0 {
		if err := r.restore(cp.Data); err != nil {
			return fmt.Errorf("%w: %w", ErrState, err)
		}
	}
	if cut := r.store.Cut(); cut > 0 {
		r.log.Warn("cut off a torn record at the end of the log", "bytes", cut)
	}
	r.started = time.Now()
	ticker := time.NewTicker(Tick)
	defer ticker.Stop()
	for {
		var in input
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.dropCancelled(&in)
		case p := <-r.inbox:
			in.packets = append(in.packets, p)
		case q := <-r.requests:
			r.add(&in, q)
		}
		r.drain(&in)
		if err := r.process(in); err != nil {
			r.log.Error("replicator stops", "error", err)
			return err
		}
	}
}

// Deliver passes a packet from a peer in. It never blocks: packets that do not fit are lost.
func (r *Replicator) Deliver(p wire.Packet) {
	select {
	case r.inbox <- p:
	default:
	}
}

// drain takes what waits already, so that it shares one sync.
func (r *Replicator) drain(in *input) {
	for len(in.packets) < packetsStep {
		select {
		case p := <-r.inbox:
			in.packets = append(in.packets, p)
			continue
		default:
		}
		break
	}
	for len(in.proposals)+len(in.reads) < maxPerStep {
		select {
		case q := <-r.requests:
			r.add(in, q)
			continue
		default:
		}
		break
	}
}

// process runs one step and everything that follows from it.
func (r *Replicator) process(in input) error {
	now := time.Now()
	// Ticks follow the monotonic clock, so that none are lost while a sync is slow or the process is suspended.
	in.ticks = uint64(now.Sub(r.started)/Tick) - r.ticked
	r.ticked += in.ticks
	in.now = now.UnixMilli()
	out := r.core.step(in)
	for {
		if err := r.handle(out); err != nil {
			return err
		}
		if out.record == nil {
			break
		}
		out = r.core.persisted()
	}
	if err := r.compact(); err != nil {
		return err
	}
	r.publish()
	r.endTransfers()
	return r.core.fault
}

// handle carries out one output in the order that the core requires.
func (r *Replicator) handle(out output) error {
	r.sendAll(out.early)
	if err := r.persist(out); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	r.sendAll(out.late)
	if out.install != nil {
		r.applied = 0
		if err := r.restore(out.install.Data); err != nil {
			return fmt.Errorf("%w: %w", ErrState, err)
		}
	}
	for _, item := range out.committed {
		if err := r.applyEntry(item); err != nil {
			return err
		}
	}
	for _, a := range out.answers {
		r.finish(a)
	}
	for _, id := range out.ready {
		r.finish(answer{id: id})
	}
	return nil
}

func (r *Replicator) sendAll(packets []outgoing) {
	for _, p := range packets {
		r.send(p.to, p.Packet)
	}
}

func (r *Replicator) persist(out output) error {
	if out.cluster != "" {
		if err := r.store.Join(out.cluster); err != nil {
			return err
		}
	}
	switch {
	case out.install != nil:
		return r.store.Compact(*out.install, *out.record)
	case out.record != nil:
		return r.store.Append(*out.record)
	}
	return nil
}

func (r *Replicator) applyEntry(item committed) error {
	if len(item.Nodes) > 0 {
		r.log.Info("membership changed", "index", item.Index, "nodes", item.Nodes)
	}
	if len(item.Data) == 0 {
		return nil
	}
	cmd, size, err := decodeCommand(item.Data)
	if err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrFault, item.Index, err)
	}
	r.applied += size
	result := r.apply(item.Index, cmd)
	switch item.origin.node.ID {
	case "":
	case r.self.ID:
		r.finish(answer{id: item.origin.id, result: result})
	default:
		r.sendResult(item.origin, result)
	}
	return nil
}

func (r *Replicator) sendResult(to origin, result wire.Result) {
	p := r.core.packet(kindProposeReply, to.node.ID)
	p.Seq = to.id
	data, err := encoder.Marshal(result)
	if err != nil {
		p.Error = err.Error()
	}
	p.Data = data
	r.send(to.node.Addr, p)
}

// compact makes a checkpoint when enough was applied since the last one: entries if the log has grown larger than that,
// or bytes if there are few large entries, which take long to apply again after a restart. A large state is not written
// again and again.
func (r *Replicator) compact() error {
	l := r.core.log
	size := len(l.checkpoint.Data)
	entries := l.delivered >= l.checkpoint.Index+compactEvery && r.store.LogSize() >= int64(size)
	if !entries && r.applied < max(compactBytes, 2*size) {
		return nil
	}
	state, err := r.save()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrState, err)
	}
	if err := r.store.Compact(r.core.compact(state)); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	r.applied = 0
	r.log.Info("log compacted", "index", l.checkpoint.Index, "bytes", len(state))
	return nil
}
