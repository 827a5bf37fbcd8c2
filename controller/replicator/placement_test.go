package replicator

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

// TestSeats guards against a cluster with more voters than its limit, which could lose its majority with one failure
// domain, and against a lost voter that is not replaced while a learner waits.
func TestSeats(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 4, 1)
	s.maxVoters = 3
	for i := range s.nodes {
		s.nodes[i].core.maxVoters = 3
	}
	s.faultsOff = true
	s.run(100 * electionTicks * stepsPerTick)
	voters, learners := splitByRole(s.committedNodes())
	is.Equal(len(voters), 3)
	is.Equal(len(learners), 1)

	lost := 0
	for i, n := range s.nodes {
		if n.core.role != leader && n.self.ID == voters[0].ID || n.core.role != leader && n.self.ID == voters[1].ID {
			lost = i
		}
	}
	s.partitionOf[lost] = 1
	s.run(2 * replaceVoterTicks * stepsPerTick)
	after, _ := splitByRole(s.committedNodes())
	is.Equal(len(after), 3)
	for _, n := range after {
		is.True(n.ID != s.nodes[lost].self.ID)
	}

	s.partitionOf[lost] = 0
	s.run(100 * electionTicks * stepsPerTick)
	voters, learners = splitByRole(s.committedNodes())
	is.Equal(len(voters), 3)
	is.Equal(len(learners), 1)
	is.Equal(learners[0].ID, s.nodes[lost].self.ID) // it waits as a learner now
}

// committedNodes returns the membership that the leader of the newest term has committed, or nil.
func (s *sim) committedNodes() []wire.Node {
	for _, n := range s.nodes {
		if n.core != nil && n.core.role == leader && n.core.term == s.maxTerm() && n.core.log.nodesIndex <= n.core.log.commit {
			return n.core.log.nodes
		}
	}
	return nil
}

// splitByRole returns the voters and the learners among nodes.
func splitByRole(nodes []wire.Node) (voters, learners []wire.Node) {
	for _, n := range nodes {
		if n.Voter {
			voters = append(voters, n)
		} else {
			learners = append(learners, n)
		}
	}
	return voters, learners
}

// TestDelayedJoin guards against a join request that arrives after its sender was replaced: it adds the lost identity
// again, which must not displace the live one.
func TestDelayedJoin(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 3, 1)
	is.True(s.heal())
	oldNode := s.nodes[2].self
	if s.nodes[2].core.role == leader {
		oldNode = s.nodes[1].self
	}
	replaced := int(oldNode.Addr.Addr().As4()[3])
	s.freshDisk(replaced)
	s.start(replaced)
	is.True(s.heal())
	newID := s.nodes[replaced].self.ID
	s.partitionOf[replaced] = 1 // the live identity is silent for a while
	s.run(2 * sameAddrReplaceTicks * stepsPerTick)
	for _, n := range s.nodes {
		if n.core.role == leader {
			s.net = append(s.net, inFlightPacket{s.now + 1, outgoing{n.self.Addr, wire.Packet{Kind: kindJoin, From: oldNode, Cluster: "c"}}})
		}
	}
	s.run(2 * sameAddrReplaceTicks * stepsPerTick)
	for _, n := range s.nodes {
		if n.core.role == leader {
			is.True(n.core.isVoter(newID))
		}
	}
	s.partitionOf[replaced] = 0
	s.run(2 * replaceTicks * stepsPerTick)
	for _, n := range s.nodes {
		_, known := n.core.member(oldNode.ID)
		is.True(!known) // the lost identity does not remain as a learner
	}
}

// TestSpreadSeats guards against voters that share a failure domain while another one has none: losing the shared failure
// domain after two disks were lost would leave no majority. It simulates ten nodes in five failure domains with at most
// five voters.
func TestSpreadSeats(t *testing.T) {
	const domains, maxVoters = 5, 5
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 2*domains, seed, func(s *sim) { s.domainCount, s.maxVoters = domains, maxVoters })
			s.faultsOff = true
			s.waitForSpread(domains)
			acked := s.ackedIndex

			cut := int(seed) % domains
			s.partitionOf[cut], s.partitionOf[cut+domains] = 1, 1
			s.run(6 * replaceVoterTicks * stepsPerTick)
			voters, _ := splitByRole(s.committedNodes())
			is.Equal(len(voters), maxVoters) // a node in another failure domain replaces the lost voter
			clear(s.partitionOf)
			s.waitForSpread(domains)

			for _, lost := range s.rand.Perm(2 * domains)[:2] { // two disks at once
				s.freshDisk(lost)
				s.start(lost)
			}
			s.waitForSpread(domains)
			is.True(s.ackedIndex > acked)
			for _, n := range s.nodes {
				is.True(n.core.log.commit >= acked)
			}
		})
	}
}

// waitForSpread waits until each failure domain has one voter and all nodes are members.
func (s *sim) waitForSpread(domains int) {
	s.t.Helper()
	for range 200 {
		s.run(20 * stepsPerTick)
		voters, learners := splitByRole(s.committedNodes())
		domainsWithVoter := map[string]bool{}
		for _, n := range voters {
			domainsWithVoter[n.Domain] = true
		}
		if len(voters) == domains && len(domainsWithVoter) == domains && len(voters)+len(learners) == len(s.nodes) {
			return
		}
	}
	s.t.Fatalf("step %d: voters are not spread: %v", s.now, s.committedNodes())
}

// TestMisplaced guards against founders whose failure domains stay unknown, so that daemons cannot be referred to them.
func TestMisplaced(t *testing.T) {
	s := newSim(t, 3, 1)
	s.nodes[0].disk.Entries[0].Nodes[0].Domain = ""
	s.start(0)
	s.faultsOff = true
	s.run(100 * electionTicks * stepsPerTick)
	is := is.New(t)
	is.Equal(len(s.committedNodes()), 3)
	for _, n := range s.committedNodes() {
		is.Equal(n.Domain, s.domain(int(n.Addr.Addr().As4()[3])))
	}
}
