package replicator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestIsolated guards against a leader that keeps leading without a majority, and against a node that disrupts the
// others when its partition heals.
func TestIsolated(t *testing.T) {
	for _, c := range []struct{ isLeader, cutLeaderLink bool }{{true, false}, {false, false}, {false, true}} {
		t.Run(fmt.Sprintf("leader=%v, cut off only from the leader=%v", c.isLeader, c.cutLeaderLink), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 3, 1)
			is.True(s.heal())
			isolated := slices.IndexFunc(s.nodes, func(n *simNode) bool { return (n.core.role == leader) == c.isLeader })
			term := s.maxTerm()
			if c.cutLeaderLink {
				s.cutLink = isolated + slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.core.role == leader })
			} else {
				s.partitionOf[isolated] = 1
			}
			s.run(2 * electionTicks * stepsPerTick)
			is.True(s.nodes[isolated].core.role != leader) // check-quorum made the leader step down
			s.run(2 * electionTicks * stepsPerTick)
			if c.isLeader {
				term = s.maxTerm() // the others have elected a leader
			}
			s.run(100 * electionTicks * stepsPerTick)
			clear(s.partitionOf)
			s.cutLink = 0
			s.run(electionTicks * stepsPerTick)
			is.Equal(s.maxTerm(), term) // pre-vote prevents a new term
		})
	}
}

// TestFaults guards against two leaders in a term, lost or reordered commits, stale barriers, votes of nodes with
// replaced disks, and a cluster that does not recover.
func TestFaults(t *testing.T) {
	cases := []struct {
		name                             string
		nodes, maxVoters, domains        int
		minVoters                        int
		loss, crash, partition, lostDisk int
		leave                            int
		skew                             bool
	}{
		{name: "loss and reordering", nodes: 3, loss: 10},
		{name: "partitions", nodes: 5, loss: 2, partition: 500},
		{name: "partitions and clock skew", nodes: 5, loss: 2, crash: 5, partition: 500, skew: true},
		{name: "crashes", nodes: 3, loss: 2, crash: 300},
		{name: "lost disks, each right after the previous one was repaired", nodes: 3, lostDisk: 100_000},
		{name: "everything", nodes: 5, loss: 5, crash: 20, partition: 40, lostDisk: 100_000},
		{name: "everything, ten nodes and at most five voters", nodes: 10, maxVoters: 5, domains: 5, loss: 5, crash: 20, partition: 40, lostDisk: 100_000},
		{name: "everything, four nodes that all vote", nodes: 4, minVoters: 3, maxVoters: 5, loss: 5, crash: 20, partition: 40, lostDisk: 100_000},
		{name: "planned stops, six nodes that all vote", nodes: 6, minVoters: 5, maxVoters: 7, loss: 2, crash: 20, lostDisk: 100_000, leave: 100},
		{name: "planned stops, four nodes and at most three voters", nodes: 4, maxVoters: 3, loss: 2, leave: 200},
		{name: "planned stops, crashes and lost disks, seven nodes and at most five voters", nodes: 7, maxVoters: 5, loss: 2, crash: 20, lostDisk: 100_000, leave: 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					is := is.New(t)
					s := newSim(t, c.nodes, seed, func(s *sim) { s.minVoters, s.maxVoters, s.domainCount = c.minVoters, c.maxVoters, c.domains })
					is.True(s.heal()) // the cluster forms
					s.faultsOff, s.skew, s.loss, s.crash, s.partition, s.lostDisk, s.leave = false, c.skew, c.loss, c.crash, c.partition, c.lostDisk, c.leave
					s.run(20_000)
					is.True(s.heal())                                 // the cluster recovers
					is.True(s.ackCount > 100 && s.barrierCount > 100) // the run exercised the cluster
					is.True(s.skew || s.currentClaims > 1000)
					is.True(c.lostDisk == 0 || s.replacedDisks > 1 && s.installCount > 0)
					is.True(c.leave == 0 || s.handedOver > 1)
				})
			}
		})
	}
}
