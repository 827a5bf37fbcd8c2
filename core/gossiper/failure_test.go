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

// TestSpread guards against an upstream that is leaving and still gets work from members that did not hear of it.
func TestSpread(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		newNetwork(t, 1, 0, domains).run(100, func(n *network, nodes []*node) {
			time.Sleep(time.Minute)
			late := n.start(100, 0)
			n.until(5*time.Second, "new member known", func(x *node) bool { return lookup(x, late.name).Ready && alive(x) == 101 })
			nodes[7].Update(func(m *wire.Member) { m.Ready = false })
			time.Sleep(10 * time.Millisecond)
			told := slices.DeleteFunc(slices.Clone(nodes), func(x *node) bool { return lookup(x, nodes[7].name).Ready })
			is.New(n.t).True(len(told) > 5) // itself and several others at once
			n.until(3*time.Second, "ready=false known", func(x *node) bool { return !lookup(x, nodes[7].name).Ready })
		})
	})
}

// TestLoss guards against declaring members dead because datagrams are lost, doubled, delayed or reordered.
func TestLoss(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		newNetwork(t, 2, 0.2, domains).run(60, func(n *network, nodes []*node) {
			for range 5 * 60 * 4 {
				time.Sleep(250 * time.Millisecond)
				for _, x := range nodes {
					n.noneDead(x, func(wire.Member) bool { return true })
				}
			}
		})
	})
}

// TestKill guards against members that go on routing to a daemon that died, and against its return after it was dropped.
func TestKill(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		n := newNetwork(t, 3, 0, domains)
		n.keepDead = 2 * time.Minute
		n.run(40, func(n *network, nodes []*node) {
			x := nodes[20]
			n.kill(x)
			n.until(12*time.Second, "dead", func(y *node) bool { return lookup(y, x.name).State == wire.Dead })
			time.Sleep(100 * time.Second)
			n.start(40, 0) // learns of the dead member late
			time.Sleep(time.Minute)
			n.until(0, "dropped", func(y *node) bool { return lookup(y, x.name).Name == "" && alive(y) == 40 })
		})
	})
}

// TestPartition guards against halves that stay apart, and against members that are dead in their own half while healing.
func TestPartition(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		newNetwork(t, 4, 0, domains).run(15, func(n *network, nodes []*node) {
			for _, seed := range nodes[:3] { // seeds alone must not be what heals
				n.kill(seed)
			}
			n.setCut(func(a, b *node) bool { return a.index%2 != b.index%2 })
			n.until(time.Minute, "parted", func(x *node) bool { return alive(x) == 6 })
			n.seeds = []netip.AddrPort{address(4)}
			n.start(16, 0)
			time.Sleep(time.Hour)
			n.until(0, "newcomer in one half", func(x *node) bool { return alive(x) == 6+(x.index+1)%2 })
			n.setCut(func(_, _ *node) bool { return false })
			n.until(2*time.Minute, "healed", func(x *node) bool {
				n.noneDead(x, func(m wire.Member) bool { i := index(m); return i > 2 && i%2 == x.index%2 })
				return alive(x) == 13
			})
		})
	})
}

func index(m wire.Member) int {
	return int(m.Addr.Addr().As4()[3])
}

// TestRestart guards against a restarted daemon, with a clock behind its last incarnation, that stays under its old entry.
func TestRestart(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		for _, wait := range []time.Duration{0, time.Minute} { // the old entry is alive, or dead
			t.Run(wait.String(), func(t *testing.T) {
				newNetwork(t, 5, 0, domains).run(30, func(n *network, nodes []*node) {
					time.Sleep(time.Minute)
					n.breakExchanges() // datagrams alone must tell it
					n.kill(nodes[9])
					time.Sleep(wait)
					x := n.start(9, uint64(time.Now().Add(-time.Hour).UnixMilli()))
					x.Update(func(m *wire.Member) { m.Service = "seller" })
					n.until(10*time.Second, "new entry", func(y *node) bool {
						return lookup(y, x.name).State == wire.Alive && lookup(y, x.name).Service == "seller"
					})
				})
			})
		}
	})
}

// TestSilentSeeds guards against members that wait for the answer of a seed without power when all VMs start again and the
// seeds come back last.
func TestSilentSeeds(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		const members, seeds = 60, 3
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 8, 0, domains)
			n.silent = true
			defer n.stop()
			for i := seeds; i < members; i++ {
				n.start(i, 0)
			}
			time.Sleep(400 * time.Millisecond)
			for i := range seeds {
				n.start(i, 0)
			}
			n.until(3*time.Second, "all members known", func(x *node) bool { return alive(x) == members })
		})
	})
}

// TestFreeze guards against a frozen member that comes back and blames the others, or never returns.
func TestFreeze(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		for _, pause := range []time.Duration{time.Second, time.Minute, 11 * time.Minute} { // suspect, dead, dropped
			t.Run(pause.String(), func(t *testing.T) {
				n := newNetwork(t, 6, 0, domains)
				n.keepDead, n.keepLeft = 10*time.Minute, 10*time.Minute
				n.run(30, func(n *network, nodes []*node) {
					frozen, killed := nodes[11].name, nodes[12].name
					n.setCut(func(a, b *node) bool { return a == nodes[11] || b == nodes[11] })
					time.Sleep(3 * time.Second) // it suspects others when it freezes
					thaw := n.freeze(nodes[11])
					defer thaw()
					n.setCut(func(_, _ *node) bool { return false })
					n.kill(nodes[12])
					time.Sleep(pause)
					is.New(t).Equal(lookup(nodes[0], frozen).State == wire.Suspect, pause < time.Minute)
					thaw()
					back := func(x *node) bool {
						n.noneDead(x, func(m wire.Member) bool { return m.Name != frozen && m.Name != killed })
						return lookup(x, frozen).State == wire.Alive && alive(x) == 29
					}
					n.until(time.Minute, "frozen member back", back)
					time.Sleep(10 * time.Second)
					n.until(0, "killed member not back", func(x *node) bool {
						return back(x) && (pause < n.keepDead || lookup(x, killed).Name == "")
					})
				})
			})
		}
	})
}

// TestLeave guards against a planned stop that returns before others know, and against left members that reappear.
func TestLeave(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		n := newNetwork(t, 7, 0.2, domains)
		n.keepLeft = time.Minute
		n.run(40, func(n *network, nodes []*node) {
			x := nodes[30]
			is.New(t).NoErr(x.Leave(context.Background()))
			n.kill(x)
			n.until(5*time.Second, "left", func(y *node) bool { return lookup(y, x.name).State == wire.Left })
			time.Sleep(2 * time.Minute)
			n.until(0, "dropped", func(y *node) bool { return lookup(y, x.name).Name == "" })
		})
	})
}

// TestLeaveAlone guards against a planned stop that waits without end for members it cannot reach.
func TestLeaveAlone(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		for _, count := range []int{1, 5} {
			newNetwork(t, 8, 0, domains).run(count, func(n *network, nodes []*node) {
				n.setCut(func(_, _ *node) bool { return true })
				err := nodes[0].Leave(context.Background())
				is.New(t).Equal(err != nil, count > 1) // unconfirmed
			})
		}
	})
}
