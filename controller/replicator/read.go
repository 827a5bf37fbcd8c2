package replicator

import "bluebellhoist/core/wire"

// read is a local request for a linearizable read.
type read struct {
	begun bool   // this node leads and the read waits for a round
	next  uint64 // tick at which it is sent again
	index uint64 // index to wait for, once confirmed
	ready bool
}

// leaderRead is a read at the leader. It is confirmed by a round that started after the request arrived.
type leaderRead struct {
	from         origin
	index, round uint64
}

func (c *core) addRead(id uint64) {
	r := &read{}
	c.reads[id] = r
	c.sendRead(id, r)
}

func (c *core) sendRead(id uint64, r *read) {
	r.next = c.tick + heartbeatTicks
	if c.role == leader {
		r.begun = c.beginRead(origin{c.self, id})
		return
	}
	if c.lead.ID != "" {
		p := c.packet(kindRead, c.lead.ID)
		p.Seq = id
		c.sendLate(c.lead.Addr, p)
	}
}

func (c *core) retryReads() {
	for _, id := range sortedKeys(c.reads) {
		if r := c.reads[id]; !r.ready && !r.begun && c.tick >= r.next {
			c.sendRead(id, r)
		}
	}
}

func (c *core) onRead(p wire.Packet) {
	c.beginRead(origin{p.From, p.Seq})
}

// beginRead queues a read. It is refused until an entry of the own term is committed: before that the commit index may be
// behind commits that the last leader acknowledged.
func (c *core) beginRead(from origin) bool {
	if c.role != leader || !c.ownTermCommitted() {
		return false
	}
	c.leadRead = append(c.leadRead, leaderRead{from: from})
	return true
}

// startRound starts one round for all reads that arrived since the last one.
func (c *core) startRound() {
	waiting := false
	for i := range c.leadRead {
		if r := &c.leadRead[i]; r.round == 0 {
			r.round, r.index, waiting = c.seq+1, c.log.commit, true
		}
	}
	if waiting {
		c.beat()
	}
}

// confirmReads answers the reads whose round a majority has answered.
func (c *core) confirmReads(seq uint64) {
	var rest []leaderRead
	for _, r := range c.leadRead {
		if r.round == 0 || r.round > seq {
			rest = append(rest, r)
			continue
		}
		c.answerRead(r)
	}
	c.leadRead = rest
}

func (c *core) answerRead(r leaderRead) {
	if r.from.node.ID == c.self.ID {
		c.setReady(r.from.id, r.index)
		return
	}
	p := c.packet(kindReadReply, r.from.node.ID)
	p.Seq, p.Index = r.from.id, r.index
	c.sendLate(r.from.node.Addr, p)
}

func (c *core) onReadReply(p wire.Packet) {
	c.setReady(p.Seq, p.Index)
}

func (c *core) setReady(id, index uint64) {
	if r := c.reads[id]; r != nil && !r.ready {
		r.ready, r.index = true, index
	}
}

func (c *core) finishReads() {
	for _, id := range sortedKeys(c.reads) {
		if r := c.reads[id]; r.ready && r.index <= c.log.delivered {
			delete(c.reads, id)
			c.out.ready = append(c.out.ready, id)
		}
	}
}
