package gossiper_test

import (
	"testing"
	"time"

	"bluebellhoist/core/wire"
)

// TestThawSending guards against an expired member that reappears, because a member froze while it sent a suspicion of it and
// sends it when it resumes.
func TestThawSending(t *testing.T) {
	eachLayout(t, func(t *testing.T, domains int) {
		n := newNetwork(t, 9, 0, domains)
		n.deadRetention, n.leftRetention = 10*time.Minute, 10*time.Minute
		n.runMesh(30, func(n *network, nodes []*node) {
			sender, killed := nodes[11], nodes[12].name
			n.kill(nodes[12])
			for lookup(sender, killed).State != wire.Suspect {
				time.Sleep(time.Millisecond)
			}
			thaw := n.freeze(sender)
			defer thaw()
			time.Sleep(11 * time.Minute)
			n.waitUntil(0, "killed member expired", func(x *node) bool { return x == sender || lookup(x, killed).Name == "" })
			thaw()
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				n.waitUntil(0, "killed member not back", func(x *node) bool { return x == sender || lookup(x, killed).Name == "" })
			}
		})
	})
}
