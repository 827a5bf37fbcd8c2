package replicator

import (
	"cmp"
	"maps"
	"slices"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// proposal is a command of a local caller.
type proposal struct {
	id  uint64
	cmd wire.Command
}

// forward is a local proposal that waits for a leader or for its answer.
type forward struct {
	proposal
	sent     bool
	to       string // leader when it was sent or last looked at
	deadline uint64 // tick at which a sent proposal counts as unanswered
}

// origin tells who waits for the result of an entry. The node is empty if nobody does.
type origin struct {
	node wire.Node
	id   uint64
}

// committed is an entry for the state machine and who waits for its result.
type committed struct {
	wire.Entry
	origin origin
}

// answer ends a local request.
type answer struct {
	id     uint64
	result wire.Result
	data   []byte // encoded result from another node
	err    error
}

func (c *core) propose(p proposal) {
	if c.role == leader && c.target == "" {
		if err := c.accept(p.cmd, origin{c.self, p.id}); err != nil {
			c.out.answers = append(c.out.answers, answer{id: p.id, err: err})
		}
		return
	}
	f := &forward{proposal: p}
	c.waiting[p.id] = f
	c.sendForward(f)
}

// accept stamps a command with the leader's time and appends it.
func (c *core) accept(cmd wire.Command, from origin) error {
	c.stamp = max(c.stamp, c.now)
	cmd.At = c.stamp
	data, err := encoder.Marshal(cmd)
	if err != nil {
		return err
	}
	c.origins[c.appendEntry(wire.Entry{Data: data})] = from
	return nil
}

func (c *core) sendForward(f *forward) {
	if c.role == leader || c.lead.ID == "" {
		return
	}
	data, err := encoder.Marshal(f.cmd)
	if err != nil {
		c.endForward(answer{id: f.id, err: err})
		return
	}
	p := c.packet(kindPropose, c.lead.ID)
	p.Seq, p.Data = f.id, data
	c.sendLate(c.lead.Addr, p)
	f.sent, f.to, f.deadline = true, c.lead.ID, c.tick+answerTicks
}

// retryForwards sends proposals that never reached a leader and gives up on those that may have. A proposal that may
// have been appended is not sent again: the caller decides.
func (c *core) retryForwards() {
	for _, id := range sortedKeys(c.waiting) {
		f := c.waiting[id]
		if f.sent && c.lead.ID != "" && c.lead.ID != f.to {
			// The old leader may have answered before it handed over, but probably it is lost.
			f.to, f.deadline = c.lead.ID, min(f.deadline, c.tick+graceTicks)
		}
		switch {
		case f.sent && c.tick >= f.deadline:
			c.endForward(answer{id: id, err: ErrUnknown})
		case !f.sent && c.role == leader && c.target == "":
			delete(c.waiting, id)
			c.propose(f.proposal)
		case !f.sent:
			c.sendForward(f)
		}
	}
}

func (c *core) endForward(a answer) {
	if _, ok := c.waiting[a.id]; ok {
		delete(c.waiting, a.id)
		c.out.answers = append(c.out.answers, a)
	}
}

func (c *core) onPropose(p wire.Packet) {
	reply := c.packet(kindProposeReply, p.From.ID)
	reply.Seq = p.Seq
	if c.role != leader || c.target != "" {
		reply.Reject = true
		c.sendLate(p.From.Addr, reply)
		return
	}
	var cmd wire.Command
	err := encoder.Unmarshal(p.Data, &cmd)
	if err == nil {
		err = c.accept(cmd, origin{p.From, p.Seq})
	}
	if err != nil {
		reply.Error = err.Error()
		c.sendLate(p.From.Addr, reply)
	}
}

func (c *core) onProposeReply(p wire.Packet) {
	f := c.waiting[p.Seq]
	switch {
	case f == nil:
	case p.Reject:
		f.sent = false // the receiver did not lead; the next step with a tick tries again
	case p.Error != "":
		c.endForward(answer{id: p.Seq, err: ErrUnknown})
	default:
		c.endForward(answer{id: p.Seq, data: p.Data})
	}
}

// failOrigin tells a caller that its entry may or may not be committed by the next leader.
func (c *core) failOrigin(o origin) {
	if o.node.ID == c.self.ID {
		c.out.answers = append(c.out.answers, answer{id: o.id, err: ErrUnknown})
		return
	}
	reply := c.packet(kindProposeReply, o.node.ID)
	reply.Seq, reply.Error = o.id, ErrUnknown.Error()
	c.sendLate(o.node.Addr, reply)
}

// sortedKeys makes the order of iteration deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}
