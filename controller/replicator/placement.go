package replicator

import "bluebellhoist/core/wire"

// nextVoter returns the learner to promote next: one in the failure domain with the fewest voters, since a failure
// domain may be lost as a whole.
func (c *core) nextVoter() (wire.Node, bool) {
	var best wire.Node
	found := false
	for _, n := range c.log.nodes {
		if !c.canPromote(n) || !c.mayVote(c.peers[n.ID]) {
			continue
		}
		if _, ok := c.sameNameNode(n); ok {
			continue
		}
		if !found || c.votersInDomain(n.Domain) < c.votersInDomain(best.Domain) {
			best, found = n, true
		}
	}
	return best, found
}

// surplusVoter returns a voter to demote in favor of a learner in domain: a voter whose failure domain has at least two
// more voters than domain. The voters that remain must have an active majority until the learner is promoted.
func (c *core) surplusVoter(domain string) (wire.Node, bool) {
	for _, n := range c.log.nodes {
		if n.Voter && n.ID != c.self.ID && c.votersInDomain(n.Domain) >= c.votersInDomain(domain)+2 && c.canRemove(n, 0) {
			return n, true
		}
	}
	return wire.Node{}, false
}

// demoteSurplusVoter demotes the voter that was heard of least recently. There is one voter too many if the leader that was
// replacing a leaving voter failed in between.
func (c *core) demoteSurplusVoter() {
	var surplus wire.Node
	var oldest uint64
	for _, n := range c.log.nodes {
		if !n.Voter || n.ID == c.self.ID || !c.canRemove(n, 0) {
			continue
		}
		if active := c.peers[n.ID].lastActive; surplus.ID == "" || active < oldest {
			surplus, oldest = n, active
		}
	}
	if surplus.ID != "" {
		surplus.Voter = false
		c.setNode(surplus)
	}
}

// silentVoter returns a voter that has been silent for replaceVoterTicks, so that a learner may replace it.
func (c *core) silentVoter() (wire.Node, bool) {
	for _, n := range c.log.nodes {
		if n.Voter && n.ID != c.self.ID && c.canRemove(n, replaceVoterTicks) {
			return n, true
		}
	}
	return wire.Node{}, false
}

// fewestVoters returns the number of voters below which a silent or leaving voter keeps its vote, if no learner takes its place.
func (c *core) fewestVoters() int {
	if c.minVoters > 0 {
		return c.minVoters
	}
	return c.maxVoters
}

// demoteSilentVoter demotes a silent voter if enough voters remain, so that the others can lose a further one. It is promoted
// again when it is back.
func (c *core) demoteSilentVoter() {
	if c.maxVoters == 0 || c.voterCount() <= c.fewestVoters() {
		return
	}
	if silent, ok := c.silentVoter(); ok {
		silent.Voter = false
		c.setNode(silent)
	}
}

// votersInDomain returns the number of voters in a failure domain, without those that are about to leave.
func (c *core) votersInDomain(domain string) int {
	voters := 0
	for _, n := range c.log.nodes {
		if n.Voter && n.Domain == domain && !c.isLeaving(n.ID) {
			voters++
		}
	}
	return voters
}

// nodeWithWrongDomain returns a node whose failure domain in the membership is wrong, with the right one set. The
// founders of a cluster do not know the failure domains of each other.
func (c *core) nodeWithWrongDomain() (wire.Node, bool) {
	for _, n := range c.log.nodes {
		domain := c.self.Domain
		if n.ID != c.self.ID {
			p := c.peers[n.ID]
			if p == nil {
				continue
			}
			domain = p.domain
		}
		if domain != "" && n.Domain != domain {
			n.Domain = domain
			return n, true
		}
	}
	return wire.Node{}, false
}
