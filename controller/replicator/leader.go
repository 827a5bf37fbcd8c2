package replicator

import (
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// peer is what the leader knows about another node.
type peer struct {
	node    wire.Node // as in the membership
	wish    bool      // the node's settings say that it is to vote
	domain  string    // failure domain that the node's settings say; empty until it has answered
	match   uint64    // last entry known to be durable there
	next    uint64    // next entry to send
	probing bool      // the last matching entry is not known: one packet at a time
	asked   bool      // a probe is in flight
	commit  uint64    // commit index last sent
	active  uint64    // tick of the last answer
	seq     uint64    // last round answered
	joined  uint64    // last round before this leader knew the node
	proved  bool      // a later round was answered, so the identity is in use and no delayed packet speaks for it
	clock   uint64    // clock in the last answer
	part    *wire.Checkpoint
	offset  int    // bytes of part received there
	retry   uint64 // tick at which a part is sent again to a silent peer
}

// round is a broadcast whose answers confirm the leader.
type round struct {
	seq, tick uint64
}

func (c *core) becomeLeader() {
	c.role, c.lead = leader, c.self
	c.won++
	c.resetElection()
	c.peers = map[string]*peer{}
	c.rounds, c.leadRead, c.target = nil, nil, ""
	c.fresh, c.everFresh, c.nextBeat = c.tick, true, c.tick
	c.syncPeers()
	c.appendEntry(wire.Entry{})
}

func (c *core) leaveLeadership() {
	for _, index := range sortedKeys(c.origins) {
		c.failOrigin(c.origins[index])
	}
	clear(c.origins)
	for _, r := range c.reads {
		r.begun = false
	}
	c.peers, c.rounds, c.leadRead, c.target = nil, nil, nil, ""
}

func (c *core) appendEntry(e wire.Entry) uint64 {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.append(e)
	if len(e.Nodes) > 0 {
		c.syncPeers()
	}
	return e.Index
}

// syncPeers follows the membership.
func (c *core) syncPeers() {
	old := c.peers
	c.peers = make(map[string]*peer, len(c.log.nodes))
	for _, n := range c.log.nodes {
		if n.ID == c.self.ID {
			continue
		}
		p := old[n.ID]
		if p == nil {
			p = &peer{next: c.log.last() + 1, probing: true, active: c.tick, joined: c.seq}
		}
		p.node = n
		c.peers[n.ID] = p
	}
}

// advanceCommit commits what a majority holds durably, counting only entries of the leader's own term.
func (c *core) advanceCommit() {
	index := c.majority(func(id string) uint64 {
		if id == c.self.ID {
			return c.log.durable
		}
		return c.peers[id].match
	})
	if term, ok := c.log.term(index); ok && term == c.term && index > c.log.commit {
		c.log.commit = index
	}
}

// majority returns the highest value that a majority of the voters has reached.
func (c *core) majority(value func(id string) uint64) uint64 {
	var values []uint64
	for _, n := range c.log.nodes {
		if n.Voter {
			values = append(values, value(n.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.quorum()]
}

// ownTermCommitted reports whether the commit index is certain to cover all commits of earlier leaders.
func (c *core) ownTermCommitted() bool {
	term, _ := c.log.term(c.log.commit)
	return term == c.term
}

// beat starts a round and sends a heartbeat to every peer.
func (c *core) beat() {
	c.seq++
	c.rounds = append(c.rounds, round{c.seq, c.tick})
	c.confirm()
	for _, n := range c.log.nodes {
		if p := c.peers[n.ID]; p != nil {
			c.sendAppend(p, true)
		}
	}
}

// confirm completes the rounds that a majority has answered.
func (c *core) confirm() {
	seq := c.majority(func(id string) uint64 {
		if id == c.self.ID {
			return c.seq
		}
		return c.peers[id].seq
	})
	for len(c.rounds) > 0 && c.rounds[0].seq <= seq {
		c.fresh = c.rounds[0].tick
		c.rounds = c.rounds[1:]
	}
	c.confirmReads(seq)
}

func (c *core) replicate() {
	for _, n := range c.log.nodes {
		p := c.peers[n.ID]
		if p == nil {
			continue
		}
		c.sendAppend(p, !p.probing && p.commit < c.log.commit)
		// All proposals are answered before the transfer, so that a planned stop leaves no unknown outcomes.
		if n.ID == c.target && p.match == c.log.last() && c.log.commit == c.log.last() {
			c.sendLate(n.Addr, c.packet(kindTransfer, n.ID))
		}
	}
}

// sendAppend sends the next entries. With force it sends even if there are none, as a heartbeat or to tell the commit
// index.
func (c *core) sendAppend(p *peer, force bool) {
	if p.part != nil {
		if force && (c.active(p) || c.tick >= p.retry) {
			c.sendPart(p)
		}
		return
	}
	prior, ok := c.log.term(p.next - 1)
	if !ok {
		cp := c.log.checkpoint
		p.part, p.offset = &cp, 0
		c.sendPart(p)
		return
	}
	var entries []wire.Entry
	switch {
	case p.probing && p.asked:
		// An unanswered probe is repeated without entries, so that a lost peer costs no bandwidth.
	case p.probing || p.next <= p.match+windowEntries:
		entries = c.log.batch(p.next-1, batchBytes)
	}
	if len(entries) == 0 && !force {
		return
	}
	m := c.leaderPacket(kindAppend, p)
	m.Index, m.Prior, m.Commit, m.Entries = p.next-1, prior, c.log.commit, entries
	c.sendEarly(p.node.Addr, m)
	p.commit = c.log.commit
	if p.probing {
		p.asked = true
	} else {
		p.next += uint64(len(entries))
	}
}

func (c *core) leaderPacket(kind string, p *peer) wire.Packet {
	m := c.packet(kind, p.node.ID)
	m.Seq, m.Clock, m.Age = c.seq, p.clock, time.Duration(c.tick-c.fresh)*Tick
	return m
}

// hearPeer notes an answer in the current term and returns its sender, or nil if it is no member.
func (c *core) hearPeer(m wire.Packet) *peer {
	if c.role != leader {
		return nil
	}
	p := c.peers[m.From.ID]
	if p == nil || m.Seq > c.seq {
		return nil
	}
	p.proved = p.proved || m.Seq > p.joined
	p.active, p.wish, p.clock, p.seq = c.tick, m.From.Voter, m.Clock, max(p.seq, m.Seq)
	p.domain = m.From.Domain
	c.confirm()
	return p
}

func (c *core) onAppendReply(m wire.Packet) {
	p := c.hearPeer(m)
	if p == nil || m.Index > c.log.last() {
		return
	}
	if m.Reject {
		c.stepBack(p, m)
		return
	}
	p.match = max(p.match, m.Index)
	if p.part != nil {
		// The log may have been compacted beyond the state snapshot during its transfer; then a newer one follows.
		if _, ok := c.log.term(p.match); !ok && p.match < p.part.Index {
			return
		}
		p.part = nil
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	p.probing, p.asked = false, false
}

// stepBack moves to an earlier entry after a mismatch. Late answers, which tell about another position, are ignored.
func (c *core) stepBack(p *peer, m wire.Packet) {
	if p.part != nil || m.Index <= p.match || p.probing && m.Index != p.next-1 {
		return
	}
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	p.probing, p.asked = true, false
}

func (c *core) active(p *peer) bool {
	return c.tick-p.active < electionTicks
}
