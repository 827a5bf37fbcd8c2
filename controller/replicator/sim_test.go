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

const stepsPerTick = 5

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
	domains                          int  // failure domains, over which nodes are spread in turn; 0 for one each
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

func (s *sim) domain(i int) string {
	if s.domains > 0 {
		i %= s.domains
	}
	return fmt.Sprint("domain-", i)
}

func newSim(t *testing.T, count int, seed uint64, opts ...func(*sim)) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 0)), side: make([]int, count), leaders: map[uint64]string{},
		votes: map[string]string{}, voters: map[string]bool{}, history: map[uint64][2]uint64{},
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

// repaired reports whether every node's current identity is in the membership that a leader has committed, as a voter while
// there are seats. Then the loss of one more disk must be survived.
func (s *sim) repaired() bool {
	for _, n := range s.nodes {
		c := n.core
		if c == nil || c.role != leader || c.log.nodesIndex > c.log.commit || len(c.log.nodes) != len(s.nodes) {
			continue
		}
		seats := len(s.nodes)
		if s.seats > 0 {
			seats = min(seats, s.seats)
		}
		all := c.voters() == seats
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
