package runner

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxNamedTenants is the number of tenants with metrics of their own. The others share those without a name.
const maxNamedTenants = 200

// quotaCounter counts the tokens of tenants.
type quotaCounter struct {
	quota *quota

	mu      sync.Mutex
	tenants map[tenantKey]*tokenCounters
	other   *tokenCounters
}

// tenantKey identifies a tenant.
type tenantKey struct{ batch, tenant string }

// tokenCounters counts the tokens of one tenant, or of all tenants without metrics of their own.
type tokenCounters struct {
	asked, allotted *metrics.Counter
}

func newQuotaCounter(q *quota) *quotaCounter {
	return &quotaCounter{quota: q, tenants: map[tenantKey]*tokenCounters{}}
}

// count counts tokens that were asked for and allotted.
func (c *quotaCounter) count(batch, tenant string, asked, allotted int) {
	t := c.counters(tenantKey{batch, tenant})
	t.asked.Add(asked)
	t.allotted.Add(allotted)
}

// counters returns the counters for a tenant.
func (c *quotaCounter) counters(key tenantKey) *tokenCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tenants[key]; t != nil {
		return t
	}
	if len(c.tenants) < maxNamedTenants {
		c.tenants[key] = newTokenCounters(key)
		c.addGauge(key)
		return c.tenants[key]
	}
	if c.other == nil {
		c.other = newTokenCounters(tenantKey{})
	}
	return c.other
}

func newTokenCounters(key tenantKey) *tokenCounters {
	labels := fmt.Sprintf(`{batch=%q,tenant=%q}`, key.batch, key.tenant)
	return &tokenCounters{
		asked:    metrics.GetOrCreateCounter("bluebell_quota_tokens_asked_total" + labels),
		allotted: metrics.GetOrCreateCounter("bluebell_quota_tokens_allotted_total" + labels),
	}
}

// addGauge adds the content of the bucket of a tenant to the metrics.
func (c *quotaCounter) addGauge(key tenantKey) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`bluebell_quota_content{batch=%q,tenant=%q}`, key.batch, key.tenant), func() float64 {
		content, _ := c.quota.allocator.Content(c.quota.clock(), key.batch, key.tenant)
		return content
	})
}
