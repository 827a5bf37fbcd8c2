package limiter_test

import (
	"context"
	"testing"
	"time"

	"bluebellhoist/daemon/limiter"
)

// BenchmarkAcquire measures Acquire with free slots, and with callers that queue for 4 slots. Run it with -cpu 1,10.
func BenchmarkAcquire(b *testing.B) {
	for name, slots := range map[string]int{"free": 1 << 20, "queue": 4} {
		b.Run(name, func(b *testing.B) {
			l := limiter.New(limiter.WithSlots(slots))
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					done, err := l.Acquire(ctx, "normal")
					if err != nil {
						b.Error(err)
						return
					}
					done(limiter.OK)
				}
			})
		})
	}
}
