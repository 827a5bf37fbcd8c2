package runner

import (
	"math/rand/v2"
	"net/netip"

	"bluebellhoist/core/wire"
)

// referTo returns the address of a random controller in the given failure domain, or false if this node is in that domain
// itself or knows none there. It takes the nodes from the membership in the replicated log, which is complete right after a
// start, before gossip is, and skips those that gossip does not consider alive.
func (r *Runner) referTo(domain string) (netip.AddrPort, bool) {
	if domain == r.settings.Domain {
		return netip.AddrPort{}, false
	}
	unreachable := r.unreachableControllers()
	var candidates []netip.AddrPort
	for _, n := range r.replicator.Status().Nodes {
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
func (r *Runner) unreachableControllers() map[netip.AddrPort]bool {
	unreachable := map[netip.AddrPort]bool{}
	if r.gossiper == nil {
		return unreachable
	}
	for _, m := range r.gossiper.Members() {
		if m.Control && m.State != wire.Alive {
			unreachable[m.Addr] = true
		}
	}
	return unreachable
}
