package replicator

import "bluebellhoist/core/wire"

// leaveState is what a node knows about voters that leave as planned, itself or others.
type leaveState struct {
	leaving  bool              // this node is about to stop
	refused  bool              // the leader has no node to take the place of this one
	nextSend uint64            // tick of the next request
	requests map[string]uint64 // tick of the last request by node ID; leader only
}

// startLeave begins to hand over the vote of this node. It no longer wants one.
func (c *core) startLeave() {
	c.leave.leaving, c.leave.refused = true, false
	c.leave.nextSend = c.tick
	c.self.Voter = false
	c.requestLeave()
}

// requestLeave asks the leader to replace this node as a voter, until that is done.
func (c *core) requestLeave() {
	if !c.leave.leaving || c.leaveEnded() || c.lead.ID == "" || c.tick < c.leave.nextSend {
		return
	}
	c.leave.nextSend = c.tick + leaveRetryTicks
	c.sendAfterSync(c.lead.Addr, c.packet(kindLeave, c.lead.ID))
}

// leaveEnded reports whether nothing more can be done for a leaving node: it is no voter, or it has to keep its vote since it
// leads or no node can take its place.
func (c *core) leaveEnded() bool {
	return c.leave.refused || c.role == leader || c.hasLeft()
}

// hasLeft reports whether the committed membership has this node as no voter.
func (c *core) hasLeft() bool {
	return !c.isVoter(c.self.ID) && c.log.nodesIndex <= c.log.commit
}

// onLeave replaces the sender as a voter, or replies that no node can take its place. Without one the sender keeps its vote:
// a smaller group of voters would not be able to lose a disk before the sender is back.
func (c *core) onLeave(p wire.Packet) {
	if c.role != leader || !c.isVoter(p.From.ID) {
		return
	}
	c.leave.requests[p.From.ID] = c.tick
	if c.maxVoters == 0 || c.voterCount() <= c.maxVoters && !c.hasSuccessor() {
		reply := c.packet(kindLeaveReply, p.From.ID)
		reply.Reject = true
		c.sendAfterSync(p.From.Addr, reply)
		return
	}
	c.maintainMembership()
}

func (c *core) onLeaveReply(p wire.Packet) {
	c.leave.refused = c.leave.leaving && p.Reject
}

// isLeaving reports whether a node has lately asked to be replaced as a voter.
func (c *core) isLeaving(id string) bool {
	tick, ok := c.leave.requests[id]
	return ok && c.role == leader && c.tick-tick < leaveRequestTicks
}

// leavingVoter returns a voter that has asked to be replaced.
func (c *core) leavingVoter() (wire.Node, bool) {
	for _, n := range c.log.nodes {
		if n.Voter && c.isLeaving(n.ID) {
			return n, true
		}
	}
	return wire.Node{}, false
}

// hasSuccessor reports whether an active learner wants to vote. It may have to catch up first.
func (c *core) hasSuccessor() bool {
	for _, n := range c.log.nodes {
		if p := c.peers[n.ID]; p != nil && !n.Voter && c.isActive(p) && p.wantsVote {
			return true
		}
	}
	return false
}

// replaceLeavingVoter makes the next of two changes, and reports whether it made one: it promotes a learner, and then demotes
// the leaving voter. In between there is one voter more than the limit, all of which are up, so that the loss of any one of
// them leaves a majority.
func (c *core) replaceLeavingVoter(v wire.Node) bool {
	if c.maxVoters == 0 {
		return false
	}
	if c.voterCount() > c.maxVoters {
		if !c.canRemove(v, 0) {
			return false
		}
		v.Voter = false
		c.setNode(v)
		return true
	}
	n, ok := c.nextVoter()
	if ok {
		n.Voter = true
		c.setNode(n)
	}
	return ok
}
