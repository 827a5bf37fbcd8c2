package runner

import (
	"math/rand/v2"
	"net/netip"

	"bluebellhoist/core/wire"
)

// nearer returns the address of a random node in a failure domain other than the own one. Nodes that gossip knows to be
// out of reach are left out. The replicated log knows all nodes at once after a start, before gossip does.
func (c *Runner) nearer(domain string) (netip.AddrPort, bool) {
	if domain == c.settings.Domain {
		return netip.AddrPort{}, false
	}
	away := c.away()
	var found []netip.AddrPort
	for _, n := range c.replicator.Status().Nodes {
		if n.Domain == domain && !away[n.Addr] {
			found = append(found, n.Addr)
		}
	}
	if len(found) == 0 {
		return netip.AddrPort{}, false
	}
	return found[rand.IntN(len(found))], true
}

// away returns the addresses at which gossip knows a node that cannot be used.
func (c *Runner) away() map[netip.AddrPort]bool {
	away := map[netip.AddrPort]bool{}
	if c.gossiper == nil {
		return away
	}
	for _, m := range c.gossiper.Members() {
		if m.Control && m.State != wire.Alive {
			away[m.Addr] = true
		}
	}
	return away
}
