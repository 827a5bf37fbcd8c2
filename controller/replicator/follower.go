package replicator

import "bluebellhoist/core/wire"

func (c *core) onAppend(p wire.Packet) {
	c.recordLeaderContact(p)
	for i, e := range p.Entries {
		if e.Index != p.Index+1+uint64(i) {
			return
		}
	}
	if p.Index < c.log.base {
		c.replyAppend(p, c.log.commit)
		return
	}
	if term, ok := c.log.term(p.Index); !ok || term != p.Prior {
		c.rejectAppend(p)
		return
	}
	for _, e := range p.Entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok && !c.truncateLog(e.Index) {
			return
		}
		c.log.append(e)
	}
	matched := p.Index + uint64(len(p.Entries))
	c.log.commit = max(c.log.commit, min(p.Commit, matched))
	c.recordCurrentTick(p)
	c.replyAppend(p, matched)
}

func (c *core) truncateLog(index uint64) bool {
	if index <= c.log.commit {
		c.failInvariant("leader %s overwrites the committed entry %d", c.lead.ID, index)
		return false
	}
	c.log.truncate(index)
	return true
}

func (c *core) replyAppend(p wire.Packet, matched uint64) {
	reply := c.leaderReply(kindAppendReply, p)
	reply.Index = matched
	c.sendAfterSync(p.From.Addr, reply)
}

// leaderReply returns a reply to a packet from the leader.
func (c *core) leaderReply(kind string, p wire.Packet) wire.Packet {
	reply := c.packet(kind, p.From.ID)
	reply.Seq, reply.Clock = p.Seq, c.tick
	return reply
}

// rejectAppend tells the leader the last index that may match. If the terms conflict, it skips all entries of the
// conflicting term.
func (c *core) rejectAppend(p wire.Packet) {
	hint := min(p.Index, c.log.last())
	if conflict, ok := c.log.term(p.Index); ok {
		for hint > c.log.commit {
			if term, _ := c.log.term(hint); term != conflict {
				break
			}
			hint--
		}
	}
	reply := c.leaderReply(kindAppendReply, p)
	reply.Index, reply.Reject, reply.Hint = p.Index, true, hint
	c.sendAfterSync(p.From.Addr, reply)
}
