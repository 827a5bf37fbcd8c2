package gossiper_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

const (
	maxBytesPerSecond = 8 << 10 // per daemon, sent and received
	udpHeaders        = 28      // bytes of IP and UDP headers per datagram
	// exchangeHeaders is the number of bytes of TCP and HTTP headers in one request and its response.
	exchangeHeaders = 700
)

// TestBudget guards against gossip that exceeds the traffic limit of a daemon while upstreams change their readiness.
func TestBudget(t *testing.T) {
	eachLayout(t, testBudget)
}

func testBudget(t *testing.T, domains int) {
	newNetwork(t, 9, 0, domains).runMesh(200, func(n *network, nodes []*node) {
		time.Sleep(time.Minute)
		idle := n.measureTraffic(time.Minute, func(int) {})
		busy := n.measureTraffic(time.Minute, func(second int) {
			if second%10 == 0 {
				nodes[second].Update(func(m *wire.Member) { m.Ready = !m.Ready })
			}
		})
		n.t.Logf("idle: %s", idle)
		n.t.Logf("a readiness change every 10 s: %s", busy)
		is.New(n.t).True(2*max(idle.datagramBytes+idle.exchangeBytes, busy.datagramBytes+busy.exchangeBytes) <= maxBytesPerSecond) // sent and received
	})
}

// trafficRate is the average traffic that one member sends per second. It receives the same amount.
type trafficRate struct{ datagrams, datagramBytes, exchangeBytes float64 }

func (f trafficRate) String() string {
	return fmt.Sprintf("%.2f datagrams/s, %.0f B/s in datagrams with headers, %.0f B/s in exchanges before compression, sent per member",
		f.datagrams, f.datagramBytes, f.exchangeBytes)
}

// measureTraffic returns the average traffic per member over span. It calls onSecond at the start of each second.
func (n *network) measureTraffic(span time.Duration, onSecond func(second int)) trafficRate {
	total := func() (f trafficRate) {
		synctest.Wait()
		for _, x := range n.nodes {
			f.datagrams += float64(x.datagrams.Load())
			f.datagramBytes += float64(x.datagramBytes.Load() + x.datagrams.Load()*udpHeaders)
			f.exchangeBytes += float64(x.exchangeBytes.Load())
		}
		return f
	}
	before := total()
	for second := range int(span.Seconds()) {
		onSecond(second)
		time.Sleep(time.Second)
	}
	after := total()
	per := span.Seconds() * float64(len(n.nodes))
	return trafficRate{(after.datagrams - before.datagrams) / per, (after.datagramBytes - before.datagramBytes) / per, (after.exchangeBytes - before.exchangeBytes) / per}
}

// BenchmarkMember runs a whole mesh in real time and reports the CPU time and heap per member, including the share of the
// in-memory network. Two readiness changes spread during the measured 10 s.
// Run it with -benchtime 1x.
func BenchmarkMember(b *testing.B) {
	for _, count := range []int{300, 600, 1200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				benchmarkMesh(b, count)
			}
		})
	}
}

func benchmarkMesh(b *testing.B, count int) {
	const span = 10 * time.Second
	n := newNetwork(nil, 10, 0, 1)
	defer n.stop()
	before := heapBytes()
	var nodes []*node
	for i := range count {
		nodes = append(nodes, n.start(i, 0))
	}
	// The exchange interval grows to 30 s within the first minute.
	time.Sleep(time.Minute)
	for _, x := range nodes {
		if countAlive(x) != count {
			b.Fatalf("%s knows %d of %d members", x.name, countAlive(x), count)
		}
	}
	start := cpuTime()
	for _, x := range nodes[:2] {
		x.Update(func(m *wire.Member) { m.Ready = false })
		time.Sleep(span / 2)
	}
	used := cpuTime() - start
	b.ReportMetric(float64(used.Microseconds())/span.Seconds()/float64(count), "cpu-µs/member/s")
	b.ReportMetric(float64(heapBytes()-before)/1024/float64(count), "heap-KB/member")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
