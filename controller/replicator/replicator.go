// Package replicator implements a replicated log with a protocol that follows Raft.
//
// The core is deterministic and does no I/O: it turns packets, ticks and proposals into packets to send, records to
// persist and committed entries. The Replicator gives it time, storage and a network, all on the goroutine of Run.
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
	inboxSize          = 1024    // queued packets; more are dropped, as on a lossy network
	maxCommandBytes    = 8 << 20 // encoded size of one command before compression
	maxRequestsPerStep = 1024    // proposals and reads that share one sync
	maxPacketsPerStep  = 64      // packets that share one sync
)

// Replicator runs one node of the replicated log.
type Replicator struct {
	store      *storer.Storer
	self       wire.Node
	seeds      []netip.AddrPort
	minVoters  int
	maxVoters  int
	send       func(netip.AddrPort, wire.Packet)
	apply      func(uint64, wire.Command) wire.Result
	save       func() ([]byte, error)
	restore    func([]byte) error
	membership func([]wire.Node, bool)
	rand       *rand.Rand
	log        hclog.Logger

	inbox    chan wire.Packet
	requests chan *request
	stopped  chan struct{}
	status   atomic.Pointer[Status]

	core         *core
	started      time.Time
	elapsedTicks uint64
	nextID       uint64
	pending      map[uint64]*request
	appliedBytes int // data applied since the last checkpoint, without compression
	leaves       []*request
	loggedLosses int // lost identities that are logged
}

// New returns a replicator that Run starts. A store, a node and the functions to send, apply, save and restore are
// required.
func New(opts ...Option) *Replicator {
	r := &Replicator{
		log:        hclog.NewNullLogger(),
		membership: func([]wire.Node, bool) {},
		rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		inbox:      make(chan wire.Packet, inboxSize),
		requests:   make(chan *request, maxRequestsPerStep),
		stopped:    make(chan struct{}),
		pending:    map[uint64]*request{},
	}
	for _, opt := range opts {
		opt(r)
	}
	identity := r.store.Identity()
	r.self.ID = identity.ID
	r.core = newCore(r.self, identity.Cluster, r.store.State(), r.seeds, r.rand)
	r.core.minVoters, r.core.maxVoters = r.minVoters, r.maxVoters
	// Request IDs start at random, so that a late reply to a request from before a restart matches none.
	r.nextID = r.rand.Uint64()
	r.publishStatus()
	return r
}

// Run runs the node until the context ends or the durable state cannot be written. It may be called once.
func (r *Replicator) Run(ctx context.Context) error {
	defer close(r.stopped)
	if cp := r.store.State().Checkpoint; cp.Index > 0 {
		if err := r.restore(cp.Data); err != nil {
			return fmt.Errorf("%w: %w", ErrState, err)
		}
		r.membership(cp.Nodes, true)
	}
	if torn := r.store.TornBytes(); torn > 0 {
		r.log.Warn("truncated a torn frame at the end of the log", "bytes", torn)
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
		case req := <-r.requests:
			r.addRequest(&in, req)
		}
		r.drain(&in)
		if err := r.process(in); err != nil {
			r.log.Error("replicator stops on an error", "error", err)
			return err
		}
	}
}

// Deliver queues a packet from a peer. It never blocks: packets that do not fit in the queue are dropped.
func (r *Replicator) Deliver(p wire.Packet) {
	select {
	case r.inbox <- p:
	default:
	}
}

// drain adds the packets and requests that are queued already, so that they share one sync.
func (r *Replicator) drain(in *input) {
	for len(in.packets) < maxPacketsPerStep {
		select {
		case p := <-r.inbox:
			in.packets = append(in.packets, p)
			continue
		default:
		}
		break
	}
	for len(in.proposals)+len(in.reads) < maxRequestsPerStep {
		select {
		case req := <-r.requests:
			r.addRequest(in, req)
			continue
		default:
		}
		break
	}
}

// process runs one step and carries out its output.
func (r *Replicator) process(in input) error {
	now := time.Now()
	// Ticks follow the monotonic clock, so that none are lost while a sync is slow or the process is suspended.
	in.ticks = uint64(now.Sub(r.started)/Tick) - r.elapsedTicks
	r.elapsedTicks += in.ticks
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
	r.publishStatus()
	r.completeLeaves()
	return r.core.invariantErr
}

// handle carries out one output in the order that output requires.
func (r *Replicator) handle(out output) error {
	r.sendAll(out.beforeSync)
	if err := r.persist(out); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	r.sendAll(out.afterSync)
	if out.install != nil {
		r.appliedBytes = 0
		if err := r.restore(out.install.Data); err != nil {
			return fmt.Errorf("%w: %w", ErrState, err)
		}
		r.membership(out.install.Nodes, true)
	}
	for _, item := range out.committed {
		if err := r.applyEntry(item); err != nil {
			return err
		}
	}
	for _, resp := range out.responses {
		r.respond(resp)
	}
	for _, id := range out.readyReads {
		r.respond(response{id: id})
	}
	return nil
}

func (r *Replicator) sendAll(packets []outgoing) {
	for _, p := range packets {
		r.send(p.to, p.Packet)
	}
}

func (r *Replicator) persist(out output) error {
	if out.joinedCluster != "" {
		if err := r.store.Join(out.joinedCluster); err != nil {
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

func (r *Replicator) applyEntry(item committedEntry) error {
	if len(item.Nodes) > 0 {
		r.log.Info("membership changed", "index", item.Index, "nodes", item.Nodes)
		r.membership(item.Nodes, false)
	}
	if len(item.Data) == 0 {
		return nil
	}
	cmd, size, err := decodeCommand(item.Data)
	if err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrInvariant, item.Index, err)
	}
	r.appliedBytes += size
	result := r.apply(item.Index, cmd)
	switch item.origin.node.ID {
	case "":
	case r.self.ID:
		r.respond(response{id: item.origin.id, result: result})
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

// compact makes a checkpoint after compactEntries entries, once the log is at least as large as the last checkpoint, or
// after compactBytes of data, or twice the last checkpoint if that is more. The second limit keeps a restart short when
// entries are large. Both limits grow with the state, so that a large state is not written too often.
func (r *Replicator) compact() error {
	log := r.core.log
	size := len(log.checkpoint.Data)
	enoughEntries := log.applied >= log.checkpoint.Index+compactEntries && r.store.LogSize() >= int64(size)
	if !enoughEntries && r.appliedBytes < max(compactBytes, 2*size) {
		return nil
	}
	state, err := r.save()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrState, err)
	}
	if err := r.store.Compact(r.core.compact(state)); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	r.appliedBytes = 0
	r.log.Info("log compacted", "index", log.checkpoint.Index, "bytes", len(state))
	return nil
}
