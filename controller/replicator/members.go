package replicator

import (
	"net/netip"
	"slices"

	"bluebellhoist/core/wire"
)

func (c *core) member(id string) (wire.Node, bool) {
	i := slices.IndexFunc(c.log.nodes, func(n wire.Node) bool { return n.ID == id })
	if i < 0 {
		return wire.Node{}, false
	}
	return c.log.nodes[i], true
}

func (c *core) isVoter(id string) bool {
	n, ok := c.member(id)
	return ok && n.Voter
}

// canChangeMembership reports whether the leader may change the membership. It allows one uncommitted change at a time,
// and none before an entry of the current term is committed: majorities of memberships that are one change apart
// intersect only if the leader knows the last committed one.
func (c *core) canChangeMembership() bool {
	return c.log.nodesIndex <= c.log.commit && c.ownTermCommitted() && c.transferTarget == ""
}

// setNode adds or replaces one node.
func (c *core) setNode(node wire.Node) {
	nodes := slices.Clone(c.log.nodes)
	i := slices.IndexFunc(nodes, func(n wire.Node) bool { return n.ID == node.ID })
	if i < 0 {
		nodes = append(nodes, node)
	} else {
		nodes[i] = node
	}
	c.appendEntry(wire.Entry{Nodes: nodes})
}

func (c *core) removeNode(id string) {
	nodes := slices.DeleteFunc(slices.Clone(c.log.nodes), func(n wire.Node) bool { return n.ID == id })
	c.appendEntry(wire.Entry{Nodes: nodes})
}

// joinIfLeaderless sends join requests while no leader is known.
func (c *core) joinIfLeaderless() {
	if c.role != leader && c.lead.ID == "" && c.tick >= c.nextJoin {
		c.nextJoin = c.tick + joinRetryTicks
		c.sendJoin()
	}
}

// sendJoin sends a join request to the seeds and all known members.
func (c *core) sendJoin() {
	addrs := slices.Clone(c.seeds)
	for _, n := range c.log.nodes {
		addrs = append(addrs, n.Addr)
	}
	seen := map[netip.AddrPort]bool{c.self.Addr: true}
	for _, addr := range addrs {
		if !seen[addr] {
			seen[addr] = true
			c.sendAfterSync(addr, c.packet(kindJoin, ""))
		}
	}
}

// onJoin adds the sender as a learner, or forwards its request to the leader. A request is forwarded only once.
func (c *core) onJoin(p wire.Packet) {
	if p.From.ID == "" || p.From.Name == "" || !p.From.Addr.IsValid() {
		return
	}
	if c.cluster == "" || p.Cluster != "" && p.Cluster != c.cluster || p.From.ID == c.self.ID {
		return
	}
	if c.role == leader {
		c.admit(p.From)
		return
	}
	if c.lead.ID != "" && !p.Last {
		p.Last = true
		c.sendAfterSync(c.lead.Addr, p)
	}
}

// admit adds a node as a learner, or updates a known node that has changed.
func (c *core) admit(node wire.Node) {
	old, known := c.member(node.ID)
	node.Voter = old.Voter
	if known && node == old || !c.canChangeMembership() {
		return
	}
	c.setNode(node)
}

// maintainMembership makes at most one change: it removes a lost node, corrects a failure domain, replaces a voter that
// leaves, or promotes or demotes a node.
func (c *core) maintainMembership() {
	if !c.canChangeMembership() {
		return
	}
	if lost, ok := c.replacedNode(); ok {
		c.removeNode(lost.ID)
		return
	}
	if n, ok := c.nodeWithWrongDomain(); ok {
		c.setNode(n)
		return
	}
	if v, ok := c.leavingVoter(); ok && c.replaceLeavingVoter(v) {
		return
	}
	if c.maxVoters > 0 && c.voterCount() > c.maxVoters {
		c.demoteSurplusVoter()
		return
	}
	n, ok := c.nextVoter()
	if !ok {
		c.demoteSilentVoter()
		return
	}
	if c.maxVoters == 0 || c.voterCount() < c.maxVoters {
		n.Voter = true
		c.setNode(n)
		return
	}
	if lost, ok := c.silentVoter(); ok {
		c.removeNode(lost.ID)
		return
	}
	if v, ok := c.surplusVoter(n.Domain); ok {
		v.Voter = false
		c.setNode(v)
	}
}

// canPromote reports whether a node is an active learner that has caught up.
func (c *core) canPromote(n wire.Node) bool {
	p := c.peers[n.ID]
	return p != nil && !n.Voter && p.confirmedLive && c.isActive(p) && p.matchIndex+maxPromotionLag >= c.log.last()
}

// replacedNode returns a node that was replaced by another identity with the same name.
func (c *core) replacedNode() (wire.Node, bool) {
	if stale, ok := c.staleLearner(); ok {
		return stale, true
	}
	for _, n := range c.log.nodes {
		if !c.canPromote(n) {
			continue
		}
		if other, ok := c.sameNameNode(n); ok && c.canRemove(other, c.replaceDelay(n, other)) {
			return other, true
		}
	}
	return wire.Node{}, false
}

// staleLearner returns a silent learner that has the same name as a live node, since a delayed join request can add an
// identity again after it was replaced, or one that has been silent for long, such as a former voter that was stopped for
// good.
func (c *core) staleLearner() (wire.Node, bool) {
	for _, n := range c.log.nodes {
		p := c.peers[n.ID]
		if p == nil || n.Voter || c.tick-p.lastActive < replaceTicks {
			continue
		}
		if c.tick-p.lastActive >= removeLearnerTicks {
			return n, true
		}
		if other, ok := c.sameNameNode(n); ok && (other.ID == c.self.ID || c.isActive(c.peers[other.ID])) {
			return n, true
		}
	}
	return wire.Node{}, false
}

// sameNameNode returns a node with the same name and another identity.
func (c *core) sameNameNode(node wire.Node) (wire.Node, bool) {
	for _, n := range c.log.nodes {
		if n.Name == node.Name && n.ID != node.ID {
			return n, true
		}
	}
	return wire.Node{}, false
}

// replaceDelay returns for how many ticks other must be silent before node replaces it. A new identity at the same
// address proves that the data folder of the old one is gone.
func (c *core) replaceDelay(node, other wire.Node) uint64 {
	if node.Addr == other.Addr {
		return sameAddrReplaceTicks
	}
	return replaceTicks
}

func (c *core) voterCount() int {
	voters := 0
	for _, n := range c.log.nodes {
		if n.Voter {
			voters++
		}
	}
	return voters
}

// canRemove reports whether a node has been silent long enough and the voters that remain have an active majority.
func (c *core) canRemove(node wire.Node, silentTicks uint64) bool {
	p := c.peers[node.ID]
	if p == nil || c.tick-p.lastActive < silentTicks {
		return false
	}
	voters, activeVoters := 0, 0
	for _, n := range c.log.nodes {
		if !n.Voter || n.ID == node.ID {
			continue
		}
		voters++
		if n.ID == c.self.ID || c.isActive(c.peers[n.ID]) {
			activeVoters++
		}
	}
	return activeVoters >= voters/2+1
}
