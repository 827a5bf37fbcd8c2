package replicator

import (
	"time"

	"bluebellhoist/core/wire"
)

// peer is what the leader knows about another node.
type peer struct {
	node       wire.Node // as in the membership
	wantsVote  bool      // the settings of the peer say that it should vote, and it is not about to stop
	replied    bool      // the peer has replied to this leader, so that wantsVote is known
	domain     string    // failure domain in the settings of the peer; empty until its first reply
	matchIndex uint64    // last entry known to be durable on the peer
	nextIndex  uint64    // next entry to send
	probing    bool      // the last matching entry is unknown; entries are sent in one packet at a time
	probeSent  bool      // a probe is in flight
	sentCommit uint64    // commit index last sent
	lastActive uint64    // tick of the last reply
	ackedRound uint64    // last round acknowledged
	addedRound uint64    // last round before the leader added the peer
	// confirmedLive is set once the peer has acknowledged a round that started after it was added. Its identity is then in
	// use and does not come from a delayed join request only.
	confirmedLive    bool
	clock            uint64           // tick of the peer in its last reply
	checkpoint       *wire.Checkpoint // checkpoint being sent; nil if none
	checkpointOffset int              // bytes of checkpoint that the peer has received
	resendTick       uint64           // tick at which a part is resent to a silent peer
}

// heartbeatRound is a heartbeat to all peers. Replies from a majority confirm that this node still leads.
type heartbeatRound struct {
	number, tick uint64
}

func (c *core) becomeLeader() {
	c.role, c.lead = leader, c.self
	c.electionsWon++
	c.resetElectionTimer()
	c.peers = map[string]*peer{}
	c.pendingRounds, c.leaderReads, c.transferTarget = nil, nil, ""
	c.leave.requests = map[string]uint64{}
	c.quorumTick, c.hasQuorumTick, c.nextHeartbeat = c.tick, true, c.tick
	c.syncPeers()
	c.appendEntry(wire.Entry{})
}

func (c *core) leaveLeadership() {
	for _, index := range sortedKeys(c.origins) {
		c.reportUnknownOutcome(c.origins[index])
	}
	clear(c.origins)
	for _, r := range c.reads {
		r.queued = false
	}
	c.peers, c.pendingRounds, c.leaderReads, c.transferTarget = nil, nil, nil, ""
}

func (c *core) appendEntry(e wire.Entry) uint64 {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.append(e)
	if len(e.Nodes) > 0 {
		c.syncPeers()
	}
	return e.Index
}

// syncPeers updates the peers after a change of the membership.
func (c *core) syncPeers() {
	old := c.peers
	c.peers = make(map[string]*peer, len(c.log.nodes))
	for _, n := range c.log.nodes {
		if n.ID == c.self.ID {
			continue
		}
		p := old[n.ID]
		if p == nil {
			p = &peer{nextIndex: c.log.last() + 1, probing: true, lastActive: c.tick, addedRound: c.lastRound}
		}
		p.node = n
		c.peers[n.ID] = p
	}
}

// advanceCommit commits what a majority has made durable. The commit index advances only to entries of the current
// term.
func (c *core) advanceCommit() {
	index := c.quorumValue(func(id string) uint64 {
		return c.nodeValue(id, c.log.durable, func(p *peer) uint64 { return p.matchIndex })
	})
	if term, ok := c.log.term(index); ok && term == c.term && index > c.log.commit {
		c.log.commit = index
	}
}

// nodeValue returns own for this node, the value of a peer, or 0 for a node that is no longer a member.
func (c *core) nodeValue(id string, own uint64, value func(*peer) uint64) uint64 {
	if id == c.self.ID {
		return own
	}
	if p := c.peers[id]; p != nil {
		return value(p)
	}
	return 0
}

// ownTermCommitted reports whether an entry of the current term is committed. Only then is the commit index certain to
// cover all commits of earlier leaders.
func (c *core) ownTermCommitted() bool {
	term, _ := c.log.term(c.log.commit)
	return term == c.term
}

// recordOwnCurrentTick records that this leader has committed every entry that was acknowledged before it last had a majority.
func (c *core) recordOwnCurrentTick() {
	if c.ownTermCommitted() {
		c.currentTick, c.hasCurrentTick = max(c.currentTick, c.quorumTick), true
	}
}

// broadcastHeartbeat starts a heartbeat round and sends a heartbeat to every peer.
func (c *core) broadcastHeartbeat() {
	c.lastRound++
	c.pendingRounds = append(c.pendingRounds, heartbeatRound{c.lastRound, c.tick})
	c.completeRounds()
	for _, n := range c.log.nodes {
		if p := c.peers[n.ID]; p != nil {
			c.sendAppend(p, true)
		}
	}
}

// completeRounds completes the rounds that a majority has acknowledged, and the reads that wait for them.
func (c *core) completeRounds() {
	ackedRound := c.quorumValue(func(id string) uint64 {
		return c.nodeValue(id, c.lastRound, func(p *peer) uint64 { return p.ackedRound })
	})
	for len(c.pendingRounds) > 0 && c.pendingRounds[0].number <= ackedRound {
		c.quorumTick = c.pendingRounds[0].tick
		c.pendingRounds = c.pendingRounds[1:]
	}
	c.confirmReads(ackedRound)
}

func (c *core) replicate() {
	for _, n := range c.log.nodes {
		p := c.peers[n.ID]
		if p == nil {
			continue
		}
		c.sendAppend(p, !p.probing && p.sentCommit < c.log.commit)
		// All entries are committed before the transfer, so that a planned stop leaves no proposal without a result.
		if n.ID == c.transferTarget && p.matchIndex == c.log.last() && c.log.commit == c.log.last() {
			c.sendAfterSync(n.Addr, c.packet(kindTransfer, n.ID))
		}
	}
}

// sendAppend sends the next entries to a peer. With force it sends a packet even if there are none, as a heartbeat or
// to announce the commit index.
func (c *core) sendAppend(p *peer, force bool) {
	if p.checkpoint != nil {
		if force && (c.isActive(p) || c.tick >= p.resendTick) {
			c.sendCheckpointPart(p)
		}
		return
	}
	prevTerm, ok := c.log.term(p.nextIndex - 1)
	if !ok {
		cp := c.log.checkpoint
		p.checkpoint, p.checkpointOffset = &cp, 0
		c.sendCheckpointPart(p)
		return
	}
	var entries []wire.Entry
	switch {
	case p.probing && p.probeSent:
		// An unacknowledged probe is resent without entries, so that an unreachable peer costs little bandwidth.
	case p.probing || p.nextIndex <= p.matchIndex+maxInFlightEntries:
		entries = c.log.entriesWithin(p.nextIndex-1, maxAppendBytes)
	}
	if len(entries) == 0 && !force {
		return
	}
	packet := c.leaderPacket(kindAppend, p)
	packet.Index, packet.Prior, packet.Commit, packet.Entries = p.nextIndex-1, prevTerm, c.log.commit, entries
	c.sendBeforeSync(p.node.Addr, packet)
	p.sentCommit = c.log.commit
	if p.probing {
		p.probeSent = true
	} else {
		p.nextIndex += uint64(len(entries))
	}
}

func (c *core) leaderPacket(kind string, p *peer) wire.Packet {
	packet := c.packet(kind, p.node.ID)
	packet.Seq, packet.Clock, packet.Age = c.lastRound, p.clock, time.Duration(c.tick-c.quorumTick)*Tick
	return packet
}

// recordPeerReply updates the state of the peer that sent the reply, which is from the current term, and returns the
// peer. It returns nil if the reply does not count: this node does not lead, or the sender is not a member.
func (c *core) recordPeerReply(reply wire.Packet) *peer {
	if c.role != leader {
		return nil
	}
	p := c.peers[reply.From.ID]
	if p == nil || reply.Seq > c.lastRound {
		return nil
	}
	p.confirmedLive = p.confirmedLive || reply.Seq > p.addedRound
	if reply.Seq >= p.ackedRound { // not a delayed reply from before the peer began to leave
		p.wantsVote = reply.From.Voter
	}
	p.lastActive, p.clock, p.ackedRound = c.tick, reply.Clock, max(p.ackedRound, reply.Seq)
	p.domain, p.replied = reply.From.Domain, true
	c.completeRounds()
	return p
}

func (c *core) onAppendReply(reply wire.Packet) {
	p := c.recordPeerReply(reply)
	if p == nil || reply.Index > c.log.last() {
		return
	}
	if reply.Reject {
		c.backtrack(p, reply)
		return
	}
	p.matchIndex = max(p.matchIndex, reply.Index)
	if p.checkpoint != nil {
		// The log may have been compacted beyond the checkpoint during its transfer; a newer one then follows.
		if _, ok := c.log.term(p.matchIndex); !ok && p.matchIndex < p.checkpoint.Index {
			return
		}
		p.checkpoint = nil
		p.nextIndex = p.matchIndex + 1
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	p.probing, p.probeSent = false, false
}

// backtrack moves to an earlier entry after a mismatch. Late replies, which refer to another position, are ignored.
func (c *core) backtrack(p *peer, reply wire.Packet) {
	if p.checkpoint != nil || reply.Index <= p.matchIndex || p.probing && reply.Index != p.nextIndex-1 {
		return
	}
	p.nextIndex = max(p.matchIndex, min(reply.Hint, reply.Index-1)) + 1
	p.probing, p.probeSent = true, false
}

func (c *core) isActive(p *peer) bool {
	return c.tick-p.lastActive < electionTicks
}
