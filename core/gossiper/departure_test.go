package gossiper_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

var departure = wire.Departure{Upstream: 7, Start: 1000, Seq: wire.FinalSeq}

// depart records the departure in the entry of x, waits until it is confirmed, and kills x.
func (n *network) depart(x *node) {
	n.t.Helper()
	x.Update(func(m *wire.Member) { m.Ready, m.Gone = false, departure })
	is.New(n.t).NoErr(x.Confirm(context.Background()))
	n.kill(x)
}

// TestDepartureOutlastsProcess guards against a member that is restarted and no longer knows that its upstream has left,
// although the leave was confirmed.
func TestDepartureOutlastsProcess(t *testing.T) {
	cases := []struct {
		name   string
		change func(n *network, nodes []*node, x *node) // between the leave and the restart
	}{
		{"at once", func(*network, []*node, *node) {}},
		{"after it was declared dead", func(*network, []*node, *node) { time.Sleep(time.Minute) }},
		{"one seed is lost", func(n *network, nodes []*node, _ *node) { n.kill(nodes[1]) }},
		{"exchanges fail", func(n *network, _ []*node, _ *node) { n.breakExchanges() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			eachLayout(t, func(t *testing.T, domains int) {
				newNetwork(t, 21, 0, domains).runMesh(20, func(n *network, nodes []*node) {
					x := nodes[13]
					n.depart(x)
					c.change(n, nodes, x)
					restarted := n.start(x.index, 0)
					<-restarted.Recovered()
					synctest.Wait()
					is.New(n.t).Equal(lookup(restarted, x.name).Gone, departure)
					n.waitUntil(time.Minute, "departure known to all", func(y *node) bool { return lookup(y, x.name).Gone == departure })
				})
			})
		})
	}
}

// TestDepartureWithoutSeeds guards against a member that never learns of its departure because its seeds do not answer after
// the restart, and against one that waits for them for long.
func TestDepartureWithoutSeeds(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		newNetwork(t, 22, 0, domains).runMesh(20, func(n *network, nodes []*node) {
			x := nodes[13]
			n.depart(x)
			n.partition(func(a, b *node) bool { return (a.index < 3) != (b.index < 3) })
			start := time.Now()
			restarted := n.start(x.index, 0)
			<-restarted.Recovered()
			is.New(n.t).True(time.Since(start) <= time.Second)
			n.waitUntil(time.Minute, "departure known again", func(y *node) bool {
				return y != restarted || lookup(y, x.name).Gone == departure
			})
		})
	})
}

// TestFirstMember guards against a member that waits for others although there are none, or although none remembers
// anything since all restart together.
func TestFirstMember(t *testing.T) {
	t.Run("alone", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 23, 0, 1)
			n.seeds = []netip.AddrPort{address(0)}
			defer n.stop()
			x := n.start(0, 0)
			synctest.Wait()
			<-x.Recovered()
			is.New(t).NoErr(x.Confirm(t.Context())) // there is nobody to confirm
		})
	})
	t.Run("all restart", func(t *testing.T) {
		newNetwork(t, 24, 0, 4).runMesh(20, func(n *network, nodes []*node) {
			for _, x := range nodes {
				n.kill(x)
			}
			start := time.Now()
			for i := range nodes {
				nodes[i] = n.start(i, 0)
			}
			for _, x := range nodes {
				<-x.Recovered()
				is.New(n.t).True(lookup(x, x.name).Gone.IsZero())
			}
			is.New(n.t).True(time.Since(start) < 100*time.Millisecond) // the seeds answer
		})
	})
}

// TestConfirmAlone guards against a leave that is acknowledged although no other member has heard of it.
func TestConfirmAlone(t *testing.T) {
	newNetwork(t, 25, 0, 4).runMesh(20, func(n *network, nodes []*node) {
		x := nodes[13]
		n.partition(func(a, b *node) bool { return a == x || b == x })
		x.Update(func(m *wire.Member) { m.Gone = departure })
		is.New(n.t).True(x.Confirm(n.t.Context()) != nil)
	})
}

// TestDepartureIsKept guards against an update that replaces a departure by an earlier one.
func TestDepartureIsKept(t *testing.T) {
	newNetwork(t, 26, 0, 1).runMesh(4, func(n *network, nodes []*node) {
		nodes[3].Update(func(m *wire.Member) { m.Gone = departure })
		nodes[3].Update(func(m *wire.Member) { m.Gone, m.Slots = wire.Departure{Start: 1}, 5 })
		n.waitUntil(5*time.Second, "update known", func(x *node) bool { return lookup(x, nodes[3].name).Slots == 5 })
		is.New(n.t).Equal(lookup(nodes[3], nodes[3].name).Gone, departure)
	})
}

// TestRemembered guards against a restarted member that takes others for ones which remember it although all have restarted, and
// against one that does not notice those that do.
func TestRemembered(t *testing.T) {
	isRemembered := func(x *node) bool {
		select {
		case <-x.Remembered():
			return true
		default:
			return false
		}
	}
	t.Run("one restarts", func(t *testing.T) {
		newNetwork(t, 27, 0, 4).runMesh(20, func(n *network, nodes []*node) {
			time.Sleep(5 * time.Second)
			n.kill(nodes[13])
			x := n.start(13, 0)
			<-x.Recovered()
			synctest.Wait()
			is.New(n.t).True(isRemembered(x))
		})
	})
	t.Run("all but one seed restart", func(t *testing.T) {
		newNetwork(t, 28, 0, 4).runMesh(20, func(n *network, nodes []*node) {
			time.Sleep(5 * time.Second)
			for _, x := range nodes[1:] {
				n.kill(x)
			}
			for i := 1; i < len(nodes); i++ {
				nodes[i] = n.start(i, 0)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			is.New(n.t).True(isRemembered(nodes[13]))
		})
	})
	t.Run("all restart", func(t *testing.T) {
		newNetwork(t, 29, 0, 4).runMesh(20, func(n *network, nodes []*node) {
			time.Sleep(5 * time.Second)
			for _, x := range nodes {
				n.kill(x)
			}
			for i := range nodes {
				nodes[i] = n.start(i, 0)
			}
			time.Sleep(10 * time.Second)
			synctest.Wait()
			for _, x := range nodes {
				is.New(n.t).True(!isRemembered(x))
			}
		})
	})
}
