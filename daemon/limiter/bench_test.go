package limiter_test

import (
	"context"
	"testing"
	"time"

	"bluebellhoist/daemon/limiter"
)

// BenchmarkAcquire measures admission with a free slot, and with callers that queue for 4 slots.
func BenchmarkAcquire(b *testing.B) {
	for name, slots := range map[string]int{"free": 1 << 20, "queue": 4} {
		l := limiter.New(limiter.WithSlots(slots), limiter.WithQueue(1<<20))
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		one := func() {
			done, err := l.Acquire(ctx, "normal")
			if err != nil {
				b.Error(err)
				return
			}
			done(limiter.OK)
		}
		b.Run(name+"/serial", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				one()
			}
		})
		b.Run(name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					one()
				}
			})
		})
	}
}
