package runner

import (
	"github.com/VictoriaMetrics/metrics"
)

// newGauges returns the gauges of the node's state, from which an operator can notice that a controller is cut off from the
// majority.
func (r *Runner) newGauges() *metrics.Set {
	set := metrics.NewSet()
	boolValue := func(on bool) float64 {
		if on {
			return 1
		}
		return 0
	}
	set.NewGauge("bluebell_controller_fresh", func() float64 { return boolValue(r.fresh()) })
	set.NewGauge("bluebell_controller_leading", func() float64 { return boolValue(r.replicator.Status().Role == "leader") })
	set.NewGauge("bluebell_controller_voting", func() float64 { return boolValue(r.replicator.Status().Self.Voter) })
	set.NewGauge("bluebell_log_applied_index", func() float64 { return float64(r.replicator.Status().Applied) })
	set.NewGauge("bluebell_config_version", func() float64 { return float64(r.registrar.View().Version()) })
	set.NewGauge("bluebell_daemons_connected", func() float64 { return float64(len(r.distributor.Daemons())) })
	set.NewGauge("bluebell_callers_memory_bytes", func() float64 { return float64(r.account.Used()) })
	set.NewGauge("bluebell_callers_memory_limit_bytes", func() float64 { return float64(r.account.Size()) })
	return set
}
