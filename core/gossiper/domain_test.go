package gossiper_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

// startBytes is the most that a member may send to other failure domains while a whole mesh starts.
const startBytes = 20 << 10

// TestStart guards against a common start in which every member tells every other failure domain about all members.
func TestStart(t *testing.T) {
	for _, count := range []int{30, 100, 200} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			newNetwork(t, 21, 0.01, 5).run(count, func(n *network, nodes []*node) {
				for _, x := range nodes {
					x.Update(func(m *wire.Member) { m.Slots++ })
				}
				n.until(time.Minute, "updates of the own failure domain known", func(x *node) bool {
					near := 0
					for _, m := range x.Members() {
						if m.Slots == 21 && m.Domain == n.domain(x.index) {
							near++
						}
					}
					return near == count/5
				})
				n.until(time.Minute, "all updates known", func(x *node) bool { return slots(x, 21) == count })
				time.Sleep(5 * time.Second) // what still waits in queues
				crossed, all := n.sent()
				n.t.Logf("%d members: %.0f B crossed, %.0f B sent in all per member", count, crossed, all)
				is.New(n.t).True(crossed <= startBytes)
			})
		})
	}
}

// sent returns the bytes that a member sent on average, to other failure domains and in all.
func (n *network) sent() (crossed, all float64) {
	synctest.Wait()
	for _, x := range n.nodes {
		crossed += float64(x.crossed.Load())
		all += float64(x.bytes.Load() + x.synced.Load() + x.datagrams.Load()*udpHeaders)
	}
	count := float64(len(n.nodes))
	return crossed / count, all / count
}

// slots counts the members known with a number of slots.
func slots(x *node, want int) int {
	count := 0
	for _, m := range x.Members() {
		if m.Slots == want {
			count++
		}
	}
	return count
}

// TestDomainCut guards against a failure domain that was cut off and then lacks members that came meanwhile, or takes back
// one that left.
func TestDomainCut(t *testing.T) {
	n := newNetwork(t, 22, 0.01, 4)
	n.seeds = []netip.AddrPort{address(0), address(3)} // newcomers find one on their side
	n.run(40, func(n *network, nodes []*node) {
		n.setCut(func(a, b *node) bool { return (a.index%4 == 3) != (b.index%4 == 3) })
		gone := nodes[7]
		is.New(n.t).NoErr(gone.Leave(n.t.Context()))
		n.kill(gone)
		inside, outside := n.start(43, 0), n.start(40, 0)
		time.Sleep(time.Minute)
		n.until(0, "each side on its own", func(x *node) bool {
			return (lookup(x, inside.name).Name != "") == (x.index%4 == 3) && (lookup(x, outside.name).Name != "") == (x.index%4 != 3)
		})
		n.setCut(func(_, _ *node) bool { return false })
		n.until(time.Minute, "members of both sides known", func(x *node) bool { return alive(x) == 41 })
		time.Sleep(time.Minute)
		n.until(0, "left member not back", func(x *node) bool { return lookup(x, gone.name).State != wire.Alive && alive(x) == 41 })
	})
}
