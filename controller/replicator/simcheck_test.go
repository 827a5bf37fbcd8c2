package replicator

import (
	"fmt"

	"bluebellhoist/core/wire"
)

// checkVote guards against a double vote and a vote by an identity that no log ever had as a voter.
func (s *sim) checkVote(p outgoing) {
	if p.Reject || p.Kind != kindVoteReply && p.Kind != kindPreVoteReply {
		return
	}
	if !s.voters[p.From.ID] {
		s.t.Fatalf("step %d: fresh disk %s votes", s.now, p.From.ID)
	}
	if p.Kind == kindPreVoteReply {
		return
	}
	key := fmt.Sprintf("%s in term %d", p.From.ID, p.Term)
	if old, ok := s.votes[key]; ok && old != p.To {
		s.t.Fatalf("step %d: %s votes for %s and %s", s.now, key, old, p.To)
	}
	s.votes[key] = p.To
}

// checkFresh guards against a cut-off node that counts as fresh because of a packet that was delayed.
func (s *sim) checkFresh(n *simNode) {
	c, led := n.core, n.led || n.core.won != n.won // a node may win and step down within one step
	n.led, n.won = c.role == leader, n.core.won
	fresh := n.booted + int(c.fresh-c.booted)*stepsPerTick
	switch {
	case s.skew || !c.everFresh:
	case led || n.led:
		s.confirmed = max(s.confirmed, fresh)
	case fresh > s.confirmed+stepsPerTick:
		s.t.Fatalf("step %d: %s is fresh at %d, no leader had a majority after %d", s.now, n.self.ID, fresh, s.confirmed)
	}
}

func (s *sim) check(n *simNode) {
	c := n.core
	if c.fault != nil {
		s.t.Fatalf("step %d: %v", s.now, c.fault)
	}
	if c.role != leader {
		return
	}
	if old, ok := s.leaders[c.term]; ok && old != n.self.ID {
		s.t.Fatalf("step %d: term %d has leaders %s and %s", s.now, c.term, old, n.self.ID)
	}
	s.leaders[c.term] = n.self.ID
	s.checkChanges(n)
}

func (s *sim) noteVoters(n *simNode) {
	if n.core.role != leader {
		return
	}
	for _, node := range n.core.log.nodes {
		if node.Voter {
			s.voters[node.ID] = true
		}
	}
}

// checkChanges guards against memberships whose majorities need not intersect.
func (s *sim) checkChanges(n *simNode) {
	l, open, own := n.core.log, 0, false
	before := l.checkpoint.Nodes
	for _, e := range l.entries {
		if len(e.Nodes) == 0 || e.Index <= l.checkpoint.Index {
			continue
		}
		if e.Index > l.commit {
			open++
			own = own || e.Term == n.core.term
		}
		if changed := changedVoters(before, e.Nodes); changed > 1 {
			s.t.Fatalf("step %d: %s changes %d voters at %d", s.now, n.self.ID, changed, e.Index)
		}
		before = e.Nodes
	}
	// A new leader may not know yet that the changes of earlier leaders are committed.
	if own && open > 1 {
		s.t.Fatalf("step %d: %s has %d uncommitted membership changes", s.now, n.self.ID, open)
	}
}

func changedVoters(a, b []wire.Node) (count int) {
	voters := map[string]int{}
	for i, nodes := range [][]wire.Node{a, b} {
		for _, n := range nodes {
			if n.Voter {
				voters[n.ID] += 1 + i
			}
		}
	}
	for _, in := range voters {
		if in != 3 {
			count++
		}
	}
	return count
}
