package exposer_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"bluebellhoist/core/exposer"
)

// TestNew guards against metrics of the state or of the process that are missing.
func TestNew(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	set.NewGauge("own_gauge", func() float64 { return 3 })
	metrics.GetOrCreateCounter("global_counter").Inc()
	recorder := httptest.NewRecorder()
	exposer.New(set).ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{"own_gauge 3", "global_counter 1", "process_resident_memory_bytes"} {
		is.True(strings.Contains(recorder.Body.String(), line))
	}
}
