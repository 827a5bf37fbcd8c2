package replicator

import (
	"cmp"
	"maps"
	"slices"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// proposal is the command of a local caller.
type proposal struct {
	id  uint64
	cmd wire.Command
}

// pendingProposal is a local proposal that waits for a leader or for its reply.
type pendingProposal struct {
	proposal
	sent     bool
	leaderID string // leader that it was sent to, or a later one seen since
	deadline uint64 // tick at which the outcome of a sent proposal counts as unknown
}

// origin identifies the request that waits for the result of an entry. The node is empty if there is none.
type origin struct {
	node wire.Node
	id   uint64
}

// committedEntry is an entry for the state machine, with the request that waits for its result.
type committedEntry struct {
	wire.Entry
	origin origin
}

// response completes a local request.
type response struct {
	id     uint64
	result wire.Result
	data   []byte // encoded result from another node
	err    error
}

func (c *core) propose(p proposal) {
	if c.role == leader && c.transferTarget == "" {
		if err := c.appendCommand(p.cmd, origin{c.self, p.id}); err != nil {
			c.out.responses = append(c.out.responses, response{id: p.id, err: err})
		}
		return
	}
	pending := &pendingProposal{proposal: p}
	c.pendingProposals[p.id] = pending
	c.forwardProposal(pending)
}

// appendCommand sets the time of a command and appends it to the log.
func (c *core) appendCommand(cmd wire.Command, from origin) error {
	c.lastCommandTime = max(c.lastCommandTime, c.now)
	cmd.At = c.lastCommandTime
	data, err := encoder.Marshal(cmd)
	if err != nil {
		return err
	}
	c.origins[c.appendEntry(wire.Entry{Data: data})] = from
	return nil
}

func (c *core) forwardProposal(pending *pendingProposal) {
	if c.role == leader || c.lead.ID == "" {
		return
	}
	data, err := encoder.Marshal(pending.cmd)
	if err != nil {
		c.completeProposal(response{id: pending.id, err: err})
		return
	}
	p := c.packet(kindPropose, c.lead.ID)
	p.Seq, p.Data = pending.id, data
	c.sendAfterSync(c.lead.Addr, p)
	pending.sent, pending.leaderID, pending.deadline = true, c.lead.ID, c.tick+replyTimeoutTicks
}

// resendProposals sends proposals that have not reached a leader and gives up on sent ones after a timeout. A proposal
// that may have been appended is not resent: its caller decides whether to retry it.
func (c *core) resendProposals() {
	for _, id := range sortedKeys(c.pendingProposals) {
		pending := c.pendingProposals[id]
		if pending.sent && c.lead.ID != "" && c.lead.ID != pending.leaderID {
			// The former leader may have replied before it transferred leadership, but it has probably failed.
			pending.leaderID, pending.deadline = c.lead.ID, min(pending.deadline, c.tick+formerLeaderTicks)
		}
		switch {
		case pending.sent && c.tick >= pending.deadline:
			c.completeProposal(response{id: id, err: ErrOutcomeUnknown})
		case !pending.sent && c.role == leader && c.transferTarget == "":
			delete(c.pendingProposals, id)
			c.propose(pending.proposal)
		case !pending.sent:
			c.forwardProposal(pending)
		}
	}
}

func (c *core) completeProposal(resp response) {
	if _, ok := c.pendingProposals[resp.id]; ok {
		delete(c.pendingProposals, resp.id)
		c.out.responses = append(c.out.responses, resp)
	}
}

func (c *core) onPropose(p wire.Packet) {
	reply := c.packet(kindProposeReply, p.From.ID)
	reply.Seq = p.Seq
	if c.role != leader || c.transferTarget != "" {
		reply.Reject = true
		c.sendAfterSync(p.From.Addr, reply)
		return
	}
	var cmd wire.Command
	err := encoder.Unmarshal(p.Data, &cmd)
	if err == nil {
		err = c.appendCommand(cmd, origin{p.From, p.Seq})
	}
	if err != nil {
		reply.Error = err.Error()
		c.sendAfterSync(p.From.Addr, reply)
	}
}

func (c *core) onProposeReply(p wire.Packet) {
	pending := c.pendingProposals[p.Seq]
	switch {
	case pending == nil:
	case p.Reject:
		pending.sent = false // the receiver did not lead; the next tick resends the proposal
	case p.Error != "":
		c.completeProposal(response{id: p.Seq, err: ErrOutcomeUnknown})
	default:
		c.completeProposal(response{id: p.Seq, data: p.Data})
	}
}

// reportUnknownOutcome tells the caller that the next leader may or may not commit its entry.
func (c *core) reportUnknownOutcome(o origin) {
	if o.node.ID == c.self.ID {
		c.out.responses = append(c.out.responses, response{id: o.id, err: ErrOutcomeUnknown})
		return
	}
	reply := c.packet(kindProposeReply, o.node.ID)
	reply.Seq, reply.Error = o.id, ErrOutcomeUnknown.Error()
	c.sendAfterSync(o.node.Addr, reply)
}

// sortedKeys returns the keys of m in order, so that iteration is deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}
