package replicator

import "bluebellhoist/core/wire"

// successor returns the ready learner that is to vote next: one of the failure domain with the fewest voters, since a failure
// domain may be lost as a whole.
func (c *core) successor() (wire.Node, bool) {
	var best wire.Node
	found := false
	for _, n := range c.log.nodes {
		if !c.ready(n) || !c.peers[n.ID].wish {
			continue
		}
		if _, ok := c.rival(n); ok {
			continue
		}
		if !found || c.votersIn(n.Domain) < c.votersIn(best.Domain) {
			best, found = n, true
		}
	}
	return best, found
}

// crowdedVoter returns a voter to be demoted in favour of a learner in a failure domain with at least two voters fewer. The
// voters that remain must have an active majority until the learner has the seat.
func (c *core) crowdedVoter(domain string) (wire.Node, bool) {
	for _, n := range c.log.nodes {
		if n.Voter && n.ID != c.self.ID && c.votersIn(n.Domain) >= c.votersIn(domain)+2 && c.removable(n, 0) {
			return n, true
		}
	}
	return wire.Node{}, false
}

// lostVoter returns a voter that was silent for so long that a waiting learner takes its seat.
func (c *core) lostVoter() (wire.Node, bool) {
	for _, n := range c.log.nodes {
		if n.Voter && n.ID != c.self.ID && c.removable(n, seatTicks) {
			return n, true
		}
	}
	return wire.Node{}, false
}

func (c *core) votersIn(domain string) int {
	voters := 0
	for _, n := range c.log.nodes {
		if n.Voter && n.Domain == domain {
			voters++
		}
	}
	return voters
}

// misplaced returns a node that is in another failure domain than the membership says, with its failure domain set right.
// Founders do not know where the others are.
func (c *core) misplaced() (wire.Node, bool) {
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
