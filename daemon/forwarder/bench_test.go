package forwarder_test

import (
	"context"
	"io"
	"net"
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
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer upstream.Close()
	addr := netip.MustParseAddrPort(upstream.Listener.Addr().String())
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
		b.Run(map[int]string{1: "callers=1", 4: "callers=4"}[callers], func(b *testing.B) {
			var mu sync.Mutex
			var direct, meshed []time.Duration
			measure(b, client, addr, 200)
			measure(b, client, calls, 200)
			b.ResetTimer()
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for range b.N / callers {
						d, m := measure(b, client, addr, 1), measure(b, client, calls, 1)
						mu.Lock()
						direct, meshed = append(direct, d), append(meshed, m)
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			if len(direct) == 0 {
				return
			}
			for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
				d, m := quantile(direct, q), quantile(meshed, q)
				b.ReportMetric(float64(d.Microseconds()), name+"-direct-us")
				b.ReportMetric(float64(m.Microseconds()), name+"-mesh-us")
				b.ReportMetric(float64(m)/float64(d), name+"-ratio")
			}
		})
	}
}

func serveLoopback(b *testing.B, s *http.Server) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve(l)
	b.Cleanup(func() { s.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// measure sends calls of 256 bytes and returns the time of the last.
func measure(b *testing.B, client *http.Client, addr netip.AddrPort, calls int) (took time.Duration) {
	payload := strings.Repeat("x", 256)
	for range calls {
		req, err := http.NewRequest("POST", "http://"+addr.String(), strings.NewReader(payload))
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "stock"
		started := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			b.Error(err)
			return
		}
		data, err := io.ReadAll(resp.Body)
		took = time.Since(started)
		resp.Body.Close()
		if err != nil || string(data) != payload {
			b.Errorf("status %d, %d bytes, error %v", resp.StatusCode, len(data), err)
		}
	}
	return took
}

func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}
