package replicator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

const (
	stepsPerTick  = 5
	inOrderSteps  = 2                 // delay of packets that arrive in order
	maxLeaveSteps = 60 * stepsPerTick // a planned stop takes less than this
)

// inFlightPacket is a packet that is delivered at dueStep.
type inFlightPacket struct {
	dueStep int
	outgoing
}

// simAck is the highest index that was acknowledged at a step.
type simAck struct {
	step  int
	index uint64
}

// sim runs nodes on one goroutine, with a network and faults that are determined by a seed.
type sim struct {
	t              *testing.T
	rand           *rand.Rand
	now            int // current step
	nodes          []*simNode
	net            []inFlightPacket
	partitionOf    []int  // partition of each node
	cutLink        int    // sum of the indexes of the two nodes whose link is cut, in a cluster of three; 0 if none
	powerLossUntil int    // step before which nodes crash together
	lastID         uint64 // last number used for an identity or a command key

	maxVoters                        int  // 0 for no limit
	minVoters                        int  // 0 for maxVoters
	domainCount                      int  // failure domains, to which nodes are assigned in turn; 0 for one per node
	loss, crash, partition, lostDisk int  // chances per 100,000 steps; loss per 100 packets
	leave                            int  // chance per 100,000 steps of a planned stop
	skew                             bool // node clocks run at different speeds
	faultsOff                        bool
	inOrder                          bool // each packet takes inOrderSteps, so that none overtakes another one
	idle                             bool // nodes get no proposals and reads

	lastQuorumStep int                  // last step at which a leader is known to have had a majority
	leaders        map[uint64]string    // leader by term
	votes          map[string]string    // candidate by voter and term
	knownVoters    map[string]bool      // identities that were ever voters in the log of a leader
	digests        map[uint64][2]uint64 // digest of all commands before and after an entry, by index
	ackedIndex     uint64               // highest index acknowledged to a caller
	acks           []simAck             // growth of ackedIndex
	currentClaims  int                  // steps at which a node claimed to be current
	ackCount       int
	barrierCount   int
	replacedDisks  int
	handedOver     int // planned stops at whose end the node had no vote
	installCount   int
}

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func (s *sim) domain(i int) string {
	if s.domainCount > 0 {
		i %= s.domainCount
	}
	return fmt.Sprint("domain-", i)
}

func newSim(t *testing.T, count int, seed uint64, opts ...func(*sim)) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 0)), partitionOf: make([]int, count), leaders: map[uint64]string{},
		votes: map[string]string{}, knownVoters: map[string]bool{}, digests: map[uint64][2]uint64{},
	}
	for _, opt := range opts {
		opt(s)
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

func (s *sim) run(steps int) {
	for range steps {
		s.now++
		s.injectFaults()
		for _, i := range s.rand.Perm(len(s.nodes)) {
			if s.nodes[i].core != nil {
				s.stepNode(i)
			}
		}
	}
}

func (s *sim) chance(perHundredThousand int) bool {
	return !s.faultsOff && s.rand.IntN(100_000) < perHundredThousand
}

func (s *sim) injectFaults() {
	if s.chance(s.partition) {
		for i := range s.partitionOf {
			s.partitionOf[i] = s.rand.IntN(2)
		}
	}
	if s.chance(s.crash) {
		s.powerLossUntil = s.now + 2
	}
	if s.chance(s.partition) {
		clear(s.partitionOf)
	}
	if s.chance(s.lostDisk) && s.repaired() {
		i := s.rand.IntN(len(s.nodes))
		s.freshDisk(i)
		s.start(i)
		s.replacedDisks++
	}
	for i, n := range s.nodes {
		if n.stopStep > 0 && s.now >= n.stopStep {
			if n.core != nil && n.core.leave.confirmed {
				s.handedOver++
			}
			n.core, n.stopStep = nil, 0
		}
		if n.core == nil && !n.removed && s.rand.IntN(200) == 0 {
			s.start(i)
		}
	}
}

// repaired reports whether the current identities of all nodes are in the membership that a leader has committed, with
// as many voters as allowed. The cluster must then survive the loss of one more disk.
func (s *sim) repaired() bool {
	for _, n := range s.nodes {
		c := n.core
		if c == nil || c.role != leader || c.log.nodesIndex > c.log.commit || len(c.log.nodes) != len(s.nodes) {
			continue
		}
		wantVoters := len(s.nodes)
		if s.maxVoters > 0 {
			wantVoters = min(wantVoters, s.maxVoters)
		}
		all := c.voterCount() == wantVoters
		for _, other := range s.nodes {
			_, known := c.member(other.self.ID)
			all = all && known && c.log.nodesIndex <= other.disk.Base+uint64(len(other.disk.Entries))
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

func (s *sim) ack(index uint64) {
	if index > s.ackedIndex {
		s.ackedIndex = index
		s.acks = append(s.acks, simAck{s.now, index})
	}
	s.ackCount++
}

func (s *sim) sendAll(from int, packets []outgoing) {
	for _, p := range packets {
		s.checkVote(p)
		to := int(p.to.Addr().As4()[3])
		for range 1 + s.rand.IntN(10)/9 { // one packet in ten is duplicated
			if s.partitionOf[from] == s.partitionOf[to] && (s.cutLink == 0 || from+to != s.cutLink) && (s.faultsOff || s.rand.IntN(100) >= s.loss) {
				delay := 1 + s.rand.IntN(4)
				if s.rand.IntN(20) == 19 {
					delay += 60
				}
				if s.inOrder {
					delay = inOrderSteps
				}
				s.net = append(s.net, inFlightPacket{s.now + delay, p})
			}
		}
	}
}

// heal ends all faults and waits until all nodes are members, with as many voters as allowed, and have applied every
// acknowledged entry.
func (s *sim) heal() bool {
	s.faultsOff = true
	clear(s.partitionOf)
	for range 60 {
		s.run(20 * stepsPerTick)
		if s.repaired() && !slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.core == nil || n.core.log.applied < s.ackedIndex }) {
			return true
		}
	}
	return false
}
