package replicator

import (
	"cmp"
	"fmt"
	"slices"

	"bluebellhoist/core/wire"
)

// checkVote guards against a node that votes for two candidates in a term, and against a vote of an identity that was never
// a voter.
func (s *sim) checkVote(p outgoing) {
	if p.Reject || p.Kind != kindVoteReply && p.Kind != kindPreVoteReply {
		return
	}
	if !s.knownVoters[p.From.ID] {
		s.t.Fatalf("step %d: %s votes without ever having been a voter", s.now, p.From.ID)
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

// checkQuorumTick guards against an isolated node that counts as fresh because of a delayed packet.
func (s *sim) checkQuorumTick(n *simNode) {
	c, wasLeader := n.core, n.wasLeader || n.core.electionsWon != n.electionsWon // a node may win and step down within one step
	n.wasLeader, n.electionsWon = c.role == leader, n.core.electionsWon
	quorumStep := n.startStep + int(c.quorumTick-c.startTick)*stepsPerTick
	switch {
	case s.skew || !c.hasQuorumTick:
	case wasLeader || n.wasLeader:
		s.lastQuorumStep = max(s.lastQuorumStep, quorumStep)
	case quorumStep > s.lastQuorumStep+stepsPerTick:
		s.t.Fatalf("step %d: %s assumes a majority at step %d, but no leader had one after %d", s.now, n.self.ID, quorumStep, s.lastQuorumStep)
	}
}

// checkCurrent guards against a node that counts as current, so that daemons stay with it, although it lacks an entry that
// was acknowledged before the time that it claims.
func (s *sim) checkCurrent(n *simNode) {
	c := n.core
	if s.skew || !c.hasCurrentTick {
		return
	}
	claimed := n.startStep + int(c.currentTick-c.startTick)*stepsPerTick
	s.currentClaims++
	if before := s.ackedBefore(claimed); c.log.applied < before {
		s.t.Fatalf("step %d: %s claims to be current as of step %d, but has applied %d of %d entries acknowledged before", s.now, n.self.ID, claimed, c.log.applied, before)
	}
}

// ackedBefore returns the highest index that was acknowledged to a caller before a step.
func (s *sim) ackedBefore(step int) uint64 {
	i, _ := slices.BinarySearchFunc(s.acks, step, func(a simAck, step int) int { return cmp.Compare(a.step, step) })
	if i == 0 {
		return 0
	}
	return s.acks[i-1].index
}

func (s *sim) checkInvariants(n *simNode) {
	c := n.core
	if c.invariantErr != nil {
		s.t.Fatalf("step %d: %v", s.now, c.invariantErr)
	}
	if c.role != leader {
		return
	}
	if old, ok := s.leaders[c.term]; ok && old != n.self.ID {
		s.t.Fatalf("step %d: term %d has leaders %s and %s", s.now, c.term, old, n.self.ID)
	}
	s.leaders[c.term] = n.self.ID
	s.checkMembershipChanges(n)
}

func (s *sim) recordVoters(n *simNode) {
	if n.core.role != leader {
		return
	}
	for _, node := range n.core.log.nodes {
		if node.Voter {
			s.knownVoters[node.ID] = true
		}
	}
}

// checkMembershipChanges guards against consecutive memberships whose majorities need not intersect.
func (s *sim) checkMembershipChanges(n *simNode) {
	log, uncommitted, ownTerm := n.core.log, 0, false
	previous := log.checkpoint.Nodes
	for _, e := range log.entries {
		if len(e.Nodes) == 0 || e.Index <= log.checkpoint.Index {
			continue
		}
		if e.Index > log.commit {
			uncommitted++
			ownTerm = ownTerm || e.Term == n.core.term
		}
		if changed := changedVoters(previous, e.Nodes); changed > 1 {
			s.t.Fatalf("step %d: %s changes %d voters at entry %d", s.now, n.self.ID, changed, e.Index)
		}
		previous = e.Nodes
	}
	// A new leader may not know yet that the changes made by earlier leaders are committed.
	if ownTerm && uncommitted > 1 {
		s.t.Fatalf("step %d: %s has %d uncommitted membership changes", s.now, n.self.ID, uncommitted)
	}
}

// changedVoters counts the nodes that are voters in only one of the memberships.
func changedVoters(a, b []wire.Node) (count int) {
	voters := map[string]int{} // 1 for a voter in a only, 2 in b only, 3 in both
	for i, nodes := range [][]wire.Node{a, b} {
		for _, n := range nodes {
			if n.Voter {
				voters[n.ID] += 1 + i
			}
		}
	}
	for _, membership := range voters {
		if membership != 3 {
			count++
		}
	}
	return count
}
