package replicator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestIsolated guards against a leader that stays one without a majority, and against a node that disturbs the others
// when its partition heals.
func TestIsolated(t *testing.T) {
	for _, c := range []struct{ leads, link bool }{{true, false}, {false, false}, {false, true}} {
		t.Run(fmt.Sprintf("leader=%v, only from the leader=%v", c.leads, c.link), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 3, 1)
			is.True(s.heal())
			i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return (n.core.role == leader) == c.leads })
			term := s.maxTerm()
			if c.link {
				s.link = i + slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.core.role == leader })
			} else {
				s.side[i] = 1
			}
			s.run(2 * electionTicks * stepsPerTick)
			is.True(s.nodes[i].core.role != leader) // check-quorum ends leadership
			s.run(2 * electionTicks * stepsPerTick)
			if c.leads {
				term = s.maxTerm() // the others have elected a leader
			}
			s.run(100 * electionTicks * stepsPerTick)
			clear(s.side)
			s.link = 0
			s.run(electionTicks * stepsPerTick)
			is.Equal(s.maxTerm(), term) // pre-vote keeps the term
		})
	}
}

// TestFaults guards against two leaders in a term, lost or reordered commits, stale barriers, votes of fresh disks and a
// group that does not recover.
func TestFaults(t *testing.T) {
	cases := []struct {
		name                             string
		nodes, seats, domains            int
		loss, crash, partition, lostDisk int
		skew                             bool
	}{
		{name: "loss and reordering", nodes: 3, loss: 10},
		{name: "partitions", nodes: 5, loss: 2, partition: 500},
		{name: "partitions and clocks of different speed", nodes: 5, loss: 2, crash: 5, partition: 500, skew: true},
		{name: "crashes", nodes: 3, loss: 2, crash: 300},
		{name: "lost disks, one right after the other's repair", nodes: 3, lostDisk: 100_000},
		{name: "everything", nodes: 5, loss: 5, crash: 20, partition: 40, lostDisk: 100_000},
		{name: "everything, ten nodes and five seats", nodes: 10, seats: 5, domains: 5, loss: 5, crash: 20, partition: 40, lostDisk: 100_000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					is := is.New(t)
					s := newSim(t, c.nodes, seed, func(s *sim) { s.seats, s.domains = c.seats, c.domains })
					is.True(s.heal()) // the group forms
					s.quiet, s.skew, s.loss, s.crash, s.partition, s.lostDisk = false, c.skew, c.loss, c.crash, c.partition, c.lostDisk
					s.run(20_000)
					is.True(s.heal())                             // the group recovers
					is.True(s.answered > 100 && s.barriers > 100) // the run did work
					is.True(c.lostDisk == 0 || s.replaced > 1 && s.installs > 0)
				})
			}
		})
	}
}
