package replicator

import "bluebellhoist/core/wire"

// checkpointBuffer collects the parts of one checkpoint from one leader.
type checkpointBuffer struct {
	leaderID string
	index    uint64
	term     uint64 // term of the leader, not of the last entry in the checkpoint
	data     []byte
}

func (c *core) sendCheckpointPart(p *peer) {
	end := min(p.checkpointOffset+maxPartBytes, len(p.checkpoint.Data))
	packet := c.leaderPacket(kindCheckpointPart, p)
	packet.Index, packet.Prior, packet.Nodes = p.checkpoint.Index, p.checkpoint.Term, p.checkpoint.Nodes
	packet.Hint, packet.Data, packet.Last = uint64(p.checkpointOffset), p.checkpoint.Data[p.checkpointOffset:end], end == len(p.checkpoint.Data)
	p.resendTick = c.tick + electionTicks
	c.sendBeforeSync(p.node.Addr, packet)
}

func (c *core) onCheckpointPartReply(reply wire.Packet) {
	p := c.recordPeerReply(reply)
	if p == nil || p.checkpoint == nil || p.checkpoint.Index != reply.Index || reply.Hint > uint64(len(p.checkpoint.Data)) {
		return
	}
	advanced := int(reply.Hint) > p.checkpointOffset
	p.checkpointOffset = int(reply.Hint)
	// After a duplicate or late reply the next part waits for the next heartbeat, so that such replies do not multiply
	// the traffic.
	if advanced {
		c.sendCheckpointPart(p)
	}
}

func (c *core) onCheckpointPart(p wire.Packet) {
	c.recordLeaderContact(p)
	if p.Index <= c.log.commit {
		c.replyAppend(p, c.log.commit)
		return
	}
	if term, ok := c.log.term(p.Index); ok && term == p.Prior {
		c.log.commit = p.Index
		c.replyAppend(p, p.Index)
		return
	}
	buf := &c.incomingCheckpoint
	if buf.leaderID != p.From.ID || buf.index != p.Index || buf.term != p.Term {
		*buf = checkpointBuffer{leaderID: p.From.ID, index: p.Index, term: p.Term}
	}
	if p.Hint == uint64(len(buf.data)) {
		buf.data = append(buf.data, p.Data...)
		if p.Last {
			c.installCheckpoint(p)
			return
		}
	}
	reply := c.leaderReply(kindCheckpointPartReply, p)
	reply.Index, reply.Hint = p.Index, uint64(len(buf.data))
	c.sendAfterSync(p.From.Addr, reply)
}

func (c *core) installCheckpoint(p wire.Packet) {
	cp := wire.Checkpoint{Index: p.Index, Term: p.Prior, Nodes: p.Nodes, Data: c.incomingCheckpoint.data}
	c.incomingCheckpoint = checkpointBuffer{}
	c.log.install(cp)
	c.out.install = &cp
	c.replyAppend(p, p.Index)
}
