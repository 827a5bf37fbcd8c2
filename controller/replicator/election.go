package replicator

import (
	"maps"

	"bluebellhoist/core/wire"
)

func (c *core) resetElectionTimer() {
	c.electionTimeout = electionTicks + c.rand.Uint64N(electionTicks)
	c.electionDeadline = c.tick + c.electionTimeout
}

// scheduleElectionRetry sets the time of the next attempt of a candidate, sooner than a full election timeout. The
// timeout after which a leader without a majority steps down stays at its full length.
func (c *core) scheduleElectionRetry() {
	c.resetElectionTimer()
	c.electionDeadline = c.tick + retryElectionTicks + c.rand.Uint64N(retryElectionSpreadTicks)
}

func (c *core) setTerm(term uint64, vote string) {
	if c.term != term || c.vote != vote {
		c.term, c.vote, c.hardStateDirty = term, vote, true
	}
}

// becomeFollower enters a new term, or gives up leadership in the current one.
func (c *core) becomeFollower(term uint64, lead wire.Node) {
	if c.role == leader {
		c.leaveLeadership()
	}
	if term > c.term {
		c.setTerm(term, "")
	}
	c.role, c.lead = follower, lead
	c.resetElectionTimer()
}

// recordLeaderContact handles what every packet from the leader of the current term implies: the sender is the leader,
// and the election timer restarts.
func (c *core) recordLeaderContact(p wire.Packet) {
	if c.role != follower {
		c.becomeFollower(c.term, p.From)
	}
	c.lead, c.lastContact = p.From, c.tick
	c.resetElectionTimer()
	if tick, ok := c.majorityTick(p); ok && tick >= c.quorumTick {
		c.quorumTick, c.hasQuorumTick = tick, true
	}
}

// majorityTick returns a tick of this node at or after which the leader had a majority, as a packet from the leader proves,
// and false if it proves none since the start of this node.
//
// The packet may have been delayed for long, so its arrival time proves nothing. The leader sent it after it had received
// p.Clock, a tick of this node that it echoes, and had a majority p.Age before it sent the packet. One more tick covers the
// fraction that the leader's tick count leaves out.
func (c *core) majorityTick(p wire.Packet) (uint64, bool) {
	age := uint64(p.Age/Tick) + 1
	return p.Clock - age, p.Clock <= c.tick && p.Clock >= c.startTick+age
}

// recordCurrentTick records that this node has committed every entry that was acknowledged before the leader had the majority
// that the append p proves. It does so only if this node has committed up to the commit index of the leader, and the entry
// there is of the leader's own term: before that the index may be behind commits that the previous leader acknowledged.
func (c *core) recordCurrentTick(p wire.Packet) {
	if term, ok := c.log.term(p.Commit); !ok || term != p.Term || c.log.commit < p.Commit {
		return
	}
	if tick, ok := c.majorityTick(p); ok && tick >= c.currentTick {
		c.currentTick, c.hasCurrentTick = tick, true
	}
}

// startPreVote asks whether this node could win an election, without entering a new term. A node that was partitioned
// thus does not disrupt a working leader when it returns.
func (c *core) startPreVote() {
	c.role, c.lead = preCandidate, wire.Node{}
	c.scheduleElectionRetry()
	c.grantedVotes = map[string]bool{c.self.ID: true}
	c.countVotes()
	if c.role == preCandidate {
		c.requestVotes(kindPreVote, c.term+1)
	}
}

// startElection enters a new term and requests votes. The own vote counts once it is durable.
func (c *core) startElection() {
	c.role, c.lead = candidate, wire.Node{}
	c.scheduleElectionRetry()
	c.lostBeforeTerm = maps.Clone(c.lost)
	c.setTerm(c.term+1, c.self.ID)
	c.grantedVotes = map[string]bool{}
	c.requestVotes(kindVote, c.term)
}

func (c *core) requestVotes(kind string, term uint64) {
	for _, n := range c.electorate() {
		if !n.Voter || n.ID == c.self.ID {
			continue
		}
		p := c.packet(kind, n.ID)
		p.Term, p.Index, p.Prior = term, c.log.last(), c.log.lastTerm()
		c.sendAfterSync(n.Addr, p)
	}
}

func (c *core) countVotes() {
	if !c.isQuorum(func(id string) bool { return c.grantedVotes[id] }) {
		return
	}
	if c.role == preCandidate {
		c.startElection()
		return
	}
	c.becomeLeader()
}

func (c *core) onPreVote(p wire.Packet) {
	leaderAlive := c.role == leader || c.lead.ID != "" && c.tick-c.lastContact < electionTicks
	grant := !leaderAlive && p.Term > c.term && c.canVoteFor(p)
	reply := c.packet(kindPreVoteReply, p.From.ID)
	reply.Reject = !grant
	if grant {
		reply.Term = p.Term
	}
	c.sendAfterSync(p.From.Addr, reply)
}

func (c *core) onPreVoteReply(p wire.Packet) {
	if p.Reject {
		if p.Term > c.term {
			c.becomeFollower(p.Term, wire.Node{})
		}
		return
	}
	if c.role == preCandidate && p.Term == c.term+1 {
		c.grantedVotes[p.From.ID] = true
		c.countVotes()
	}
}

func (c *core) onVote(p wire.Packet) {
	grant := (c.vote == "" || c.vote == p.From.ID) && c.role != leader && c.canVoteFor(p)
	if grant {
		c.setTerm(c.term, p.From.ID)
		c.resetElectionTimer()
	}
	reply := c.packet(kindVoteReply, p.From.ID)
	reply.Reject = !grant
	c.sendAfterSync(p.From.Addr, reply)
}

// canVoteFor reports whether the log of the candidate is up to date. A node with an empty log never votes: its disk may
// have been replaced and have lost an earlier vote.
//
// A learner votes too if a candidate asks it. Its promotion may not have reached it yet, and the candidate may need its
// vote to commit the promotion.
func (c *core) canVoteFor(p wire.Packet) bool {
	return c.log.last() > 0 && c.log.upToDate(p.Index, p.Prior)
}

func (c *core) onVoteReply(p wire.Packet) {
	if c.role == candidate && !p.Reject {
		c.grantedVotes[p.From.ID] = true
		c.countVotes()
	}
}

// startTransfer starts to transfer leadership to the voter with the highest matching index among those that may lead.
func (c *core) startTransfer() {
	var best *peer
	for _, n := range c.log.nodes {
		p := c.peers[n.ID]
		if c.canLead(p) && (best == nil || p.matchIndex > best.matchIndex) {
			best = p
		}
	}
	c.transferTarget = ""
	if best != nil {
		c.transferTarget, c.transferDeadline = best.node.ID, c.tick+electionTicks
	}
}

func (c *core) onTransfer(p wire.Packet) {
	if c.role == follower && c.lead.ID == p.From.ID && c.isVoter(c.self.ID) && !c.leave.leaving {
		c.startElection()
	}
}
