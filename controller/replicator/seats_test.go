package replicator

import (
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
	settled := func() []wire.Node {
		for _, n := range s.nodes {
			if n.core.role == leader && n.core.log.nodesIndex <= n.core.log.commit {
				return n.core.log.nodes
			}
		}
		return nil
	}
	s.run(100 * electionTicks * stepsPerTick)
	voting, waiting := split(settled())
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
	after, _ := split(settled())
	is.Equal(len(after), 3)
	for _, n := range after {
		is.True(n.ID != s.nodes[lost].self.ID)
	}

	s.side[lost] = 0
	s.run(100 * electionTicks * stepsPerTick)
	voting, waiting = split(settled())
	is.Equal(len(voting), 3)
	is.Equal(len(waiting), 1)
	is.Equal(waiting[0].ID, s.nodes[lost].self.ID) // it waits for a seat now
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
