package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"bluebellhoist/controller/allocator"
	"bluebellhoist/core/apportioner"
	"bluebellhoist/core/carrier"
	"bluebellhoist/core/loader"
	"bluebellhoist/core/waiter"
	"bluebellhoist/core/wire"
)

// addTestQuota gives the node a quota with the clock of the test.
func (r *Runner) addTestQuota() {
	started := time.Now()
	r.settings.Quota = apportioner.Settings{Window: loader.Duration(5 * time.Second), Overage: 0.1, Slack: 20}
	r.quota = r.newQuota(func() time.Duration { return time.Since(started) })
}

// renewTestQuota renews the lease of a node with a quota until ctx ends. It does not open a socket.
func (r *Runner) renewTestQuota(ctx context.Context) {
	for r.quota != nil && ctx.Err() == nil {
		r.quota.renew(ctx)
		if waiter.Sleep(ctx, renewInterval) != nil {
			return
		}
	}
}

// allots reports whether a node answers an ask with an allotment as one of three voters.
func (n *node) allots() bool {
	running := n.currentRunner()
	if running == nil {
		return false
	}
	q := running.quota
	answer := q.allocator.Answer(q.clock(), wire.Quota{Kind: carrier.Ask, Batch: "b", Items: []wire.QuotaItem{{Tenant: "alfa", Count: 1}}})
	return answer.Kind == carrier.Allot && answer.Voters == clusterSize
}

func (c *cluster) awaitAllotments(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for i := 0; i < clusterSize; {
		if time.Now().After(deadline) {
			t.Fatalf("node %d allots no tokens", i)
		}
		if c.nodes[i].allots() {
			i++
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestQuotaLease guards against a controller that allots tokens without a majority or right after its start, and one that does not
// allot any more after it was cut off, has restarted or was replaced.
func TestQuotaLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1)
		c.awaitVoters()
		c.quotas = true
		for i := range clusterSize {
			c.crash(i)
		}
		for i := range clusterSize {
			c.start(i)
		}
		random := rand.New(rand.NewPCG(1, 1))
		const text = `{"batches": {"b": {"base": 0, "until": "2100-01-01T00:00:00Z", "services": {"s": {}},
			"tenants": {"alfa": {"keys": ["first-key"], "rate": 30, "burst": 30}}}}}`
		id := uuid.NewString()
		for c.request(t.Context(), random, http.MethodPost, "/v1/changes?id="+id, text).Code != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
		c.awaitAllotments(t)

		t.Log("cut off")
		c.isolate(1, true)
		time.Sleep(allocator.Lease + time.Second)
		is.True(!c.nodes[1].allots())
		is.True(c.nodes[0].allots() && c.nodes[2].allots())
		c.isolate(1, false)
		c.awaitAllotments(t)

		t.Log("restarted")
		c.crash(2)
		c.start(2)
		time.Sleep(allocator.Lease - time.Second)
		is.True(!c.nodes[2].allots())
		c.awaitAllotments(t)

		t.Log("replaced")
		c.loseDisk(0)
		c.awaitVoters()
		c.awaitAllotments(t)
		content, ok := c.nodes[0].runner.quota.allocator.Content(c.nodes[0].runner.quota.clock(), "b", "alfa")
		capacity := c.nodes[0].runner.settings.Quota.Bound().Capacity(apportioner.Limit{Rate: 30, Burst: 30}, clusterSize)
		is.True(ok && content <= capacity/clusterSize+1)
	})
}
