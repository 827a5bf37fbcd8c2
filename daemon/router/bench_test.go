package router_test

import (
	"fmt"
	"testing"
	"time"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/router"
)

// BenchmarkPick measures Pick with 1,200 members of 110 services in 18 failure domains: on a stable member list, and on
// one that changes before every pick. Run it with -cpu 1,10.
func BenchmarkPick(b *testing.B) {
	versions := make([][]wire.Member, 2)
	for i := range 2400 {
		versions[i%2] = append(versions[i%2], member(fmt.Sprint("m", i/2), func(m *wire.Member) {
			m.Service, m.Domain = fmt.Sprint("s", i/2%110), fmt.Sprint("d", i/2%18)
		}))
	}
	current := 0
	r := router.New(router.WithMembers(func() []wire.Member { return versions[current] }), router.WithDomain("d1"))
	pick := func(n int) {
		_, done, err := r.Pick(versions[0][n%1200].Service, nil)
		if err != nil {
			b.Error(err)
			return
		}
		done(router.Outcome{Latency: time.Millisecond, Load: 1})
	}
	b.Run("steady", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for n := 0; pb.Next(); n++ {
				pick(n)
			}
		})
	})
	b.Run("change", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			current = 1 - current
			pick(0)
		}
	})
}
