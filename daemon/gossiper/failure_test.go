package gossiper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/gossiper"
)

// TestLoss guards against declaring members dead because datagrams are lost, doubled, delayed or reordered.
func TestLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 2, 0.2)
		defer n.stop()
		n.startAll(40)
		suspected := 0
		for range 3 * 60 * 4 {
			time.Sleep(250 * time.Millisecond)
			for _, x := range n.nodes {
				for _, m := range x.Members() {
					switch m.State {
					case gossiper.Dead:
						t.Fatalf("%s holds %s dead", x.name, m.Name)
					case gossiper.Suspect:
						suspected++
					}
				}
			}
		}
		t.Logf("no false death in 3 min; %d suspect entries seen in samples of 250 ms", suspected)
	})
}

// TestKill guards against members that go on routing to a daemon that died.
func TestKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3, 0)
		n.keepDead = 2 * time.Minute
		defer n.stop()
		nodes := n.startAll(40)
		n.kill(nodes[20])
		took := n.until(12*time.Second, "dead", func(x *node) bool { return lookup(x, nodes[20].name).State == gossiper.Dead })
		t.Logf("killed member dead at all after %s", took)
		time.Sleep(3 * time.Minute)
		n.until(time.Second, "dropped", func(x *node) bool { return lookup(x, nodes[20].name).Name == "" && alive(x) == 39 })
	})
}

// TestPartition guards against halves that stay apart, and against members that are dead in their own half while healing.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 4, 0)
		defer n.stop()
		n.startAll(12)
		n.setCut(func(a, b *node) bool { return a.index%2 != b.index%2 })
		n.until(time.Minute, "half", func(x *node) bool { return alive(x) == 6 })
		newcomer := n.start(12, 0)
		time.Sleep(time.Hour)
		n.until(time.Second, "half", func(x *node) bool { return alive(x) == 6+(x.index+1)%2 })
		n.setCut(func(_, _ *node) bool { return false })
		took := n.until(2*time.Minute, "healed", func(x *node) bool {
			for _, m := range x.Members() {
				if m.State == gossiper.Dead && int(m.Addr.Addr().As4()[3])%2 == x.index%2 {
					t.Errorf("%s holds %s of its own half dead", x.name, m.Name)
				}
			}
			return alive(x) == 13
		})
		t.Logf("partition healed in %s", took)
		n.until(time.Second, "newcomer", func(x *node) bool { return lookup(x, newcomer.name).State == gossiper.Alive })
	})
}

// TestRestart guards against a restarted daemon, with a clock behind its last incarnation, that stays under its old entry.
func TestRestart(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Minute} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, 5, 0)
				defer n.stop()
				old := n.startAll(30)[9]
				n.kill(old)
				time.Sleep(wait) // old entry alive, or dead
				x := n.start(9, uint64(time.Now().Add(-time.Hour).UnixMilli()))
				x.Update(func(m *wire.Member) { m.Service = "seller" })
				took := n.until(10*time.Second, "new entry", func(y *node) bool {
					m := lookup(y, x.name)
					return m.State == gossiper.Alive && m.Service == "seller"
				})
				t.Logf("restarted member wins in %s", took)
			})
		})
	}
}

// TestFreeze guards against a frozen member that comes back and blames the others, or never returns.
func TestFreeze(t *testing.T) {
	for _, pause := range []time.Duration{4 * time.Second, time.Minute, 11 * time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, 6, 0)
				n.keepDead, n.keepLeft = 10*time.Minute, 10*time.Minute
				defer n.stop()
				nodes := n.startAll(30)
				thaw := n.freeze(nodes[11])
				defer thaw()
				n.kill(nodes[12])
				time.Sleep(pause)
				is.New(t).Equal(lookup(nodes[0], nodes[11].name).State == gossiper.Suspect, pause < time.Minute) // else dead or dropped
				thaw()
				took := n.until(time.Minute, "return", func(x *node) bool {
					for _, m := range x.Members() {
						if m.State == gossiper.Dead && m.Name != nodes[11].name && m.Name != nodes[12].name {
							t.Errorf("%s holds %s dead", x.name, m.Name)
						}
					}
					return lookup(x, nodes[11].name).State == gossiper.Alive && alive(x) == 29
				})
				t.Logf("frozen member is back in %s", took)
			})
		})
	}
}

// TestLeave guards against a planned stop that returns before others know, and against left members that reappear.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 7, 0.2)
		n.keepLeft = time.Minute
		defer n.stop()
		x := n.startAll(40)[30]
		is.NoErr(x.Leave(context.Background()))
		n.kill(x)
		took := n.until(5*time.Second, "left", func(y *node) bool { return lookup(y, x.name).State == gossiper.Left })
		t.Logf("left at all %s after Leave returned", took)
		time.Sleep(2 * time.Minute)
		n.until(time.Second, "dropped", func(y *node) bool { return lookup(y, x.name).Name == "" })
	})
}

// TestLeaveAlone guards against a planned stop that waits without end for members it cannot reach.
func TestLeaveAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 8, 0)
		defer n.stop()
		alone := n.start(0, 0)
		is.NoErr(alone.Leave(context.Background()))
		n.kill(alone)
		x := n.startAll(5)[4]
		n.setCut(func(_, _ *node) bool { return true })
		err := x.Leave(context.Background())
		is.True(err != nil) // unconfirmed
	})
}
