package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

// behindFor is longer than maxContactAge.
const behindFor = 10 * time.Second

// changeServices replaces the batch through a node.
func changeServices(t *testing.T, n *node, id string, base uint64, service string) {
	t.Helper()
	edit := wire.Edit{Name: "b", Base: base, Until: time.Now().Add(time.Hour).UnixMilli(), Services: []wire.Service{{Name: service, Class: "normal", Limit: time.Second}}}
	result, err := n.currentRunner().Change(t.Context(), wire.Change{ID: id, Edits: []wire.Edit{edit}})
	is.New(t).NoErr(err)
	is.New(t).Equal(result.Code, "")
}

// TestFreshBehind guards against a controller that hears from the leader but lacks entries, and that keeps its daemons at an
// old version because it counts as fresh.
func TestFreshBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1)
		c.awaitVoters()
		time.Sleep(behindFor)
		leader, behind := c.leaderAndFollower()
		is.True(c.nodes[behind].currentRunner().fresh())
		c.withholdEntries(behind, true)
		changeServices(t, c.nodes[leader], "1", 0, "a")
		time.Sleep(behindFor)
		follower := c.nodes[behind].currentRunner()
		is.Equal(follower.registrar.View().Version(), uint64(0))
		is.True(follower.inContact())
		is.True(!follower.fresh())
		c.withholdEntries(behind, false)
		time.Sleep(behindFor)
		is.Equal(follower.registrar.View().Version(), uint64(1))
		is.True(follower.fresh())
	})
}

// leaderAndFollower returns the numbers of the leader and of another node.
func (c *cluster) leaderAndFollower() (leader, follower int) {
	for i, n := range c.nodes {
		if n.currentRunner().replicator.Status().Role == "leader" {
			return i, (i + 1) % clusterSize
		}
	}
	c.t.Fatal("no leader")
	return 0, 0
}
