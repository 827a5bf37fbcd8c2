package replicator

import "bluebellhoist/core/wire"

// leaveState is what a node knows about nodes that leave as planned, itself or others.
type leaveState struct {
	leaving   bool              // this node is about to stop
	confirmed bool              // the leader has committed that this node has no vote, and will not give it one
	refused   bool              // the leader has no node to take the place of this one
	nextSend  uint64            // tick of the next request
	requests  map[string]uint64 // tick of the last request by node ID; leader only
}

// startLeave begins a planned stop: this node transfers the leadership if it leads, and then hands over its vote. From now on
// every reply says that it wants no vote, so that no leader transfers the leadership to it.
func (c *core) startLeave() {
	c.leave.leaving, c.leave.confirmed, c.leave.refused = true, false, false
	c.leave.nextSend = c.tick
	c.self.Voter = false
	c.continueLeave()
}

// continueLeave takes the next step of a planned stop, if there is one. A node may be elected while it leaves, and a transfer
// may fail, so the step depends only on the current role.
func (c *core) continueLeave() {
	switch {
	case !c.leave.leaving || c.leaveEnded():
	case c.role == leader:
		c.transferWhenPossible()
	default:
		c.requestLeave()
	}
}

// transferWhenPossible transfers the leadership to a voter that stays. If there is none yet, the leader goes on and promotes
// a learner first.
func (c *core) transferWhenPossible() {
	if p := c.peers[c.transferTarget]; p != nil && c.canLead(p) {
		return
	}
	c.startTransfer()
}

// requestLeave asks the leader to replace this node as a voter, until that is confirmed. A learner asks too, since its
// promotion may be on the way.
func (c *core) requestLeave() {
	if c.lead.ID == "" || c.tick < c.leave.nextSend {
		return
	}
	c.leave.nextSend = c.tick + leaveRetryTicks
	c.sendAfterSync(c.lead.Addr, c.packet(kindLeave, c.lead.ID))
}

// leaveEnded reports whether nothing more can be done for a leaving node: it has no vote, or it has to keep its vote or its
// leadership since no node can take its place.
func (c *core) leaveEnded() bool {
	if c.role == leader {
		return !c.hasNextLeader()
	}
	return c.leave.refused || c.leave.confirmed
}

// onLeave replaces the sender as a voter, confirms that it has no vote, or replies that no node can take its place. Without
// one the sender keeps its vote: a smaller group of voters would not be able to lose a disk before the sender is back.
func (c *core) onLeave(p wire.Packet) {
	if c.role != leader {
		return
	}
	c.leave.requests[p.From.ID] = c.tick
	switch {
	case !c.isVoter(p.From.ID):
		if c.log.nodesIndex <= c.log.commit && c.ownTermCommitted() {
			c.replyToLeave(p, false)
		}
	case c.maxVoters == 0 || c.voterCount() <= c.fewestVoters() && !c.hasSuccessor():
		c.replyToLeave(p, true)
	default:
		c.maintainMembership()
	}
}

func (c *core) replyToLeave(p wire.Packet, reject bool) {
	reply := c.packet(kindLeaveReply, p.From.ID)
	reply.Reject = reject
	c.sendAfterSync(p.From.Addr, reply)
}

// onLeaveReply ignores a reply of an earlier leader, whose membership may be outdated.
func (c *core) onLeaveReply(p wire.Packet) {
	if c.leave.leaving && p.Term == c.term && p.From.ID == c.lead.ID {
		c.leave.refused, c.leave.confirmed = p.Reject, !p.Reject
	}
}

// isLeaving reports whether a node has lately asked to be replaced as a voter, or is this node and about to stop.
func (c *core) isLeaving(id string) bool {
	if id == c.self.ID {
		return c.leave.leaving
	}
	tick, ok := c.leave.requests[id]
	return ok && c.role == leader && c.tick-tick < leaveRequestTicks
}

// leavingVoter returns a voter that is to be replaced. The leader itself comes last.
func (c *core) leavingVoter() (leaving wire.Node, ok bool) {
	for _, n := range c.log.nodes {
		if n.Voter && c.isLeaving(n.ID) && (!ok || n.ID != c.self.ID) {
			leaving, ok = n, true
		}
	}
	return leaving, ok
}

// mayVote reports whether an active peer wants to vote. Until its first reply to this leader it is assumed to.
func (c *core) mayVote(p *peer) bool {
	return p != nil && c.isActive(p) && !c.isLeaving(p.node.ID) && (p.wantsVote || !p.replied)
}

// canLead reports whether the leadership may be transferred to a peer: an active voter that has told this
// leader that it wants to vote, so that it is not about to stop itself.
func (c *core) canLead(p *peer) bool {
	return p != nil && p.node.Voter && p.replied && c.mayVote(p)
}

// hasNextLeader reports whether another node may lead, perhaps after a promotion.
func (c *core) hasNextLeader() bool {
	for _, p := range c.peers {
		if c.mayVote(p) {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether a learner may take over a vote. It may have to catch up first.
func (c *core) hasSuccessor() bool {
	for _, n := range c.log.nodes {
		if !n.Voter && c.mayVote(c.peers[n.ID]) {
			return true
		}
	}
	return false
}

// replaceLeavingVoter makes the next of two changes, and reports whether it made one: it promotes a learner if there is one,
// and then demotes the leaving voter. In between there may be one voter more than the limit, all of which are up, so that the
// loss of any one of them leaves a majority.
func (c *core) replaceLeavingVoter(v wire.Node) bool {
	if c.maxVoters == 0 {
		return false
	}
	if n, ok := c.nextVoter(); ok && c.voterCount() <= c.maxVoters {
		n.Voter = true
		c.setNode(n)
		return true
	}
	if c.voterCount() <= c.fewestVoters() || !c.canRemove(v, 0) {
		return false
	}
	v.Voter = false
	c.setNode(v)
	return true
}
