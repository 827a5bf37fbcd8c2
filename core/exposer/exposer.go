// Package exposer serves the metrics of a process.
package exposer

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// New returns a handler that serves a set of metrics, and those of the whole process, in the Prometheus text format.
func New(set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WritePrometheus(w, true)
	})
}
