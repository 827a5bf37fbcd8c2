package gossiper

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// count notes a datagram that is sent, by its kind and by whether it leaves the failure domain.
func (g *Gossiper) count(to target, kind string, bytes int) {
	domain := "other"
	if to.domain == g.self.Domain {
		domain = "own"
	}
	labels := fmt.Sprintf(`{kind=%q,domain=%q}`, kind, domain)
	metrics.GetOrCreateCounter("bluebell_gossip_bytes_total" + labels).Add(bytes)
	metrics.GetOrCreateCounter("bluebell_gossip_datagrams_total" + labels).Inc()
}
