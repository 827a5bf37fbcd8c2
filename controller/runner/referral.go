package runner

import (
	"math/rand/v2"
	"net/netip"

	"bluebellhoist/core/wire"
)

// referTo returns the address of a random controller in the given failure domain, or false if this node is in that domain
// itself or knows none there. It takes the nodes from the membership in the replicated log, which is complete right after a
// start, before gossip is, and skips those that gossip does not consider alive.
func (c *Runner) referTo(domain string) (netip.AddrPort, bool) {
	if domain == c.settings.Domain {
		return netip.AddrPort{}, false
	}
	unreachable := c.unreachableControllers()
	var candidates []netip.AddrPort
	for _, n := range c.replicator.Status().Nodes {
		if n.Domain == domain && !unreachable[n.Addr] {
			candidates = append(candidates, n.Addr)
		}
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// unreachableControllers returns the addresses of the controllers that gossip knows but does not consider alive.
func (c *Runner) unreachableControllers() map[netip.AddrPort]bool {
	unreachable := map[netip.AddrPort]bool{}
	if c.gossiper == nil {
		return unreachable
	}
	for _, m := range c.gossiper.Members() {
		if m.Control && m.State != wire.Alive {
			unreachable[m.Addr] = true
		}
	}
	return unreachable
}
