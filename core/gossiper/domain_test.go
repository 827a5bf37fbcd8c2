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

// maxStartupBytes is the maximum average number of bytes that a member sends to other failure domains while a whole mesh
// starts.
const maxStartupBytes = 20 << 10

// TestStart guards against excess traffic when all members start at once: each member must not send the entries of all
// members to every other failure domain.
func TestStart(t *testing.T) {
	for _, count := range []int{30, 100, 200} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			newNetwork(t, 21, 0.01, 5).runMesh(count, func(n *network, nodes []*node) {
				for _, x := range nodes {
					x.Update(func(m *wire.Member) { m.Slots++ })
				}
				n.waitUntil(time.Minute, "updates of the own failure domain known", func(x *node) bool {
					sameDomain := 0
					for _, m := range x.Members() {
						if m.Slots == 21 && m.Domain == n.domain(x.index) {
							sameDomain++
						}
					}
					return sameDomain == count/5
				})
				n.waitUntil(time.Minute, "all updates known", func(x *node) bool { return countWithSlots(x, 21) == count })
				time.Sleep(5 * time.Second) // lets the queues drain
				crossDomain, total := n.bytesPerMember()
				n.t.Logf("%d members: %.0f B sent to other failure domains, %.0f B sent in total, per member", count, crossDomain, total)
				is.New(n.t).True(crossDomain <= maxStartupBytes)
			})
		})
	}
}

// bytesPerMember returns the average number of bytes that a member sent to other failure domains and in total.
func (n *network) bytesPerMember() (crossDomain, total float64) {
	synctest.Wait()
	for _, x := range n.nodes {
		crossDomain += float64(x.crossDomainBytes.Load())
		total += float64(x.datagramBytes.Load() + x.exchangeBytes.Load() + x.datagrams.Load()*udpHeaders)
	}
	count := float64(len(n.nodes))
	return crossDomain / count, total / count
}

// countWithSlots returns the number of members that x knows with the given number of slots.
func countWithSlots(x *node, want int) int {
	count := 0
	for _, m := range x.Members() {
		if m.Slots == want {
			count++
		}
	}
	return count
}

// TestDomainCut guards against a partitioned failure domain that, once reconnected, misses members that joined during the
// partition or restores a member that left during it.
func TestDomainCut(t *testing.T) {
	n := newNetwork(t, 22, 0.01, 4)
	n.seeds = []netip.AddrPort{address(0), address(3)} // new members find one on their side
	n.runMesh(40, func(n *network, nodes []*node) {
		n.partition(func(a, b *node) bool { return (a.index%4 == 3) != (b.index%4 == 3) })
		departed := nodes[7]
		is.New(n.t).NoErr(departed.Leave(n.t.Context()))
		n.kill(departed)
		inside, outside := n.start(43, 0), n.start(40, 0)
		time.Sleep(time.Minute)
		n.waitUntil(0, "members of the other side unknown", func(x *node) bool {
			return (lookup(x, inside.name).Name != "") == (x.index%4 == 3) && (lookup(x, outside.name).Name != "") == (x.index%4 != 3)
		})
		n.partition(func(_, _ *node) bool { return false })
		n.waitUntil(time.Minute, "members of both sides known", func(x *node) bool { return countAlive(x) == 41 })
		time.Sleep(time.Minute)
		n.waitUntil(0, "left member not back", func(x *node) bool { return lookup(x, departed.name).State != wire.Alive && countAlive(x) == 41 })
	})
}
