package replicator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// recoverTicks is the time in which a cluster must work again once all nodes that come back are back: 15 s.
const recoverTicks = 300

// lossCase is a loss of nodes: one is removed without notice, while others lose their disks.
type lossCase struct {
	tolerance int  // disks that the cluster may lose at once
	spares    int  // nodes beyond the 2*tolerance+1 that are needed
	leader    bool // the leader is removed, otherwise a follower
	cut       bool // the removed node is only cut off and comes back later
	wipeFirst bool // the disks are lost before the removal, otherwise after it
	powerLoss bool // the nodes that keep their disks lose power with the last loss
	gapTicks  int  // time between the two losses
}

func (c lossCase) String() string {
	return fmt.Sprintf("%d disks, %d spares, leader %t, cut %t, disks first %t, power %t, gap %d", c.tolerance, c.spares, c.leader, c.cut, c.wipeFirst, c.powerLoss, c.gapTicks)
}

func lossCases() (cases []lossCase) {
	for _, tolerance := range []int{1, 2} {
		for _, spares := range []int{1, 2} {
			for flags := range 16 {
				for _, gapTicks := range []int{0, 1, 20, replaceVoterTicks} {
					cases = append(cases, lossCase{
						tolerance: tolerance, spares: spares, gapTicks: gapTicks,
						leader: flags&1 > 0, cut: flags&2 > 0, wipeFirst: flags&4 > 0, powerLoss: flags&8 > 0,
					})
				}
			}
		}
	}
	return cases
}

// newLossSim returns a healed cluster in which all nodes vote.
func newLossSim(t *testing.T, c lossCase, seed uint64) *sim {
	t.Helper()
	s := newSim(t, 2*c.tolerance+1+c.spares, seed, func(s *sim) {
		s.minVoters, s.maxVoters = 2*c.tolerance+1, 2*c.tolerance+3
	})
	is.New(t).True(s.heal())
	return s
}

// chooseRemoved returns the index of the node that is removed.
func (s *sim) chooseRemoved(c lossCase) int {
	if c.leader {
		return s.indexOf(func(c *core) bool { return c.role == leader && c.term == s.maxTerm() })
	}
	return s.followingVoter()
}

// remove takes a node away for good, or cuts it off.
func (s *sim) remove(i int, cut bool) {
	if cut {
		s.partitionOf[i] = 1
		return
	}
	s.nodes[i].core, s.nodes[i].removed = nil, true
}

// wipeDisks replaces the disks of random nodes other than removed, which restart at once.
func (s *sim) wipeDisks(count, removed int) (wiped []int) {
	for _, i := range s.rand.Perm(len(s.nodes)) {
		if i != removed && len(wiped) < count {
			s.freshDisk(i)
			s.start(i)
			wiped = append(wiped, i)
		}
	}
	return wiped
}

// restartAll ends all running nodes except those listed and starts them again.
func (s *sim) restartAll(except []int) {
	for i, n := range s.nodes {
		if n.core != nil && !slices.Contains(except, i) {
			s.start(i)
		}
	}
}

// lose brings about the losses of a case.
func (s *sim) lose(c lossCase) {
	removed := s.chooseRemoved(c)
	var wiped []int
	if c.wipeFirst {
		wiped = s.wipeDisks(c.tolerance, removed)
		s.run(c.gapTicks * stepsPerTick)
		s.remove(removed, c.cut)
	} else {
		s.remove(removed, c.cut)
		s.run(c.gapTicks * stepsPerTick)
		wiped = s.wipeDisks(c.tolerance, removed)
	}
	if c.powerLoss {
		s.restartAll(append(wiped, removed))
	}
}

// TestRemovedAndDisksLost guards against a cluster that loses acknowledged entries, or never elects a leader again, because
// a node is removed without notice while its successor runs, and the tolerated number of other nodes lose their disks before
// the removed one is replaced as a voter.
func TestRemovedAndDisksLost(t *testing.T) {
	for i, c := range lossCases() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel() // each simulation has its own state and seed
			s := newLossSim(t, c, uint64(i))
			s.faultsOff, s.loss = false, 2
			s.lose(c)
			s.requireProgress()
			if c.cut {
				is.New(t).True(s.heal())
				s.requireProgress()
			}
		})
	}
}

// requireProgress fails the test unless a leader applies more than what is acknowledged now, within recoverTicks. The simulation
// itself checks that nothing acknowledged is lost.
func (s *sim) requireProgress() {
	s.t.Helper()
	acked := s.ackedIndex
	for range recoverTicks {
		s.run(stepsPerTick)
		if s.ackedIndex > acked && slices.ContainsFunc(s.nodes, func(n *simNode) bool {
			return n.core != nil && n.core.role == leader && n.core.log.applied > acked
		}) {
			return
		}
	}
	s.t.Fatalf("step %d: nothing is acknowledged after index %d", s.now, acked)
}

// TestSilentVoterDemoted guards against a dead voter that still counts, so that the loss of another one ends the majority, and
// against one that gets no vote again when it is back.
func TestSilentVoterDemoted(t *testing.T) {
	s := newLossSim(t, lossCase{tolerance: 1, spares: 1}, 1)
	silent := s.followingVoter()
	s.partitionOf[silent] = 1
	s.run(2 * replaceVoterTicks * stepsPerTick)
	s.requireVoters(3, s.nodes[silent].self.ID)
	s.remove(s.followingVoter(), true)
	s.requireProgress()
	is.New(t).True(s.heal())
	s.requireVoters(4)
}

// TestLeaveWithoutLearner guards against a planned stop that is refused, or leaves a voter behind that is down, although enough
// voters remain.
func TestLeaveWithoutLearner(t *testing.T) {
	s := newLossSim(t, lossCase{tolerance: 1, spares: 1}, 1)
	left := s.followingVoter()
	s.beginLeave(left)
	s.run(leaveTicks * stepsPerTick)
	is.New(t).True(s.nodes[left].core.leave.confirmed)
	s.requireVoters(3, s.nodes[left].self.ID)
	second := s.followingVoter()
	s.beginLeave(second)
	s.run(leaveTicks * stepsPerTick)
	is.New(t).True(s.nodes[second].core.leave.refused) // three voters are needed
	s.requireVoters(3)
}

// TestCommittedVotersAfterRestart guards against nodes that need a quorum of the former voters after a restart, since they no longer
// know that the change of the voters is committed.
func TestCommittedVotersAfterRestart(t *testing.T) {
	s := newLossSim(t, lossCase{tolerance: 1, spares: 1}, 1)
	s.idle = true // no entries that would be reasons to write a record
	gone := s.followingVoter()
	s.remove(gone, false)
	s.run(replaceVoterTicks * stepsPerTick)
	for i := 0; ; i++ {
		voters, _ := splitByRole(s.committedNodes())
		if len(voters) == 3 {
			break
		}
		if i > recoverTicks*stepsPerTick {
			t.Fatal("the removed node keeps its vote")
		}
		s.run(1)
	}
	s.run(2 * heartbeatTicks * stepsPerTick)
	s.remove(s.followingVoter(), false)
	s.restartAll(nil)
	s.net = nil // heartbeats under way would tell what is committed
	s.idle = false
	s.requireProgress()
}
