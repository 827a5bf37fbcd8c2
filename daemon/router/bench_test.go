package router_test

import (
	"fmt"
	"testing"
	"time"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/router"
)

// fleet returns 1,200 members of 110 services in 18 failure domains.
func fleet() []wire.Member {
	var members []wire.Member
	for i := range 1200 {
		members = append(members, member(fmt.Sprint("m", i), func(m *wire.Member) {
			m.Service, m.Domain = fmt.Sprint("s", i%110), fmt.Sprint("d", i%18)
		}))
	}
	return members
}

// BenchmarkPick measures picks over all services, and of one service whose members change before every pick.
func BenchmarkPick(b *testing.B) {
	versions := [][]wire.Member{fleet(), fleet()}
	current := 0
	r := router.New(router.WithMembers(func() []wire.Member { return versions[current] }), router.WithDomain("d1"))
	var names []string
	for n := range 110 {
		names = append(names, fmt.Sprint("s", n))
	}
	pick := func(n int) {
		_, done, err := r.Pick(names[n%len(names)], nil)
		if err != nil {
			b.Error(err)
			return
		}
		done(router.Outcome{Kind: router.OK, Latency: time.Millisecond, Load: 1})
	}
	b.Run("serial", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			pick(n)
		}
	})
	b.Run("parallel", func(b *testing.B) {
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
