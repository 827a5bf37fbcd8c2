package spender

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
)

const (
	// maxNamedTenants is the number of tenants with metrics of their own. The others share those without a name.
	maxNamedTenants = 200
	// refusalSample is the interval of the log sample: of the refusals of a tenant, the first and then one in refusalSample is
	// logged.
	refusalSample = 100
)

var outcomeNames = map[Outcome]string{Admitted: "admitted", Refused: "refused", Unavailable: "unavailable"}

// counter counts the calls of tenants by outcome.
type counter struct {
	log     hclog.Logger
	tenants map[string]*tenantCounters
	other   *tenantCounters // of the tenants without their own
}

// tenantCounters holds the metrics of one tenant.
type tenantCounters struct {
	asked    *metrics.Counter
	outcomes [Unavailable + 1]*metrics.Counter
	refusals uint64
}

func newCounter(log hclog.Logger) *counter {
	return &counter{log: log, tenants: map[string]*tenantCounters{}}
}

// count counts a call. The caller holds the lock of the spender.
func (c *counter) count(tenant string, outcome Outcome, err error) {
	t := c.tenant(tenant)
	t.asked.Inc()
	t.outcomes[outcome].Inc()
	if outcome == Admitted {
		return
	}
	if t.refusals%refusalSample == 0 {
		c.log.Info("call of tenant refused", "tenant", tenant, "outcome", outcomeNames[outcome], "reason", err, "refusals", t.refusals+1)
	}
	t.refusals++
}

func (c *counter) tenant(name string) *tenantCounters {
	if t := c.tenants[name]; t != nil {
		return t
	}
	if len(c.tenants) < maxNamedTenants {
		c.tenants[name] = newTenantCounters(name)
		return c.tenants[name]
	}
	if c.other == nil {
		c.other = newTenantCounters("")
	}
	return c.other
}

func newTenantCounters(name string) *tenantCounters {
	t := &tenantCounters{asked: metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_quota_asked_total{tenant=%q}`, name))}
	for outcome, label := range outcomeNames {
		t.outcomes[outcome] = metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_quota_calls_total{tenant=%q,outcome=%q}`, name, label))
	}
	return t
}
