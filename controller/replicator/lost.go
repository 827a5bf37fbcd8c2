package replicator

import "bluebellhoist/core/wire"

// onMisdirected tells the sender of a packet to an earlier identity of this node that the identity is gone. The sender knew
// the identity before it sent the packet, and an identity is stored in the data folder, so this node has lost the folder
// since. The reply stays true for good, however late it arrives.
func (c *core) onMisdirected(p wire.Packet) {
	if p.Kind != kindPreVote || p.From.ID == c.self.ID {
		return
	}
	reply := c.packet(kindIdentityLost, p.From.ID)
	reply.Cluster = p.Cluster // this node may not have joined again yet
	reply.Nodes = []wire.Node{{ID: p.To}}
	c.sendAfterSync(p.From.Addr, reply)
}

// onIdentityLost records the identities that the sender has lost. The sender must have the name and the address of the lost
// identity: another machine may use the address by now and proves nothing.
func (c *core) onIdentityLost(p wire.Packet) {
	for _, lost := range p.Nodes {
		n, ok := c.knownNode(lost.ID)
		if !ok || n.ID == p.From.ID || n.Name != p.From.Name || n.Addr != p.From.Addr {
			continue
		}
		c.lost[n.ID] = true
	}
	if c.role == preCandidate {
		c.countVotes()
	}
}

// knownNode returns a node of the electorate.
func (c *core) knownNode(id string) (wire.Node, bool) {
	for _, n := range c.electorate() {
		if n.ID == id {
			return n, true
		}
	}
	return wire.Node{}, false
}
