package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/forwarder"
)

// BenchmarkAddedLatency compares calls through an egress and an ingress side with direct calls to the same upstream on
// loopback. Both kinds alternate, so that noise of the machine meets both.
func BenchmarkAddedLatency(b *testing.B) {
	addr := serveLoopback(b, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})})
	ingress := forwarder.New(
		forwarder.WithUpstream(func() (wire.Upstream, bool) {
			return wire.Upstream{Address: addr, Service: "stock", Conns: 130}, true
		}),
		forwarder.WithAcquire(func(context.Context, string) (func(forwarder.Outcome), error) {
			return func(forwarder.Outcome) {}, nil
		}))
	member := wire.Member{Name: "a", Addr: serveLoopback(b, forwarder.NewPeerServer(ingress.Ingress()))}
	held := snapshot(b, time.Now().Add(time.Hour))
	egress := forwarder.New(
		forwarder.WithSnapshot(func() *compiler.Snapshot { return held }),
		forwarder.WithPick(func(string, []string) (wire.Member, func(forwarder.Outcome), error) {
			return member, func(forwarder.Outcome) {}, nil
		}))
	calls := serveLoopback(b, forwarder.NewCallServer(egress.Egress()))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()

	for _, callers := range []int{1, 4} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var wg sync.WaitGroup
			times := make([][2][]time.Duration, callers)
			for i := range callers {
				wg.Go(func() {
					for range b.N/callers + 1 {
						times[i][0] = append(times[i][0], measure(b, client, addr))
						times[i][1] = append(times[i][1], measure(b, client, calls))
					}
				})
			}
			wg.Wait()
			for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
				direct, meshed := quantile(times, 0, q), quantile(times, 1, q)
				b.ReportMetric(float64(direct.Microseconds()), name+"-direct-us")
				b.ReportMetric(float64(meshed.Microseconds()), name+"-mesh-us")
				b.ReportMetric(float64(meshed)/float64(direct), name+"-ratio")
			}
		})
	}
}

func serveLoopback(b *testing.B, config *http.Server) netip.AddrPort {
	s := httptest.NewUnstartedServer(nil)
	s.Config = config
	s.Start()
	b.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// measure sends one call of 256 bytes and returns the time until its whole answer.
func measure(b *testing.B, client *http.Client, addr netip.AddrPort) time.Duration {
	payload := strings.Repeat("x", 256)
	req := httptest.NewRequest("POST", "http://"+addr.String(), strings.NewReader(payload))
	req.RequestURI, req.Host = "", "stock"
	started := time.Now()
	resp, err := client.Do(req)
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

func quantile(times [][2][]time.Duration, kind int, q float64) time.Duration {
	var all []time.Duration
	for _, each := range times {
		all = append(all, each[kind]...)
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}
