package replicator

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

const (
	// packetDelayTicks is the largest delay of a packet in the simulation: 64 steps.
	packetDelayTicks = 13
	// spreadTicks is the time in which all controllers apply what one of them has acknowledged if packets arrive in order: the delay
	// of the one that announces the commit.
	spreadTicks = 1
	// lateSpreadTicks is the same if packets are late or overtake each other: the next heartbeat repeats the announcement.
	lateSpreadTicks = heartbeatTicks + packetDelayTicks
	// succeedTicks is the time in which the others apply what a leader acknowledged just before it failed: the longest election
	// timeout, two attempts that split the vote, and the packets of an election, each delayed at most once.
	succeedTicks = 2*electionTicks + 2*(retryElectionTicks+retryElectionSpreadTicks) + 2*packetDelayTicks
)

// ticksUntilApplied runs the simulation until all running nodes have applied an index, and returns how many ticks that took.
func (s *sim) ticksUntilApplied(index uint64, limit int, afterStep func()) int {
	for steps := 0; ; steps++ {
		done := true
		for _, n := range s.nodes {
			done = done && (n.core == nil || n.core.log.applied >= index)
		}
		if done || steps > limit*stepsPerTick {
			return (steps + stepsPerTick - 1) / stepsPerTick
		}
		s.run(1)
		afterStep()
	}
}

// TestSpread guards against controllers that learn only from a later heartbeat what is committed, and against those that miss it
// because a packet is late.
func TestSpread(t *testing.T) {
	for _, c := range []struct {
		name    string
		inOrder bool
		limit   int
	}{{"packets in order", true, spreadTicks}, {"late packets", false, lateSpreadTicks}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				is := is.New(t)
				s := newSim(t, 5, seed)
				is.True(s.heal())
				s.inOrder = c.inOrder
				s.run(packetDelayTicks * stepsPerTick)
				for range 200 {
					s.idle = false
					s.run(7)
					s.idle = true // later entries would announce the commit too
					took := s.ticksUntilApplied(s.ackedIndex, c.limit, func() {})
					is.True(took <= c.limit)
				}
			}
		})
	}
}

// TestLeaderLostAfterAck guards against an acknowledged change that the other controllers apply late, because the leader fails
// before it has told them that the change is committed.
func TestLeaderLostAfterAck(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 3, seed)
			is.True(s.heal())
			before := s.ackedIndex
			for s.ackedIndex == before {
				s.run(1)
			}
			var lost *simNode
			for _, n := range s.nodes {
				if n.core.role == leader {
					lost = n
				}
			}
			is.True(lost != nil)
			lost.core = nil
			took := s.ticksUntilApplied(s.ackedIndex, succeedTicks, func() { lost.core = nil })
			is.True(took <= succeedTicks)
		})
	}
}
