package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkAddedLatency compares calls through an egress and an ingress side with direct calls to the same upstream on
// loopback. It alternates between the two kinds, so that noise of the machine affects both equally.
func BenchmarkAddedLatency(b *testing.B) {
	m := newMesh(b, 1, true)
	m.upstream(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	clients := []*http.Client{m.newClient(upstreamAddr), m.client}
	for _, callers := range []int{1, 4} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			times := make([][]time.Duration, len(clients))
			for range callers {
				wg.Go(func() {
					for range b.N/callers + 1 {
						for i, client := range clients {
							took := measure(b, client)
							mu.Lock()
							times[i] = append(times[i], took)
							mu.Unlock()
						}
					}
				})
			}
			wg.Wait()
			slices.Sort(times[0])
			slices.Sort(times[1])
			for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
				i := int(q * float64(len(times[0])-1))
				b.ReportMetric(float64(times[0][i].Microseconds()), name+"-direct-us")
				b.ReportMetric(float64(times[1][i].Microseconds()), name+"-mesh-us")
				b.ReportMetric(float64(times[1][i])/float64(times[0][i]), name+"-ratio")
			}
		})
	}
}

// measure sends one call of 256 bytes and returns the time until the response has been read to its end.
func measure(b *testing.B, client *http.Client) time.Duration {
	payload := strings.Repeat("x", 256)
	started := time.Now()
	resp, err := client.Post("http://stock", "text/plain", strings.NewReader(payload))
	if err != nil {
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	took := time.Since(started)
	if err != nil || string(data) != payload {
		b.Errorf("status %d, %d bytes, error %v", resp.StatusCode, len(data), err)
	}
	return took
}
