package router_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/router"
)

const (
	unevenDaemons = 30
	unevenSlots   = 12
	unevenRate    = 240              // calls/s, 0.6 of what the fast upstreams serve
	unevenTarget  = 500 * ms         // time within which an answer is wanted
	unevenTime    = 40 * time.Second // the first quarter does not count
)

// unevenDurations are the mean durations at the upstreams: eight fast ones and four that take two and a half times as long.
var unevenDurations = []time.Duration{
	240 * ms, 240 * ms, 240 * ms, 240 * ms, 240 * ms, 240 * ms, 240 * ms, 240 * ms, 600 * ms, 600 * ms, 600 * ms, 600 * ms,
}

// unevenUpstream serves calls in order of arrival with a number of slots.
type unevenUpstream struct {
	slots chan struct{}
	load  int
	mean  float64
	known bool
}

// observe averages the durations of calls as the daemon beside the upstream does.
func (u *unevenUpstream) observe(took time.Duration) {
	if !u.known {
		u.mean, u.known = float64(took), true
		return
	}
	u.mean += (float64(took) - u.mean) / 16
}

// playUneven makes calls for a time from routers that each see only their own, with the upstream that choose returns or, if it is
// nil, with the one that the router picks. It returns the share of calls that are answered by the target, and the share that goes to slow upstreams.
func playUneven(t *testing.T, choose func(upstreams []*unevenUpstream) int) (inTime, slow float64) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(5, 6))
		var members []wire.Member
		var upstreams []*unevenUpstream
		for i := range unevenDurations {
			members = append(members, member(fmt.Sprint(i), func(m *wire.Member) { m.Slots = unevenSlots }))
			upstreams = append(upstreams, &unevenUpstream{slots: make(chan struct{}, unevenSlots)})
		}
		routers := make([]*router.Router, unevenDaemons)
		for i := range routers {
			routers[i] = router.New(
				router.WithMembers(func() []wire.Member { return members }), router.WithDomain("buk"), router.WithRandom(random.IntN))
		}
		ended := make(chan time.Duration, 1)
		counted, good, toSlow, pending := 0, 0, 0, 0
		end := time.Now().Add(unevenTime)
		start := time.Now()
		next := time.NewTimer(0)
		for time.Now().Before(end) || pending > 0 {
			select {
			case latency := <-ended:
				pending--
				if latency >= 0 {
					counted++
					if latency <= unevenTarget {
						good++
					}
				}
			case <-next.C:
				if !time.Now().Before(end) {
					continue
				}
				next.Reset(time.Duration(random.ExpFloat64() * float64(time.Second) / unevenRate))
				i, done := 0, func(router.Outcome) {}
				if choose != nil {
					i = choose(upstreams)
				} else {
					m, finish, err := routers[random.IntN(unevenDaemons)].Pick("seller", nil)
					is.New(t).NoErr(err)
					_, err = fmt.Sscan(m.Name, &i)
					is.New(t).NoErr(err)
					done = finish
				}
				duration := logNormal(random, unevenDurations[i])
				count := time.Since(start) > unevenTime/4
				if count && unevenDurations[i] > unevenTarget {
					toSlow++
				}
				pending++
				u := upstreams[i]
				u.load++
				began := time.Now()
				go func() {
					u.slots <- struct{}{}
					time.Sleep(duration)
					<-u.slots
					u.load--
					u.observe(duration)
					latency := time.Since(began)
					done(router.Outcome{Latency: latency, Load: u.load, MeanDuration: time.Duration(u.mean)})
					if !count {
						latency = -1
					}
					ended <- latency
				}()
			}
			synctest.Wait()
		}
		inTime, slow = float64(good)/float64(counted), float64(toSlow)/float64(counted)
	})
	return inTime, slow
}

// logNormal returns a duration with the given mean whose logarithm has a standard deviation of 0.7.
func logNormal(random *rand.Rand, mean time.Duration) time.Duration {
	const deviation = 0.7
	return time.Duration(float64(mean) * math.Exp(deviation*random.NormFloat64()-deviation*deviation/2))
}

// leastTime is the choice of an oracle: the upstream where the call is expected to end first, by true loads and speeds.
func leastTime(upstreams []*unevenUpstream) int {
	best, lowest := 0, math.Inf(1)
	for i, u := range upstreams {
		waiting := max(u.load+1-unevenSlots, 0)
		expected := float64(unevenDurations[i]) * (1 + float64(waiting)/unevenSlots)
		if expected < lowest {
			best, lowest = i, expected
		}
	}
	return best
}

// maxSlowShare is the share of calls that slow upstreams may get while fast ones have free slots: enough to learn of changes.
const maxSlowShare = 0.1

// TestUneven guards against calls that go to slow upstreams while fast ones have free slots. Of the calls that an oracle could
// have answered by their target, the routers of a mesh, which each see few calls, answer nine tenths.
func TestUneven(t *testing.T) {
	is := is.New(t)
	oracle, _ := playUneven(t, leastTime)
	got, slow := playUneven(t, nil)
	t.Logf("answered by the target: %.3f, oracle %.3f; to slow upstreams: %.3f", got, oracle, slow)
	is.True(got >= 0.9*oracle)
	is.True(slow <= maxSlowShare)
}
