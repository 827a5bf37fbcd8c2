package gossiper

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countSent updates the counters of sent datagrams, labelled by kind and by whether the failure domain is the own one.
func (g *Gossiper) countSent(to target, kind string, bytes int) {
	domain := "other"
	if to.domain == g.self.Domain {
		domain = "own"
	}
	labels := fmt.Sprintf(`{kind=%q,domain=%q}`, kind, domain)
	metrics.GetOrCreateCounter("bluebell_gossip_bytes_total" + labels).Add(bytes)
	metrics.GetOrCreateCounter("bluebell_gossip_datagrams_total" + labels).Inc()
}
