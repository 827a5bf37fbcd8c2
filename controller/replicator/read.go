package replicator

import "bluebellhoist/core/wire"

// read is a local request for a linearizable read.
type read struct {
	queued    bool   // this node leads and the read waits for a round
	nextSend  uint64 // tick at which it is resent
	index     uint64 // read index, known once confirmed; the read completes once the entry at index is applied
	confirmed bool
}

// leaderRead is a read on the leader. A round that starts after the request has arrived confirms it.
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
	r.nextSend = c.tick + heartbeatTicks
	if c.role == leader {
		r.queued = c.queueRead(origin{c.self, id})
		return
	}
	if c.lead.ID != "" {
		p := c.packet(kindRead, c.lead.ID)
		p.Seq = id
		c.sendAfterSync(c.lead.Addr, p)
	}
}

func (c *core) resendReads() {
	for _, id := range sortedKeys(c.reads) {
		if r := c.reads[id]; !r.confirmed && !r.queued && c.tick >= r.nextSend {
			c.sendRead(id, r)
		}
	}
}

func (c *core) onRead(p wire.Packet) {
	c.queueRead(origin{p.From, p.Seq})
}

// queueRead queues a read on the leader. Reads are refused until an entry of the current term is committed: before that
// the commit index may be behind commits that the previous leader acknowledged.
func (c *core) queueRead(from origin) bool {
	if c.role != leader || !c.ownTermCommitted() {
		return false
	}
	c.leaderReads = append(c.leaderReads, leaderRead{from: from})
	return true
}

// startReadRound starts one round for all reads that have arrived since the last one.
func (c *core) startReadRound() {
	waiting := false
	for i := range c.leaderReads {
		if r := &c.leaderReads[i]; r.round == 0 {
			r.round, r.index, waiting = c.lastRound+1, c.log.commit, true
		}
	}
	if waiting {
		c.broadcastHeartbeat()
	}
}

// confirmReads replies to the reads whose round a majority has acknowledged.
func (c *core) confirmReads(ackedRound uint64) {
	var rest []leaderRead
	for _, r := range c.leaderReads {
		if r.round == 0 || r.round > ackedRound {
			rest = append(rest, r)
			continue
		}
		c.replyRead(r)
	}
	c.leaderReads = rest
}

func (c *core) replyRead(r leaderRead) {
	if r.from.node.ID == c.self.ID {
		c.setReadIndex(r.from.id, r.index)
		return
	}
	p := c.packet(kindReadReply, r.from.node.ID)
	p.Seq, p.Index = r.from.id, r.index
	c.sendAfterSync(r.from.node.Addr, p)
}

func (c *core) onReadReply(p wire.Packet) {
	c.setReadIndex(p.Seq, p.Index)
}

func (c *core) setReadIndex(id, index uint64) {
	if r := c.reads[id]; r != nil && !r.confirmed {
		r.confirmed, r.index = true, index
	}
}

func (c *core) completeReads() {
	for _, id := range sortedKeys(c.reads) {
		if r := c.reads[id]; r.confirmed && r.index <= c.log.applied {
			delete(c.reads, id)
			c.out.readyReads = append(c.out.readyReads, id)
		}
	}
}
