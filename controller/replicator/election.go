package replicator

import "bluebellhoist/core/wire"

func (c *core) resetElection() {
	c.timeout = electionTicks + c.rand.Uint64N(electionTicks)
	c.deadline = c.tick + c.timeout
}

// retryElection sets when a candidate tries again. The time after which a leader without a majority steps down stays long.
func (c *core) retryElection() {
	c.resetElection()
	c.deadline = c.tick + retryTicks + c.rand.Uint64N(retrySpread)
}

func (c *core) setTerm(term uint64, vote string) {
	if c.term != term || c.vote != vote {
		c.term, c.vote, c.hardDirty = term, vote, true
	}
}

// becomeFollower enters a term, or leaves leadership in the current one.
func (c *core) becomeFollower(term uint64, lead wire.Node) {
	if c.role == leader {
		c.leaveLeadership()
	}
	if term > c.term {
		c.setTerm(term, "")
	}
	c.role, c.lead = follower, lead
	c.resetElection()
}

// hearLeader notes a packet of the leader of the current term.
func (c *core) hearLeader(p wire.Packet) {
	if c.role != follower {
		c.becomeFollower(c.term, p.From)
	}
	c.lead, c.heard = p.From, c.tick
	c.resetElection()
	// The packet may have been delayed for long. It was sent after the leader got the clock that it repeats.
	// One tick more covers the part of a tick that the leader's clock does not show.
	age := uint64(p.Age/Tick) + 1
	if p.Clock <= c.tick && p.Clock >= c.booted+age && p.Clock-age >= c.fresh {
		c.fresh, c.everFresh = p.Clock-age, true
	}
}

// startPreVote asks whether an election could be won, without entering a new term. A node that was cut off so does not
// disturb a working leader when it comes back.
func (c *core) startPreVote() {
	c.role, c.lead = preCandidate, wire.Node{}
	c.retryElection()
	c.granted = map[string]bool{c.self.ID: true}
	c.countVotes()
	if c.role == preCandidate {
		c.askVotes(kindPreVote, c.term+1)
	}
}

// startVote enters a new term and asks for votes. The own vote counts once it is durable.
func (c *core) startVote() {
	c.role, c.lead = candidate, wire.Node{}
	c.retryElection()
	c.setTerm(c.term+1, c.self.ID)
	c.granted = map[string]bool{}
	c.askVotes(kindVote, c.term)
}

func (c *core) askVotes(kind string, term uint64) {
	for _, n := range c.log.nodes {
		if !n.Voter || n.ID == c.self.ID {
			continue
		}
		p := c.packet(kind, n.ID)
		p.Term, p.Index, p.Prior = term, c.log.last(), c.log.lastTerm()
		c.sendLate(n.Addr, p)
	}
}

func (c *core) countVotes() {
	votes := 0
	for _, n := range c.log.nodes {
		if n.Voter && c.granted[n.ID] {
			votes++
		}
	}
	if votes < c.quorum() {
		return
	}
	if c.role == preCandidate {
		c.startVote()
		return
	}
	c.becomeLeader()
}

func (c *core) onPreVote(p wire.Packet) {
	live := c.role == leader || c.lead.ID != "" && c.tick-c.heard < electionTicks
	grant := !live && p.Term > c.term && c.mayVoteFor(p)
	reply := c.packet(kindPreVoteReply, p.From.ID)
	reply.Reject = !grant
	if grant {
		reply.Term = p.Term
	}
	c.sendLate(p.From.Addr, reply)
}

func (c *core) onPreVoteReply(p wire.Packet) {
	if p.Reject {
		if p.Term > c.term {
			c.becomeFollower(p.Term, wire.Node{})
		}
		return
	}
	if c.role == preCandidate && p.Term == c.term+1 {
		c.granted[p.From.ID] = true
		c.countVotes()
	}
}

func (c *core) onVote(p wire.Packet) {
	grant := (c.vote == "" || c.vote == p.From.ID) && c.role != leader && c.mayVoteFor(p)
	if grant {
		c.setTerm(c.term, p.From.ID)
		c.resetElection()
	}
	reply := c.packet(kindVoteReply, p.From.ID)
	reply.Reject = !grant
	c.sendLate(p.From.Addr, reply)
}

// mayVoteFor compares logs. A node with an empty log never votes: it may be a fresh disk that forgot an earlier vote.
//
// A learner whose promotion has not reached it yet does vote when asked by its identity, since the candidate may need
// that vote to commit the promotion.
func (c *core) mayVoteFor(p wire.Packet) bool {
	return c.log.last() > 0 && c.log.upToDate(p.Index, p.Prior)
}

func (c *core) onVoteReply(p wire.Packet) {
	if c.role == candidate && !p.Reject {
		c.granted[p.From.ID] = true
		c.countVotes()
	}
}

// startTransfer hands leadership to the voter that has the most of the log.
func (c *core) startTransfer() {
	if c.role != leader {
		return
	}
	var best *peer
	for _, n := range c.log.nodes {
		p := c.peers[n.ID]
		if p == nil || !n.Voter || !c.active(p) || best != nil && p.match <= best.match {
			continue
		}
		best = p
	}
	if best != nil {
		c.target, c.targetEnd = best.node.ID, c.tick+electionTicks
	}
}

func (c *core) onTransfer(p wire.Packet) {
	if c.role == follower && c.lead.ID == p.From.ID && c.isVoter(c.self.ID) {
		c.startVote()
	}
}
