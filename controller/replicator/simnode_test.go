package replicator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

// simNode is one node with a simulated disk, which holds what was persisted and survives a crash.
type simNode struct {
	core    *core // nil while down
	self    wire.Node
	cluster string
	disk    storer.State
	digest  uint64 // of all commands applied, in order
	reads   map[uint64]uint64
	period  int // steps per tick; differs between nodes if their clocks do
	booted  int // step of the last start
	led     bool
	won     uint64
}

// freshDisk gives a node an empty folder with a new identity.
func (s *sim) freshDisk(i int) {
	s.next++
	n := s.nodes[i]
	n.self = wire.Node{ID: fmt.Sprintf("id%d", s.next), Name: fmt.Sprintf("n%d", i), Addr: simAddr(i), Domain: s.domain(i), Voter: true}
	n.cluster, n.disk = "", storer.State{}
}

func (s *sim) start(i int) {
	n := s.nodes[i]
	st := n.disk
	st.Entries = slices.Clone(st.Entries)
	n.core = newCore(n.self, n.cluster, st, []netip.AddrPort{simAddr(0), simAddr(1)}, rand.New(rand.NewPCG(s.rand.Uint64(), 1)))
	n.core.seats = s.seats
	n.won = 0
	n.reads, n.digest, n.booted, n.period = map[uint64]uint64{}, 0, s.now, stepsPerTick
	if s.skew {
		n.period = 2 + s.rand.IntN(10)
	}
	if st.Checkpoint.Index > 0 {
		s.restore(n, st.Checkpoint)
	}
}

func (s *sim) stepNode(i int) {
	n := s.nodes[i]
	in := input{now: int64(s.now) * 10}
	if s.now > n.booted && (s.now-n.booted)%n.period == 0 {
		in.ticks = 1
	}
	s.net = slices.DeleteFunc(s.net, func(f flight) bool {
		if f.to != n.self.Addr || f.due > s.now {
			return false
		}
		in.packets = append(in.packets, f.Packet)
		return true
	})
	s.rand.Shuffle(len(in.packets), func(a, b int) { in.packets[a], in.packets[b] = in.packets[b], in.packets[a] })
	if s.rand.IntN(20) == 0 {
		s.next++
		key := fmt.Sprint(s.next)
		in.proposals = append(in.proposals, proposal{id: s.rand.Uint64(), cmd: wire.Command{Claim: &wire.Claim{Key: key}}})
	}
	if s.rand.IntN(20) == 0 {
		id := s.rand.Uint64()
		n.reads[id] = s.acked
		in.reads = append(in.reads, id)
	}
	in.transfer = s.chance(s.partition)
	if len(in.packets)+len(in.proposals)+len(in.reads)+int(in.ticks) == 0 {
		return
	}
	out := n.core.step(in)
	for s.handle(i, out) && out.record != nil {
		out = n.core.persisted()
	}
	if n.core != nil {
		s.check(n)
		s.compact(n)
	}
}

// handle follows the order of Replicator.handle and crashes between its parts.
func (s *sim) handle(i int, out output) bool {
	n := s.nodes[i]
	s.checkFresh(n)
	s.noteVoters(n) // a leader may send a promotion and crash before its next check
	s.sendAll(i, out.early)
	if s.crashes(n) {
		return false
	}
	s.persist(n, out)
	if s.crashes(n) {
		return false
	}
	s.sendAll(i, out.late)
	if out.install != nil {
		s.installs++
		s.restore(n, *out.install)
	}
	for _, item := range out.committed {
		s.apply(n, item)
	}
	for _, a := range out.answers {
		if a.err == nil {
			s.ack(binary.LittleEndian.Uint64(a.data))
		}
	}
	for _, id := range out.ready {
		s.barriers++
		if n.core.log.delivered < n.reads[id] {
			s.t.Fatalf("step %d: barrier on %s at %d, acknowledged before it began: %d", s.now, n.self.ID, n.core.log.delivered, n.reads[id])
		}
	}
	return true
}

func (s *sim) crashes(n *simNode) bool {
	if !s.chance(s.crash) && (s.now >= s.power || s.rand.IntN(2) == 0) {
		return false
	}
	n.core = nil
	return true
}

func (s *sim) persist(n *simNode, out output) {
	if out.cluster != "" {
		n.cluster = out.cluster
	}
	rec := out.record
	if rec == nil {
		return
	}
	n.disk.Term, n.disk.Vote = rec.Term, rec.Vote
	if out.install != nil {
		n.disk.Checkpoint, n.disk.Base, n.disk.Prior, n.disk.Entries = *out.install, rec.Base, rec.Prior, nil
	}
	if len(rec.Entries) > 0 {
		keep := rec.Entries[0].Index - n.disk.Base - 1
		n.disk.Entries = append(n.disk.Entries[:keep:keep], rec.Entries...)
	}
}

// compact makes checkpoints far more often than the runtime does, with a state of two parts.
func (s *sim) compact(n *simNode) {
	l := n.core.log
	if l.delivered < l.checkpoint.Index+100 {
		return
	}
	state := binary.LittleEndian.AppendUint64(make([]byte, partBytes), n.digest)
	l.compact(state, 10, 1<<20)
	n.disk.Checkpoint, n.disk.Base, n.disk.Prior = l.checkpoint, l.base, l.prior
	n.disk.Entries = slices.Clone(l.entries)
}

func (s *sim) restore(n *simNode, cp wire.Checkpoint) {
	n.digest = binary.LittleEndian.Uint64(cp.Data[len(cp.Data)-8:])
	if want := s.history[cp.Index][1]; n.digest != want {
		s.t.Fatalf("step %d: state snapshot of %s at %d differs", s.now, n.self.ID, cp.Index)
	}
}

// apply checks that every node applies the same entry after the same history.
func (s *sim) apply(n *simNode, item committed) {
	before := n.digest
	n.digest = xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, before), item.Data...))
	known, ok := s.history[item.Index]
	if ok && known != [2]uint64{before, n.digest} {
		s.t.Fatalf("step %d: %s applies another entry or order at %d", s.now, n.self.ID, item.Index)
	}
	s.history[item.Index] = [2]uint64{before, n.digest}
	switch item.origin.node.ID {
	case "":
	case n.self.ID:
		s.ack(item.Index)
	default:
		p := n.core.packet(kindProposeReply, item.origin.node.ID)
		p.Seq, p.Data = item.origin.id, binary.LittleEndian.AppendUint64(nil, item.Index)
		s.sendAll(int(n.self.Addr.Addr().As4()[3]), []outgoing{{item.origin.node.Addr, p}})
	}
}
