package gossiper_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

// TestSpread guards against calls to an upstream that is no longer ready, from members that learn of the change too late.
func TestSpread(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		newNetwork(t, 1, 0, domains).runMesh(100, func(n *network, nodes []*node) {
			time.Sleep(time.Minute)
			late := n.start(100, 0)
			n.waitUntil(5*time.Second, "new member known", func(x *node) bool { return lookup(x, late.name).Ready && countAlive(x) == 101 })
			nodes[7].Update(func(m *wire.Member) { m.Ready = false })
			time.Sleep(10 * time.Millisecond)
			informed := slices.DeleteFunc(slices.Clone(nodes), func(x *node) bool { return lookup(x, nodes[7].name).Ready })
			is.New(n.t).True(len(informed) > 5) // the member itself and several others at once
			n.waitUntil(3*time.Second, "ready=false known", func(x *node) bool { return !lookup(x, nodes[7].name).Ready })
		})
	})
}

// TestLoss guards against declaring members dead because datagrams are lost, duplicated, delayed or reordered.
func TestLoss(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		newNetwork(t, 2, 0.2, domains).runMesh(60, func(n *network, nodes []*node) {
			for range 5 * 60 * 4 {
				time.Sleep(250 * time.Millisecond)
				for _, x := range nodes {
					n.requireNoneDead(x, func(wire.Member) bool { return true })
				}
			}
		})
	})
}

// TestKill guards against members that still consider a killed member alive, and against its entry reappearing after it has
// expired.
func TestKill(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		n := newNetwork(t, 3, 0, domains)
		n.deadRetention = 2 * time.Minute
		n.runMesh(40, func(n *network, nodes []*node) {
			x := nodes[20]
			n.kill(x)
			n.waitUntil(12*time.Second, "dead", func(y *node) bool { return lookup(y, x.name).State == wire.Dead })
			time.Sleep(100 * time.Second)
			n.start(40, 0) // receives the dead entry late
			time.Sleep(time.Minute)
			n.waitUntil(0, "dropped", func(y *node) bool { return lookup(y, x.name).Name == "" && countAlive(y) == 40 })
		})
	})
}

// TestPartition guards against halves that do not merge after a partition, and against members declared dead in their own
// half while the halves merge.
func TestPartition(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		newNetwork(t, 4, 0, domains).runMesh(15, func(n *network, nodes []*node) {
			for _, seed := range nodes[:3] { // the halves must merge without the seeds
				n.kill(seed)
			}
			n.partition(func(a, b *node) bool { return a.index%2 != b.index%2 })
			n.waitUntil(time.Minute, "parted", func(x *node) bool { return countAlive(x) == 6 })
			n.seeds = []netip.AddrPort{address(4)}
			n.start(16, 0)
			time.Sleep(time.Hour)
			n.waitUntil(0, "new member known in one half only", func(x *node) bool { return countAlive(x) == 6+(x.index+1)%2 })
			n.partition(func(_, _ *node) bool { return false })
			n.waitUntil(2*time.Minute, "healed", func(x *node) bool {
				n.requireNoneDead(x, func(m wire.Member) bool { i := nodeIndex(m); return i > 2 && i%2 == x.index%2 })
				return countAlive(x) == 13
			})
		})
	})
}

func nodeIndex(m wire.Member) int {
	return int(m.Addr.Addr().As4()[3])
}

// TestRestart guards against a restarted daemon whose clock is behind its last incarnation and whose new entry therefore
// never replaces the old one.
func TestRestart(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		for _, wait := range []time.Duration{0, time.Minute} { // the old entry is alive or dead
			t.Run(wait.String(), func(t *testing.T) {
				newNetwork(t, 5, 0, domains).runMesh(30, func(n *network, nodes []*node) {
					time.Sleep(time.Minute)
					n.breakExchanges() // datagrams alone must spread the new entry
					n.kill(nodes[9])
					time.Sleep(wait)
					x := n.start(9, uint64(time.Now().Add(-time.Hour).UnixMilli()))
					x.Update(func(m *wire.Member) { m.Service = "seller" })
					n.waitUntil(10*time.Second, "new entry", func(y *node) bool {
						return lookup(y, x.name).State == wire.Alive && lookup(y, x.name).Service == "seller"
					})
				})
			})
		}
	})
}

// TestSilentSeeds guards against members that block on a seed whose VM is powered off, when all VMs restart and the seeds
// come up last.
func TestSilentSeeds(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		const members, seeds = 60, 3
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 8, 0, domains)
			n.noRefusals = true
			defer n.stop()
			for i := seeds; i < members; i++ {
				n.start(i, 0)
			}
			time.Sleep(400 * time.Millisecond)
			for i := range seeds {
				n.start(i, 0)
			}
			n.waitUntil(3*time.Second, "all members known", func(x *node) bool { return countAlive(x) == members })
		})
	})
}

// TestFreeze guards against a frozen member that, once it resumes, declares other members dead or never rejoins.
func TestFreeze(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		for _, pause := range []time.Duration{time.Second, time.Minute, 11 * time.Minute} { // the frozen member is suspect, dead or expired elsewhere
			t.Run(pause.String(), func(t *testing.T) {
				n := newNetwork(t, 6, 0, domains)
				n.deadRetention, n.leftRetention = 10*time.Minute, 10*time.Minute
				n.runMesh(30, func(n *network, nodes []*node) {
					frozen, killed := nodes[11].name, nodes[12].name
					n.partition(func(a, b *node) bool { return a == nodes[11] || b == nodes[11] })
					time.Sleep(3 * time.Second) // the member suspects others when it freezes
					thaw := n.freeze(nodes[11])
					defer thaw()
					n.partition(func(_, _ *node) bool { return false })
					n.kill(nodes[12])
					time.Sleep(pause)
					is.New(t).Equal(lookup(nodes[0], frozen).State == wire.Suspect, pause < time.Minute)
					thaw()
					back := func(x *node) bool {
						n.requireNoneDead(x, func(m wire.Member) bool { return m.Name != frozen && m.Name != killed })
						return lookup(x, frozen).State == wire.Alive && countAlive(x) == 29
					}
					n.waitUntil(time.Minute, "frozen member back", back)
					time.Sleep(10 * time.Second)
					n.waitUntil(0, "killed member not back", func(x *node) bool {
						return back(x) && (pause < n.deadRetention || lookup(x, killed).Name == "")
					})
				})
			})
		}
	})
}

// TestLeave guards against a planned stop that returns before other members know of it, and against members that reappear
// after they left.
func TestLeave(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		n := newNetwork(t, 7, 0.2, domains)
		n.leftRetention = time.Minute
		n.runMesh(40, func(n *network, nodes []*node) {
			x := nodes[30]
			is.New(t).NoErr(x.Leave(context.Background()))
			n.kill(x)
			n.waitUntil(5*time.Second, "left", func(y *node) bool { return lookup(y, x.name).State == wire.Left })
			time.Sleep(2 * time.Minute)
			n.waitUntil(0, "dropped", func(y *node) bool { return lookup(y, x.name).Name == "" })
		})
	})
}

// TestLeaveAlone guards against a planned stop that blocks forever on unreachable members.
func TestLeaveAlone(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		for _, count := range []int{1, 5} {
			newNetwork(t, 8, 0, domains).runMesh(count, func(n *network, nodes []*node) {
				n.partition(func(_, _ *node) bool { return true })
				err := nodes[0].Leave(context.Background())
				is.New(t).Equal(err != nil, count > 1) // unconfirmed if other members exist
			})
		}
	})
}

// TestLeaveByExchange guards against a leave that only the partner of an exchange hears of, while the other members of the
// failure domain keep sending calls.
func TestLeaveByExchange(t *testing.T) {
	newNetwork(t, 27, 0, 1).runMesh(8, func(n *network, nodes []*node) {
		n.breakExchanges()
		time.Sleep(time.Minute) // no member queues the entry any more
		left := lookup(nodes[0], nodes[7].name)
		n.kill(nodes[7])
		left.State, left.Ready, left.Incarnation = wire.Left, false, left.Incarnation+1
		nodes[0].HandleExchange(wire.Gossip{Kind: "sync", From: nodes[1].name, Members: []wire.Member{left}})
		n.waitUntil(3*time.Second, "leave known", func(x *node) bool { return lookup(x, left.Name).State == wire.Left })
	})
}
