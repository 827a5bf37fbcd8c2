package replicator

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

// TestSeats guards against a group with more voters than seats, whose majority the loss of a failure domain could take,
// and against a lost voter whose seat stays empty while a learner waits.
func TestSeats(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 4, 1)
	s.seats = 3
	for i := range s.nodes {
		s.nodes[i].core.seats = 3
	}
	s.quiet = true
	s.run(100 * electionTicks * stepsPerTick)
	voting, waiting := split(s.settled())
	is.Equal(len(voting), 3)
	is.Equal(len(waiting), 1)

	lost := 0
	for i, n := range s.nodes {
		if n.core.role != leader && n.self.ID == voting[0].ID || n.core.role != leader && n.self.ID == voting[1].ID {
			lost = i
		}
	}
	s.side[lost] = 1
	s.run(2 * seatTicks * stepsPerTick)
	after, _ := split(s.settled())
	is.Equal(len(after), 3)
	for _, n := range after {
		is.True(n.ID != s.nodes[lost].self.ID)
	}

	s.side[lost] = 0
	s.run(100 * electionTicks * stepsPerTick)
	voting, waiting = split(s.settled())
	is.Equal(len(voting), 3)
	is.Equal(len(waiting), 1)
	is.Equal(waiting[0].ID, s.nodes[lost].self.ID) // it waits for a seat now
}

// settled returns the membership that the leader of the newest term has committed, or nil.
func (s *sim) settled() []wire.Node {
	for _, n := range s.nodes {
		if n.core != nil && n.core.role == leader && n.core.term == s.maxTerm() && n.core.log.nodesIndex <= n.core.log.commit {
			return n.core.log.nodes
		}
	}
	return nil
}

func split(nodes []wire.Node) (voting, waiting []wire.Node) {
	for _, n := range nodes {
		if n.Voter {
			voting = append(voting, n)
		} else {
			waiting = append(waiting, n)
		}
	}
	return voting, waiting
}

// TestDelayedJoin guards against a request to join that was delayed until its sender was replaced: the identity that it
// admits again is gone and must not displace the live one.
func TestDelayedJoin(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 3, 1)
	is.True(s.heal())
	old := s.nodes[2].self
	if s.nodes[2].core.role == leader {
		old = s.nodes[1].self
	}
	i := int(old.Addr.Addr().As4()[3])
	s.freshDisk(i)
	s.start(i)
	is.True(s.heal())
	fresh := s.nodes[i].self.ID
	s.side[i] = 1 // the live identity is silent for a while
	s.run(2 * rivalTicks * stepsPerTick)
	for _, n := range s.nodes {
		if n.core.role == leader {
			s.net = append(s.net, flight{s.now + 1, outgoing{n.self.Addr, wire.Packet{Kind: kindJoin, From: old, Cluster: "c"}}})
		}
	}
	s.run(2 * rivalTicks * stepsPerTick)
	for _, n := range s.nodes {
		if n.core.role == leader {
			is.True(n.core.isVoter(fresh))
		}
	}
	s.side[i] = 0
	s.run(2 * silentTicks * stepsPerTick)
	for _, n := range s.nodes {
		_, known := n.core.member(old.ID)
		is.True(!known) // it does not stay as a learner for good
	}
}

// TestSpreadSeats guards against voters that share a failure domain while another one has none: the loss of that failure
// domain after that of two disks would end the majority. It plays ten nodes in five failure domains with five seats.
func TestSpreadSeats(t *testing.T) {
	const domains, seats = 5, 5
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 2*domains, seed, func(s *sim) { s.domains, s.seats = domains, seats })
			s.quiet = true
			s.awaitSpread(domains)
			acked := s.acked

			cut := int(seed) % domains
			s.side[cut], s.side[cut+domains] = 1, 1
			s.run(6 * seatTicks * stepsPerTick)
			voting, _ := split(s.settled())
			is.Equal(len(voting), seats) // a seat of the lost failure domain is taken by another
			clear(s.side)
			s.awaitSpread(domains)

			for _, lost := range s.rand.Perm(2 * domains)[:2] { // two disks at once
				s.freshDisk(lost)
				s.start(lost)
			}
			s.awaitSpread(domains)
			is.True(s.acked > acked)
			for _, n := range s.nodes {
				is.True(n.core.log.commit >= acked)
			}
		})
	}
}

// awaitSpread waits until each failure domain has one voter and all nodes are members.
func (s *sim) awaitSpread(domains int) {
	s.t.Helper()
	for range 200 {
		s.run(20 * stepsPerTick)
		voting, waiting := split(s.settled())
		held := map[string]bool{}
		for _, n := range voting {
			held[n.Domain] = true
		}
		if len(voting) == domains && len(held) == domains && len(voting)+len(waiting) == len(s.nodes) {
			return
		}
	}
	s.t.Fatalf("step %d: voters are not spread: %v", s.now, s.settled())
}

// TestMisplaced guards against founders whose failure domains are never known, so that daemons cannot be referred to them.
func TestMisplaced(t *testing.T) {
	s := newSim(t, 3, 1)
	s.nodes[0].disk.Entries[0].Nodes[0].Domain = ""
	s.start(0)
	s.quiet = true
	s.run(100 * electionTicks * stepsPerTick)
	is := is.New(t)
	is.Equal(len(s.settled()), 3)
	for _, n := range s.settled() {
		is.Equal(n.Domain, s.domain(int(n.Addr.Addr().As4()[3])))
	}
}
