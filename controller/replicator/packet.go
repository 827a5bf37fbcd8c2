package replicator

import (
	"net/netip"

	"bluebellhoist/core/wire"
)

// Kinds of packets.
const (
	kindPreVote      = "prevote"       // asks whether a vote would be granted
	kindPreVoteReply = "prevote-reply" //
	kindVote         = "vote"          // asks for a vote
	kindVoteReply    = "vote-reply"    //
	kindAppend       = "append"        // entries after index; empty as heartbeat
	kindAppendReply  = "append-reply"  // index is the last matching entry
	kindPart         = "part"          // part of a state snapshot; hint is its offset
	kindPartReply    = "part-reply"    // hint is the number of bytes received
	kindJoin         = "join"          // a node without a leader asks to be replicated to
	kindPropose      = "propose"       // a command for the leader
	kindProposeReply = "propose-reply" //
	kindRead         = "read"          // asks for an index that covers every acknowledged commit
	kindReadReply    = "read-reply"    //
	kindTransfer     = "transfer"      // the leader asks the receiver to take over
)

// outgoing is a packet and the address it goes to.
type outgoing struct {
	to netip.AddrPort
	wire.Packet
}

// packet fills in the parts that every packet carries. The sender's voter flag tells its settings, not its membership.
func (c *core) packet(kind, to string) wire.Packet {
	return wire.Packet{Kind: kind, Cluster: c.cluster, From: c.self, To: to, Term: c.term}
}

// sendLate queues a packet that must not leave before the state of this step is durable.
func (c *core) sendLate(to netip.AddrPort, p wire.Packet) {
	c.out.late = append(c.out.late, outgoing{to, p})
}

// sendEarly queues a packet that may leave while the leader still syncs its own log. The leader counts its own entries
// only once they are durable, and the term of a leader is durable before it leads.
func (c *core) sendEarly(to netip.AddrPort, p wire.Packet) {
	c.out.early = append(c.out.early, outgoing{to, p})
}
