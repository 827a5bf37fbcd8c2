package replicator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// leaveTicks is the time in which a planned stop has to hand over the vote. All nodes stay up meanwhile, so that none is replaced
// for its silence.
const leaveTicks = 30

// leaveAllTicks is the time that a controller allows for the planned stop of all voters at once: three promotions, three
// demotions and two elections.
const leaveAllTicks = 60

// newLeaveSim returns a healed cluster in which at most three nodes vote.
func newLeaveSim(t *testing.T, nodes int, seed uint64) *sim {
	t.Helper()
	s := newSim(t, nodes, seed, func(s *sim) { s.maxVoters = 3 })
	is.New(t).True(s.heal())
	return s
}

// indexOf returns the index of the first running node that matches.
func (s *sim) indexOf(match func(c *core) bool) int {
	s.t.Helper()
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.core != nil && match(n.core) })
	if i < 0 {
		s.t.Fatalf("step %d: no such node", s.now)
	}
	return i
}

// followingVoter returns the index of a voter that does not lead.
func (s *sim) followingVoter() int {
	s.t.Helper()
	return s.indexOf(func(c *core) bool { return c.role == follower && c.isVoter(c.self.ID) })
}

// beginLeave begins the planned stop of a node.
func (s *sim) beginLeave(i int) {
	n := s.nodes[i]
	s.handle(i, n.core.step(input{now: int64(s.now) * 10, leave: true}))
}

// leaveAllBut begins the planned stop of all voters except one, or of all, in random order, and requires that each hands over
// its vote.
func (s *sim) leaveAllBut(stay, ticks int) {
	s.t.Helper()
	var leaving []int
	var left []string
	for _, i := range s.rand.Perm(len(s.nodes)) {
		if n := s.nodes[i]; i != stay && n.core.isVoter(n.self.ID) {
			leaving, left = append(leaving, i), append(left, n.self.ID)
		}
	}
	for _, i := range leaving {
		s.beginLeave(i)
		s.run(s.rand.IntN(2 * stepsPerTick))
	}
	s.run(ticks * stepsPerTick)
	s.requireVoters(3, left...)
	for _, n := range s.nodes {
		is.New(s.t).True(n.core.role != leader || !n.core.leave.leaving)
	}
}

// requireVoters fails the test unless the committed membership has the given number of voters, without the given identities.
func (s *sim) requireVoters(count int, without ...string) {
	s.t.Helper()
	voters, _ := splitByRole(s.committedNodes())
	is := is.New(s.t)
	is.Equal(len(voters), count)
	for _, v := range voters {
		is.True(!slices.Contains(without, v.ID))
	}
}

// TestLeave guards against a voter that has left as planned and still counts for the majority, so that the loss of one disk soon
// after its end stops the cluster for good although its successor holds everything.
func TestLeave(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("disk lost right after the stop, seed ", seed), func(t *testing.T) {
			s := newLeaveSim(t, 4, seed)
			left := s.followingVoter()
			s.beginLeave(left)
			s.run(leaveTicks * stepsPerTick)
			is.New(t).True(s.nodes[left].core.leaveEnded())
			leftID := s.nodes[left].self.ID
			s.requireVoters(3, leftID)
			s.partitionOf[left] = 1 // it ends for good
			lost := s.followingVoter()
			s.freshDisk(lost)
			s.start(lost)
			acked := s.ackedIndex
			s.run(20 * replaceVoterTicks * stepsPerTick)
			is.New(t).True(s.ackedIndex > acked)
			s.requireVoters(3, leftID)
		})
		for _, stay := range []role{leader, follower} {
			t.Run(fmt.Sprintf("two at once, one %s stays, seed %d", stay, seed), func(t *testing.T) {
				s := newLeaveSim(t, 5, seed)
				s.leaveAllBut(s.indexOf(func(c *core) bool { return c.role == stay && c.isVoter(c.self.ID) }), leaveTicks)
			})
		}
		t.Run(fmt.Sprint("all at once, seed ", seed), func(t *testing.T) {
			newLeaveSim(t, 6, seed).leaveAllBut(-1, leaveAllTicks)
		})
		t.Run(fmt.Sprint("elected while it leaves, seed ", seed), func(t *testing.T) {
			s := newLeaveSim(t, 5, seed)
			leading := s.indexOf(func(c *core) bool { return c.role == leader })
			next := s.followingVoter()
			s.nodes[leading].core.transferTarget = s.nodes[next].self.ID
			s.nodes[leading].core.transferDeadline = s.nodes[leading].core.tick + electionTicks
			for i := 0; s.nodes[next].core.role != leader && i < electionTicks*stepsPerTick; i++ {
				s.run(1)
			}
			is.New(t).Equal(s.nodes[next].core.role, leader)
			s.beginLeave(leading)
			s.beginLeave(next)
			s.run(leaveTicks * stepsPerTick)
			s.requireVoters(3, s.nodes[leading].self.ID, s.nodes[next].self.ID)
		})
		t.Run(fmt.Sprint("successor stops while it is promoted, seed ", seed), func(t *testing.T) {
			s := newLeaveSim(t, 4, seed)
			left := s.followingVoter()
			next := s.indexOf(func(c *core) bool { return !c.isVoter(c.self.ID) })
			s.beginLeave(left)
			s.run(s.rand.IntN(electionTicks * stepsPerTick / 2))
			s.beginLeave(next)
			for i := 0; !s.nodes[next].core.leaveEnded() && i < leaveAllTicks*stepsPerTick; i++ {
				s.run(1)
			}
			s.partitionOf[next] = 1
			s.run(electionTicks * stepsPerTick)
			if !s.nodes[next].core.leave.refused { // it ended without a vote
				s.requireVoters(3, s.nodes[next].self.ID)
			}
		})
		t.Run(fmt.Sprint("leader fails in between, seed ", seed), func(t *testing.T) {
			s := newLeaveSim(t, 4, seed)
			leading := s.indexOf(func(c *core) bool { return c.role == leader })
			left := s.followingVoter()
			s.beginLeave(left)
			for i := 0; s.nodes[leading].core.voterCount() < 4 && i < leaveTicks*stepsPerTick; i++ {
				s.run(1)
			}
			is.New(t).Equal(s.nodes[leading].core.voterCount(), 4)
			s.nodes[leading].core = nil
			s.nodes[left].core = nil
			s.start(leading)
			s.start(left)
			is.New(t).True(s.heal())
			s.requireVoters(3)
		})
	}
}

// TestLeaveRefused guards against a voter that gives up its vote although none can take its place: the others could not lose
// a disk before it is back.
func TestLeaveRefused(t *testing.T) {
	requireRefused := func(t *testing.T, s *sim) {
		t.Helper()
		left := s.followingVoter()
		s.beginLeave(left)
		s.run(leaveTicks * stepsPerTick)
		is := is.New(t)
		is.True(s.nodes[left].core.leave.refused)
		s.requireVoters(3)
		is.True(s.nodes[left].core.isVoter(s.nodes[left].self.ID))
	}
	t.Run("no learner", func(t *testing.T) {
		requireRefused(t, newLeaveSim(t, 3, 1))
	})
	t.Run("learner down", func(t *testing.T) {
		s := newLeaveSim(t, 4, 1)
		s.partitionOf[s.indexOf(func(c *core) bool { return !c.isVoter(c.self.ID) })] = 1
		s.run(2 * electionTicks * stepsPerTick)
		requireRefused(t, s)
	})
	t.Run("restarted", func(t *testing.T) {
		s := newLeaveSim(t, 3, 1)
		left := s.followingVoter()
		s.beginLeave(left)
		s.nodes[left].core = nil
		s.start(left)
		s.run(4 * leaveRequestTicks * stepsPerTick)
		s.requireVoters(3)
	})
}

// TestFormerVoterRemoved guards against a membership that grows by each node that was stopped for good, and against a node that
// cannot come back after its removal.
func TestFormerVoterRemoved(t *testing.T) {
	is := is.New(t)
	s := newLeaveSim(t, 4, 1)
	left := s.followingVoter()
	s.beginLeave(left)
	s.run(leaveTicks * stepsPerTick)
	s.partitionOf[left] = 1
	s.run(2 * removeLearnerTicks * stepsPerTick)
	is.Equal(len(s.committedNodes()), 3)
	s.nodes[left].core = nil
	s.start(left)
	is.True(s.heal())
	is.Equal(len(s.committedNodes()), 4)
}
