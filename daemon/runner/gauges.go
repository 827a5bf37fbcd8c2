package runner

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellhoist/core/wire"
)

// newGauges returns the gauges of the daemon's state.
func (r *Runner) newGauges() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge("bluebell_held_version", func() float64 {
		if inEffect := r.subscriber.Snapshot(); inEffect != nil {
			return float64(inEffect.Version())
		}
		return 0
	})
	set.NewGauge("bluebell_contract_seconds_left", func() float64 {
		inEffect := r.subscriber.Snapshot()
		if inEffect == nil || !inEffect.InForce(time.Now()) {
			return 0
		}
		return time.Until(time.UnixMilli(inEffect.Batch().Until)).Seconds()
	})
	set.NewGauge("bluebell_proof_age_seconds", func() float64 {
		if age, ok := r.subscriber.ProofAge(); ok {
			return age.Seconds()
		}
		return math.Inf(1)
	})
	set.NewGauge("bluebell_members_alive", func() float64 {
		alive := 0
		for _, m := range r.gossiper.Members() {
			if m.State == wire.Alive {
				alive++
			}
		}
		return float64(alive)
	})
	set.NewGauge("bluebell_retry_budget_used", func() float64 {
		if upstream, ok := r.announcer.Upstream(); ok {
			return r.budgeter.Used(upstream.Service)
		}
		return 0
	})
	set.NewGauge("bluebell_upstream_load", func() float64 { return float64(r.limiter.Load()) })
	set.NewGauge("bluebell_upstream_limit", func() float64 { return float64(r.limiter.Limit()) })
	set.NewGauge("bluebell_callers_memory_bytes", func() float64 { return float64(r.account.Used()) })
	set.NewGauge("bluebell_callers_memory_limit_bytes", func() float64 { return float64(r.account.Size()) })
	return set
}
