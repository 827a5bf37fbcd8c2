package replicator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

const stepsPerTick = 5

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

type flight struct {
	due int
	outgoing
}

// sim runs nodes on one goroutine, with a network and faults that follow from a seed.
type sim struct {
	t     *testing.T
	rand  *rand.Rand
	now   int
	nodes []*simNode
	net   []flight
	side  []int // partition that each node is in
	link  int   // sum of the two nodes whose link is cut, in a group of three; 0 if none
	power int   // step up to which nodes crash together
	next  uint64

	seats                            int  // most voters; 0 for no limit
	loss, crash, partition, lostDisk int  // chances per 100,000 steps, loss per 100 packets
	skew                             bool // clocks of different speed
	quiet                            bool

	confirmed int                  // last step at which a leader knew of a majority
	leaders   map[uint64]string    // by term
	votes     map[string]string    // candidate by voter and term
	voters    map[string]bool      // identities that ever were voters in a log
	history   map[uint64][2]uint64 // digest before and after, by index
	acked     uint64               // highest index acknowledged to a caller
	answered  int
	barriers  int
	replaced  int
	installs  int
}

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func newSim(t *testing.T, count int, seed uint64) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 0)), side: make([]int, count), leaders: map[uint64]string{},
		votes: map[string]string{}, voters: map[string]bool{}, history: map[uint64][2]uint64{},
	}
	for i := range count {
		n := &simNode{}
		s.nodes = append(s.nodes, n)
		s.freshDisk(i)
	}
	first := s.nodes[0]
	node := first.self
	node.Voter = true
	first.cluster = "c"
	first.disk = storer.State{Term: 1, Entries: []wire.Entry{{Index: 1, Term: 1, Nodes: []wire.Node{node}}}}
	for i := range count {
		s.start(i)
	}
	return s
}

// freshDisk gives a node an empty folder with a new identity.
func (s *sim) freshDisk(i int) {
	s.next++
	n := s.nodes[i]
	n.self = wire.Node{ID: fmt.Sprintf("id%d", s.next), Name: fmt.Sprintf("n%d", i), Addr: simAddr(i), Voter: true}
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

func (s *sim) run(steps int) {
	for range steps {
		s.now++
		s.faults()
		for _, i := range s.rand.Perm(len(s.nodes)) {
			if s.nodes[i].core != nil {
				s.stepNode(i)
			}
		}
	}
}

func (s *sim) chance(perHundredThousand int) bool {
	return !s.quiet && s.rand.IntN(100_000) < perHundredThousand
}

func (s *sim) faults() {
	if s.chance(s.partition) {
		for i := range s.side {
			s.side[i] = s.rand.IntN(2)
		}
	}
	if s.chance(s.crash) {
		s.power = s.now + 2
	}
	if s.chance(s.partition) {
		clear(s.side)
	}
	if s.chance(s.lostDisk) && s.repaired() {
		i := s.rand.IntN(len(s.nodes))
		s.freshDisk(i)
		s.start(i)
		s.replaced++
	}
	for i, n := range s.nodes {
		if n.core == nil && s.rand.IntN(200) == 0 {
			s.start(i)
		}
	}
}

// repaired reports whether every node's current identity is a voter in the membership that a leader has committed. Then
// the loss of one more disk must be survived.
func (s *sim) repaired() bool {
	for _, n := range s.nodes {
		c := n.core
		if c == nil || c.role != leader || c.log.nodesIndex > c.log.commit || len(c.log.nodes) != len(s.nodes) {
			continue
		}
		all := true
		for _, other := range s.nodes {
			all = all && c.isVoter(other.self.ID) && c.log.nodesIndex <= other.disk.Base+uint64(len(other.disk.Entries))
		}
		if all && c.term == s.maxTerm() {
			return true
		}
	}
	return false
}

func (s *sim) maxTerm() (term uint64) {
	for _, n := range s.nodes {
		term = max(term, n.disk.Term)
	}
	return term
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
	l.compact(state, 10)
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

func (s *sim) ack(index uint64) {
	s.acked = max(s.acked, index)
	s.answered++
}

func (s *sim) sendAll(from int, packets []outgoing) {
	for _, p := range packets {
		s.checkVote(p)
		to := int(p.to.Addr().As4()[3])
		for range 1 + s.rand.IntN(10)/9 { // one packet in ten is doubled
			if s.side[from] == s.side[to] && (s.link == 0 || from+to != s.link) && (s.quiet || s.rand.IntN(100) >= s.loss) {
				s.net = append(s.net, flight{s.now + 1 + s.rand.IntN(4) + s.rand.IntN(20)/19*60, p})
			}
		}
	}
}

// checkVote guards against a double vote and a vote by an identity that no log ever had as a voter.
func (s *sim) checkVote(p outgoing) {
	if p.Reject || p.Kind != kindVoteReply && p.Kind != kindPreVoteReply {
		return
	}
	if !s.voters[p.From.ID] {
		s.t.Fatalf("step %d: fresh disk %s votes", s.now, p.From.ID)
	}
	if p.Kind == kindPreVoteReply {
		return
	}
	key := fmt.Sprintf("%s in term %d", p.From.ID, p.Term)
	if old, ok := s.votes[key]; ok && old != p.To {
		s.t.Fatalf("step %d: %s votes for %s and %s", s.now, key, old, p.To)
	}
	s.votes[key] = p.To
}

// checkFresh guards against a cut-off node that counts as fresh because of a packet that was delayed.
func (s *sim) checkFresh(n *simNode) {
	c, led := n.core, n.led || n.core.won != n.won // a node may win and step down within one step
	n.led, n.won = c.role == leader, n.core.won
	fresh := n.booted + int(c.fresh-c.booted)*stepsPerTick
	switch {
	case s.skew || !c.everFresh:
	case led || n.led:
		s.confirmed = max(s.confirmed, fresh)
	case fresh > s.confirmed+stepsPerTick:
		s.t.Fatalf("step %d: %s is fresh at %d, no leader had a majority after %d", s.now, n.self.ID, fresh, s.confirmed)
	}
}

func (s *sim) check(n *simNode) {
	c := n.core
	if c.fault != nil {
		s.t.Fatalf("step %d: %v", s.now, c.fault)
	}
	if c.role != leader {
		return
	}
	if old, ok := s.leaders[c.term]; ok && old != n.self.ID {
		s.t.Fatalf("step %d: term %d has leaders %s and %s", s.now, c.term, old, n.self.ID)
	}
	s.leaders[c.term] = n.self.ID
	s.checkChanges(n)
}

func (s *sim) noteVoters(n *simNode) {
	if n.core.role != leader {
		return
	}
	for _, node := range n.core.log.nodes {
		if node.Voter {
			s.voters[node.ID] = true
		}
	}
}

// checkChanges guards against memberships whose majorities need not intersect.
func (s *sim) checkChanges(n *simNode) {
	l, open, own := n.core.log, 0, false
	before := l.checkpoint.Nodes
	for _, e := range l.entries {
		if len(e.Nodes) == 0 || e.Index <= l.checkpoint.Index {
			continue
		}
		if e.Index > l.commit {
			open++
			own = own || e.Term == n.core.term
		}
		if changed := changedVoters(before, e.Nodes); changed > 1 {
			s.t.Fatalf("step %d: %s changes %d voters at %d", s.now, n.self.ID, changed, e.Index)
		}
		before = e.Nodes
	}
	// A new leader may not know yet that the changes of earlier leaders are committed.
	if own && open > 1 {
		s.t.Fatalf("step %d: %s has %d uncommitted membership changes", s.now, n.self.ID, open)
	}
}

func changedVoters(a, b []wire.Node) (count int) {
	voters := map[string]int{}
	for i, nodes := range [][]wire.Node{a, b} {
		for _, n := range nodes {
			if n.Voter {
				voters[n.ID] += 1 + i
			}
		}
	}
	for _, in := range voters {
		if in != 3 {
			count++
		}
	}
	return count
}

// heal ends all faults and waits until every node is a voter and holds what was acknowledged.
func (s *sim) heal() bool {
	s.quiet = true
	clear(s.side)
	for range 60 {
		s.run(20 * stepsPerTick)
		if s.repaired() && !slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.core == nil || n.core.log.delivered < s.acked }) {
			return true
		}
	}
	return false
}
