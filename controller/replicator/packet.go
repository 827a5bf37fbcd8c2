package replicator

import (
	"net/netip"

	"bluebellhoist/core/wire"
)

// Kinds of packets.
const (
	kindPreVote             = "prevote" // asks whether a vote would be granted
	kindPreVoteReply        = "prevote-reply"
	kindVote                = "vote" // asks for a vote
	kindVoteReply           = "vote-reply"
	kindAppend              = "append"       // entries after index; without entries a heartbeat
	kindAppendReply         = "append-reply" // index is the last matching entry
	kindCheckpointPart      = "part"         // part of a checkpoint; hint is its offset
	kindCheckpointPartReply = "part-reply"   // hint is the number of bytes received
	kindJoin                = "join"         // a node without a leader asks to be added
	kindPropose             = "propose"      // a command for the leader
	kindProposeReply        = "propose-reply"
	kindRead                = "read" // asks for an index that covers every acknowledged commit
	kindReadReply           = "read-reply"
	kindTransfer            = "transfer" // the leader asks the receiver to take over leadership
	kindLeave               = "leave"    // a voter that stops as planned asks for another one in its place
	kindLeaveReply          = "leave-reply"
	kindIdentityLost        = "identity-lost" // the sender has lost its data folder, and with it the identities in nodes
)

// outgoing is a packet with its destination address.
type outgoing struct {
	to netip.AddrPort
	wire.Packet
}

// packet returns a packet with the fields set that all kinds share. The voter flag of the sender is its setting, not
// its membership.
func (c *core) packet(kind, to string) wire.Packet {
	return wire.Packet{Kind: kind, Cluster: c.cluster, From: c.self, To: to, Term: c.term}
}

// sendAfterSync queues a packet that must not be sent before the state of this step is durable.
func (c *core) sendAfterSync(to netip.AddrPort, p wire.Packet) {
	c.out.afterSync = append(c.out.afterSync, outgoing{to, p})
}

// sendBeforeSync queues a packet that may be sent while the leader still syncs its own log. That is safe, since the
// leader counts its own entries only once they are durable, and its term is durable before it leads.
func (c *core) sendBeforeSync(to netip.AddrPort, p wire.Packet) {
	c.out.beforeSync = append(c.out.beforeSync, outgoing{to, p})
}
