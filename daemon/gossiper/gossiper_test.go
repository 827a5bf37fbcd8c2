package gossiper_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

// TestSpread guards against an upstream that is leaving and still gets work from members that did not hear of it.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, 0)
		defer n.stop()
		nodes := n.startAll(100)
		time.Sleep(time.Minute)

		late := n.start(100, 0)
		took := n.until(5*time.Second, "new member", func(x *node) bool { return lookup(x, late.name).Ready })
		t.Logf("new member reached all in %s", took)

		nodes[7].Update(func(m *wire.Member) { m.Ready = false })
		took = n.until(3*time.Second, "not ready", func(x *node) bool { return !lookup(x, nodes[7].name).Ready })
		t.Logf("ready=false reached all in %s", took)
		is.Equal(alive(late), 101)
	})
}
