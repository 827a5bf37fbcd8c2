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

// quorum returns the size of a majority of the voters.
func (c *core) quorum() int {
	return c.voters()/2 + 1
}

// mayChange allows one membership change at a time, and none before an entry of the own term is committed: majorities of
// memberships that are one step apart intersect only if the leader knows the last committed one.
func (c *core) mayChange() bool {
	return c.log.nodesIndex <= c.log.commit && c.ownTermCommitted() && c.target == ""
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

// joinIfLost asks to be replicated to while no leader is known.
func (c *core) joinIfLost() {
	if c.role != leader && c.lead.ID == "" && c.tick >= c.nextJoin {
		c.nextJoin = c.tick + joinTicks
		c.sendJoin()
	}
}

// sendJoin asks the known addresses for the leader.
func (c *core) sendJoin() {
	addrs := slices.Clone(c.seeds)
	for _, n := range c.log.nodes {
		addrs = append(addrs, n.Addr)
	}
	seen := map[netip.AddrPort]bool{c.self.Addr: true}
	for _, addr := range addrs {
		if !seen[addr] {
			seen[addr] = true
			c.sendLate(addr, c.packet(kindJoin, ""))
		}
	}
}

// onJoin admits a node as learner, or passes its request to the leader once.
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
		c.sendLate(c.lead.Addr, p)
	}
}

func (c *core) admit(node wire.Node) {
	old, known := c.member(node.ID)
	node.Voter = old.Voter
	if known && node == old || !c.mayChange() {
		return
	}
	c.setNode(node)
}

// maintain makes at most one change: it removes a lost identity, or promotes or demotes a node.
func (c *core) maintain() {
	if !c.mayChange() {
		return
	}
	if lost, ok := c.lostIdentity(); ok {
		c.removeNode(lost.ID)
		return
	}
	if n, ok := c.misplaced(); ok {
		c.setNode(n)
		return
	}
	n, ok := c.successor()
	if !ok {
		return
	}
	if c.seats == 0 || c.voters() < c.seats {
		n.Voter = true
		c.setNode(n)
		return
	}
	if lost, ok := c.lostVoter(); ok {
		c.removeNode(lost.ID)
		return
	}
	if v, ok := c.crowdedVoter(n.Domain); ok {
		v.Voter = false
		c.setNode(v)
	}
}

// ready reports whether a learner has caught up and answers.
func (c *core) ready(n wire.Node) bool {
	p := c.peers[n.ID]
	return p != nil && !n.Voter && p.proved && c.active(p) && p.match+caughtUp >= c.log.last()
}

// lostIdentity returns a node that another identity replaces.
func (c *core) lostIdentity() (wire.Node, bool) {
	if stale, ok := c.staleLearner(); ok {
		return stale, true
	}
	for _, n := range c.log.nodes {
		if !c.ready(n) {
			continue
		}
		if rival, ok := c.rival(n); ok && c.removable(rival, c.silence(n, rival)) {
			return rival, true
		}
	}
	return wire.Node{}, false
}

// staleLearner returns a silent learner whose name another node has. A request to join that was delayed can admit an
// identity again after its replacement.
func (c *core) staleLearner() (wire.Node, bool) {
	for _, n := range c.log.nodes {
		p := c.peers[n.ID]
		if p == nil || n.Voter || c.tick-p.active < silentTicks {
			continue
		}
		if other, ok := c.rival(n); ok && (other.ID == c.self.ID || c.active(c.peers[other.ID])) {
			return n, true
		}
	}
	return wire.Node{}, false
}

// rival returns another identity with the same name.
func (c *core) rival(node wire.Node) (wire.Node, bool) {
	for _, n := range c.log.nodes {
		if n.Name == node.Name && n.ID != node.ID {
			return n, true
		}
	}
	return wire.Node{}, false
}

// silence returns after how many silent ticks a rival is removed. A new identity at its address proves that the data
// folder of the old one is gone.
func (c *core) silence(node, rival wire.Node) uint64 {
	if node.Addr == rival.Addr {
		return rivalTicks
	}
	return silentTicks
}

func (c *core) voters() int {
	voters := 0
	for _, n := range c.log.nodes {
		if n.Voter {
			voters++
		}
	}
	return voters
}

// removable reports whether a node has been silent long enough and the voters that remain have an active majority.
func (c *core) removable(node wire.Node, silence uint64) bool {
	p := c.peers[node.ID]
	if p == nil || c.tick-p.active < silence {
		return false
	}
	voters, live := 0, 0
	for _, n := range c.log.nodes {
		if !n.Voter || n.ID == node.ID {
			continue
		}
		voters++
		if n.ID == c.self.ID || c.active(c.peers[n.ID]) {
			live++
		}
	}
	return live >= voters/2+1
}
