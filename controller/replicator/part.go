package replicator

import "bluebellhoist/core/wire"

// partBuffer collects the parts of one state snapshot of one leader.
type partBuffer struct {
	from  string
	index uint64
	term  uint64 // term of the leader
	data  []byte
}

func (c *core) sendPart(p *peer) {
	end := min(p.offset+partBytes, len(p.part.Data))
	m := c.leaderPacket(kindPart, p)
	m.Index, m.Prior, m.Nodes = p.part.Index, p.part.Term, p.part.Nodes
	m.Hint, m.Data, m.Last = uint64(p.offset), p.part.Data[p.offset:end], end == len(p.part.Data)
	p.retry = c.tick + electionTicks
	c.sendEarly(p.node.Addr, m)
}

func (c *core) onPartReply(m wire.Packet) {
	p := c.hearPeer(m)
	if p == nil || p.part == nil || p.part.Index != m.Index || m.Hint > uint64(len(p.part.Data)) {
		return
	}
	further := int(m.Hint) > p.offset
	p.offset = int(m.Hint)
	// A repeated or late answer waits for the next heartbeat, so that it does not multiply the traffic.
	if further {
		c.sendPart(p)
	}
}

func (c *core) onPart(p wire.Packet) {
	c.hearLeader(p)
	if p.Index <= c.log.commit {
		c.replyAppend(p, c.log.commit)
		return
	}
	if term, ok := c.log.term(p.Index); ok && term == p.Prior {
		c.log.commit = p.Index
		c.replyAppend(p, p.Index)
		return
	}
	b := &c.parts
	if b.from != p.From.ID || b.index != p.Index || b.term != p.Term {
		*b = partBuffer{from: p.From.ID, index: p.Index, term: p.Term}
	}
	if p.Hint == uint64(len(b.data)) {
		b.data = append(b.data, p.Data...)
		if p.Last {
			c.install(p)
			return
		}
	}
	reply := c.answer(kindPartReply, p)
	reply.Index, reply.Hint = p.Index, uint64(len(b.data))
	c.sendLate(p.From.Addr, reply)
}

func (c *core) install(p wire.Packet) {
	cp := wire.Checkpoint{Index: p.Index, Term: p.Prior, Nodes: p.Nodes, Data: c.parts.data}
	c.parts = partBuffer{}
	c.log.install(cp)
	c.out.install = &cp
	c.replyAppend(p, p.Index)
}
