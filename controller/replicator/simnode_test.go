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

// simNode is one node with a simulated disk that holds what was persisted and survives a crash.
type simNode struct {
	core         *core // nil while the node is down
	self         wire.Node
	cluster      string
	disk         storer.State
	digest       uint64            // of all commands applied, in order
	reads        map[uint64]uint64 // index that was acknowledged when the read began, by request ID
	tickPeriod   int               // steps per tick; differs between nodes under clock skew
	startStep    int               // step of the last start
	stopStep     int               // step at which the node ends after a planned stop; 0 if none
	removed      bool              // the node never starts again
	wasLeader    bool
	electionsWon uint64
}

// freshDisk gives a node an empty disk and a new identity.
func (s *sim) freshDisk(i int) {
	s.lastID++
	n := s.nodes[i]
	n.self = wire.Node{ID: fmt.Sprintf("id%d", s.lastID), Name: fmt.Sprintf("n%d", i), Addr: simAddr(i), Domain: s.domain(i), Voter: true}
	n.cluster, n.disk = "", storer.State{}
}

func (s *sim) start(i int) {
	n := s.nodes[i]
	st := n.disk
	st.Entries = slices.Clone(st.Entries)
	n.core = newCore(n.self, n.cluster, st, []netip.AddrPort{simAddr(0), simAddr(1)}, rand.New(rand.NewPCG(s.rand.Uint64(), 1)))
	n.core.maxVoters, n.core.minVoters = s.maxVoters, s.minVoters
	n.electionsWon, n.stopStep = 0, 0
	n.reads, n.digest, n.startStep, n.tickPeriod = map[uint64]uint64{}, 0, s.now, stepsPerTick
	if s.skew {
		n.tickPeriod = 2 + s.rand.IntN(10)
	}
	if st.Checkpoint.Index > 0 {
		s.restore(n, st.Checkpoint)
	}
}

func (s *sim) stepNode(i int) {
	n := s.nodes[i]
	in := input{now: int64(s.now) * 10}
	if s.now > n.startStep && (s.now-n.startStep)%n.tickPeriod == 0 {
		in.ticks = 1
	}
	s.net = slices.DeleteFunc(s.net, func(p inFlightPacket) bool {
		if p.to != n.self.Addr || p.dueStep > s.now {
			return false
		}
		in.packets = append(in.packets, p.Packet)
		return true
	})
	if !s.inOrder {
		s.rand.Shuffle(len(in.packets), func(a, b int) { in.packets[a], in.packets[b] = in.packets[b], in.packets[a] })
	}
	if s.rand.IntN(20) == 0 && !s.idle {
		s.lastID++
		key := fmt.Sprint(s.lastID)
		in.proposals = append(in.proposals, proposal{id: s.rand.Uint64(), cmd: wire.Command{Claim: &wire.Claim{Key: key}}})
	}
	if s.rand.IntN(20) == 0 && !s.idle {
		id := s.rand.Uint64()
		n.reads[id] = s.ackedIndex
		in.reads = append(in.reads, id)
	}
	if n.core.role == leader && s.chance(s.partition) {
		n.core.startTransfer()
	}
	if n.stopStep == 0 && s.chance(s.leave) {
		in.leave = true
		n.stopStep = s.now + s.rand.IntN(maxLeaveSteps)
	}
	if len(in.packets)+len(in.proposals)+len(in.reads)+int(in.ticks) == 0 {
		return
	}
	out := n.core.step(in)
	for s.handle(i, out) && out.record != nil {
		out = n.core.persisted()
	}
	if n.core != nil {
		s.checkInvariants(n)
		s.checkCurrent(n)
		s.compact(n)
	}
}

// handle carries out an output in the same order as Replicator.handle, with possible crashes in between. It returns
// false after a crash.
func (s *sim) handle(i int, out output) bool {
	n := s.nodes[i]
	s.checkQuorumTick(n)
	s.recordVoters(n) // a leader may send a promotion and crash before checkInvariants
	s.sendAll(i, out.beforeSync)
	if s.maybeCrash(n) {
		return false
	}
	s.persist(n, out)
	if s.maybeCrash(n) {
		return false
	}
	s.sendAll(i, out.afterSync)
	if out.install != nil {
		s.installCount++
		s.restore(n, *out.install)
	}
	for _, item := range out.committed {
		s.apply(n, item)
	}
	for _, resp := range out.responses {
		if resp.err == nil {
			s.ack(binary.LittleEndian.Uint64(resp.data))
		}
	}
	for _, id := range out.readyReads {
		s.barrierCount++
		if n.core.log.applied < n.reads[id] {
			s.t.Fatalf("step %d: barrier on %s completed at index %d, but %d was acknowledged before it began", s.now, n.self.ID, n.core.log.applied, n.reads[id])
		}
	}
	return true
}

func (s *sim) maybeCrash(n *simNode) bool {
	if !s.chance(s.crash) && (s.now >= s.powerLossUntil || s.rand.IntN(2) == 0) {
		return false
	}
	n.core = nil
	return true
}

func (s *sim) persist(n *simNode, out output) {
	if out.joinedCluster != "" {
		n.cluster = out.joinedCluster
	}
	rec := out.record
	if rec == nil {
		return
	}
	n.disk.Term, n.disk.Vote, n.disk.Commit = rec.Term, rec.Vote, max(n.disk.Commit, rec.Commit)
	if out.install != nil {
		n.disk.Checkpoint, n.disk.Base, n.disk.BaseTerm, n.disk.Entries = *out.install, rec.Base, rec.Prior, nil
	}
	if len(rec.Entries) > 0 {
		keep := rec.Entries[0].Index - n.disk.Base - 1
		n.disk.Entries = append(n.disk.Entries[:keep:keep], rec.Entries...)
	}
}

// compact makes checkpoints much more often than the runtime does. The state takes two checkpoint parts.
func (s *sim) compact(n *simNode) {
	log := n.core.log
	if log.applied < log.checkpoint.Index+100 {
		return
	}
	state := binary.LittleEndian.AppendUint64(make([]byte, maxPartBytes), n.digest)
	log.compact(state, 10, 1<<20)
	n.disk.Checkpoint, n.disk.Base, n.disk.BaseTerm = log.checkpoint, log.base, log.baseTerm
	n.disk.Entries = slices.Clone(log.entries)
}

func (s *sim) restore(n *simNode, cp wire.Checkpoint) {
	n.digest = binary.LittleEndian.Uint64(cp.Data[len(cp.Data)-8:])
	if want := s.digests[cp.Index][1]; n.digest != want {
		s.t.Fatalf("step %d: checkpoint of %s at index %d differs from the log", s.now, n.self.ID, cp.Index)
	}
}

// apply checks that all nodes apply the same entries in the same order.
func (s *sim) apply(n *simNode, item committedEntry) {
	before := n.digest
	n.digest = xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, before), item.Data...))
	known, ok := s.digests[item.Index]
	if ok && known != [2]uint64{before, n.digest} {
		s.t.Fatalf("step %d: %s applies another entry or another order at index %d", s.now, n.self.ID, item.Index)
	}
	s.digests[item.Index] = [2]uint64{before, n.digest}
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
