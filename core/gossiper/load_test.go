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
	budget     = 8 << 10 // bytes per second and daemon
	udpHeaders = 28      // IP and UDP
	// exchangeHeaders are those of TCP and HTTP in one request and its answer.
	exchangeHeaders = 700
)

// TestBudget guards against gossip that exceeds the bytes allowed to a daemon while upstreams come and go.
func TestBudget(t *testing.T) {
	eachLayout(t, testBudget)
}

func testBudget(t *testing.T, domains int) {
	newNetwork(t, 9, 0, domains).run(200, func(n *network, nodes []*node) {
		time.Sleep(time.Minute)
		idle := n.measure(time.Minute, func(int) {})
		busy := n.measure(time.Minute, func(second int) {
			if second%10 == 0 {
				nodes[second].Update(func(m *wire.Member) { m.Ready = !m.Ready })
			}
		})
		n.t.Logf("idle: %s", idle)
		n.t.Logf("a readiness change every 10 s: %s", busy)
		is.New(n.t).True(2*max(idle.bytes+idle.synced, busy.bytes+busy.synced) <= budget) // sent and received
	})
}

// flow is what one member sends per second on average; as much arrives.
type flow struct{ datagrams, bytes, synced float64 }

func (f flow) String() string {
	return fmt.Sprintf("%.2f datagrams/s, %.0f B/s in datagrams with headers, %.0f B/s in exchanges before compression, sent per member",
		f.datagrams, f.bytes, f.synced)
}

func (n *network) measure(span time.Duration, each func(second int)) flow {
	total := func() (f flow) {
		synctest.Wait()
		for _, x := range n.nodes {
			f.datagrams += float64(x.datagrams.Load())
			f.bytes += float64(x.bytes.Load() + x.datagrams.Load()*udpHeaders)
			f.synced += float64(x.synced.Load())
		}
		return f
	}
	before := total()
	for second := range int(span.Seconds()) {
		each(second)
		time.Sleep(time.Second)
	}
	after := total()
	per := span.Seconds() * float64(len(n.nodes))
	return flow{(after.datagrams - before.datagrams) / per, (after.bytes - before.bytes) / per, (after.synced - before.synced) / per}
}

// BenchmarkMember runs a whole mesh in real time and reports the CPU time and heap of one member, with the in-memory
// network's share. During the measured 10 s one new configuration and two readiness changes spread.
// Run it with -benchtime 1x.
func BenchmarkMember(b *testing.B) {
	for _, count := range []int{300, 600, 1200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				runMesh(b, count)
			}
		})
	}
}

func runMesh(b *testing.B, count int) {
	const span = 10 * time.Second
	n := newNetwork(nil, 10, 0, 1)
	defer n.stop()
	before := heap()
	var nodes []*node
	for i := range count {
		nodes = append(nodes, n.start(i, 0))
	}
	// Intervals between exchanges grow to 30 s within the first minute.
	time.Sleep(time.Minute)
	for _, x := range nodes {
		if alive(x) != count {
			b.Fatalf("%s knows %d of %d members", x.name, alive(x), count)
		}
	}
	start := cpu()
	for _, x := range nodes[:2] {
		x.Update(func(m *wire.Member) { m.Ready = false })
		time.Sleep(span / 2)
	}
	used := cpu() - start
	b.ReportMetric(float64(used.Microseconds())/span.Seconds()/float64(count), "cpu-µs/member/s")
	b.ReportMetric(float64(heap()-before)/1024/float64(count), "heap-KB/member")
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
