package replicator

import "bluebellhoist/core/wire"

// snapshotBuffer collects the parts of one state snapshot from one leader.
type snapshotBuffer struct {
	leaderID string
	index    uint64
	term     uint64 // term of the leader
	data     []byte
}

func (c *core) sendSnapshotPart(p *peer) {
	end := min(p.snapshotOffset+maxPartBytes, len(p.snapshot.Data))
	packet := c.leaderPacket(kindSnapshotPart, p)
	packet.Index, packet.Prior, packet.Nodes = p.snapshot.Index, p.snapshot.Term, p.snapshot.Nodes
	packet.Hint, packet.Data, packet.Last = uint64(p.snapshotOffset), p.snapshot.Data[p.snapshotOffset:end], end == len(p.snapshot.Data)
	p.resendTick = c.tick + electionTicks
	c.sendBeforeSync(p.node.Addr, packet)
}

func (c *core) onSnapshotPartReply(reply wire.Packet) {
	p := c.recordPeerReply(reply)
	if p == nil || p.snapshot == nil || p.snapshot.Index != reply.Index || reply.Hint > uint64(len(p.snapshot.Data)) {
		return
	}
	advanced := int(reply.Hint) > p.snapshotOffset
	p.snapshotOffset = int(reply.Hint)
	// After a repeated or late reply the next part waits for the next heartbeat, so that such replies do not multiply
	// the traffic.
	if advanced {
		c.sendSnapshotPart(p)
	}
}

func (c *core) onSnapshotPart(p wire.Packet) {
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
	buf := &c.incomingSnapshot
	if buf.leaderID != p.From.ID || buf.index != p.Index || buf.term != p.Term {
		*buf = snapshotBuffer{leaderID: p.From.ID, index: p.Index, term: p.Term}
	}
	if p.Hint == uint64(len(buf.data)) {
		buf.data = append(buf.data, p.Data...)
		if p.Last {
			c.installSnapshot(p)
			return
		}
	}
	reply := c.leaderReply(kindSnapshotPartReply, p)
	reply.Index, reply.Hint = p.Index, uint64(len(buf.data))
	c.sendAfterSync(p.From.Addr, reply)
}

func (c *core) installSnapshot(p wire.Packet) {
	cp := wire.Checkpoint{Index: p.Index, Term: p.Prior, Nodes: p.Nodes, Data: c.incomingSnapshot.data}
	c.incomingSnapshot = snapshotBuffer{}
	c.log.install(cp)
	c.out.install = &cp
	c.replyAppend(p, p.Index)
}
