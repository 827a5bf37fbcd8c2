package registrar_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// newFilled returns a registrar with n finished claims, each with a response body of 64 bytes.
func newFilled(b *testing.B, n int) *registrar.Registrar {
	r := registrar.New()
	now := time.Now().UnixMilli()
	for i := range n {
		c := wire.Claim{Service: "payout", Key: uuid.Must(uuid.NewV7()).String(), Attempt: uuid.NewString(), Digest: uint64(i)}
		r.Apply(wire.Command{At: now, Claim: &c})
		c.Status, c.Kind, c.Complete, c.Body = 200, "application/json", true, make([]byte, 64)
		if result := r.Apply(wire.Command{At: now, Finish: &c}); result.Verdict.State != wire.Done {
			b.Fatal(result.Verdict.State)
		}
	}
	return r
}

// BenchmarkSave measures how long a checkpoint blocks the log.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := newFilled(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			size := 0
			for b.Loop() {
				data, err := r.Save()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "saved-B/claim")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/claim")
		})
	}
}

// BenchmarkClaim measures a claim and its finish in the state machine.
func BenchmarkClaim(b *testing.B) {
	r := registrar.New()
	now := time.Now().UnixMilli()
	for b.Loop() {
		c := wire.Claim{Service: "payout", Key: uuid.Must(uuid.NewV7()).String(), Attempt: "1"}
		r.Apply(wire.Command{At: now, Claim: &c})
		r.Apply(wire.Command{At: now, Finish: &c})
	}
}

// BenchmarkDepartures measures the size of a departure in the log and in a checkpoint.
func BenchmarkDepartures(b *testing.B) {
	const count = 10_000
	command := func(i int) wire.Command {
		gone := wire.Departure{Upstream: wire.HashUpstream(fmt.Sprint(i)), Start: time.Now().UnixMilli(), Seq: wire.FinalSeq}
		return wire.Command{At: time.Now().UnixMilli(), Leave: &wire.Leave{Name: fmt.Sprintf("sidecar-%05d", i%1200), Gone: gone}}
	}
	entry, err := encoder.Marshal(command(0))
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	for b.Loop() {
		r := registrar.New()
		for i := range count {
			r.Apply(command(i))
		}
		data, err := r.Save()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(len(entry)), "entry-B")
	b.ReportMetric(float64(size)/count, "saved-B/departure")
}
