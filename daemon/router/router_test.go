package router_test

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/router"
)

const ms = time.Millisecond

// member returns a ready member of service "seller" whose slow start is over.
func member(name string, edits ...func(*wire.Member)) wire.Member {
	m := wire.Member{
		Name: name, Domain: "buk", Service: "seller", State: "alive", Ready: true, Slots: 20,
		Addr:  netip.MustParseAddrPort("127.0.0.1:1"),
		Since: time.Now().Add(-time.Hour).UnixMilli(),
	}
	for _, edit := range edits {
		edit(&m)
	}
	return m
}

func in(domain string) func(*wire.Member) {
	return func(m *wire.Member) { m.Domain = domain }
}

func newRouter(members func() []wire.Member, random *rand.Rand) *router.Router {
	return router.New(router.WithMembers(members), router.WithDomain("buk"), router.WithRandom(random.IntN))
}

// fixture is a router over members that the test may replace.
type fixture struct {
	*is.I
	router  *router.Router
	members []wire.Member
}

func run(t *testing.T, name string, test func(f *fixture), members ...wire.Member) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{I: is.New(t), members: members}
			for i := range f.members {
				f.members[i].Since = time.Now().Add(-time.Hour).UnixMilli() // by the clock of this test
			}
			f.router = newRouter(func() []wire.Member { return f.members }, rand.New(rand.NewPCG(1, 2)))
			test(f)
		})
	})
}

// pick returns the name of a picked member and the function that ends the call.
func (f *fixture) pick(skip ...string) (string, func(router.Outcome)) {
	f.Helper()
	m, done, err := f.router.Pick("seller", skip)
	f.NoErr(err) // a member is picked
	return m.Name, done
}

// missing expects that no member is picked, for a reason.
func (f *fixture) missing(reason string, skip ...string) {
	f.Helper()
	_, _, err := f.router.Pick("seller", skip)
	f.True(errors.Is(err, router.ErrNoMember))
	f.True(strings.Contains(err.Error(), reason))
}

// shares makes calls one after the other and counts them by member. Those not in answers take 5 ms.
func (f *fixture) shares(calls int, answers map[string]router.Outcome) map[string]int {
	f.Helper()
	counts := make(map[string]int)
	for range calls {
		name, done := f.pick()
		counts[name]++
		o, given := answers[name]
		if !given {
			o = router.Outcome{Latency: 5 * ms, Load: -1}
		}
		time.Sleep(o.Latency)
		done(o)
	}
	return counts
}

// TestReady guards against calls to members that leave, died, are not ready or serve something else.
func TestReady(t *testing.T) {
	cases := []struct {
		name string
		edit func(*wire.Member)
		want string
	}{
		{"left", func(m *wire.Member) { m.State = "left" }, "1 members known, 1 ready, none of these alive"},
		{"dead", func(m *wire.Member) { m.State = "dead" }, "none of these alive"},
		{"not ready", func(m *wire.Member) { m.Ready = false }, "0 ready"},
		{"other service", func(m *wire.Member) { m.Service = "stock" }, "no upstream is announced"},
	}
	for _, c := range cases {
		run(t, c.name, func(f *fixture) {
			f.pick() // the index is built before the change
			f.members = []wire.Member{member("a", c.edit)}
			f.missing(c.want)
			f.members = []wire.Member{member("a", func(m *wire.Member) { m.State = "suspect" })}
			f.pick()
		}, member("a"))
	}
}

// TestSkip guards against a retry at a member that was tried.
func TestSkip(t *testing.T) {
	run(t, "tried members", func(f *fixture) {
		for range 20 {
			name, _ := f.pick("a", "b")
			f.Equal(name, "c")
		}
		f.missing("all 3 ready members were tried", "a", "b", "c")
	}, member("a"), member("b"), member("c", in("dalseo")))
}

// TestFrozen guards against a member that takes calls and never answers: two stuck calls must end its share.
func TestFrozen(t *testing.T) {
	run(t, "no answers", func(f *fixture) {
		f.shares(200, nil)
		stuck := 0
		for range 300 {
			name, done := f.pick()
			time.Sleep(5 * ms)
			if name == "frozen" {
				stuck++
				continue
			}
			done(router.Outcome{Latency: 5 * ms, Load: -1})
		}
		f.True(stuck <= 2)
	}, member("a"), member("b"), member("frozen"))
}

// TestMisleadingLoad guards against reports that take a member out or send everything to it.
func TestMisleadingLoad(t *testing.T) {
	run(t, "reports", func(f *fixture) {
		reports := map[string]int{"zero": 0, "huge": 100000, "true": 10}
		counts := make(map[string]int)
		for range 3000 { // ten calls are in progress on average
			name, done := f.pick()
			counts[name]++
			time.AfterFunc(50*ms, func() { done(router.Outcome{Latency: 50 * ms, Load: reports[name]}) })
			time.Sleep(5 * ms)
		}
		t.Logf("shares %v", counts)
		f.True(counts["true"] > 600)
		f.True(counts["huge"] > 5)
	}, member("zero"), member("huge"), member("true"))
}

// TestLocality guards against crossing failure domains without need, and against keeping calls in an overloaded one.
func TestLocality(t *testing.T) {
	cases := []struct {
		name      string
		local     router.Outcome
		low, high int // bounds of the local share in 300 calls
	}{
		{"accepts", router.Outcome{Latency: 5 * ms, Load: -1}, 300, 300},
		{"is slower", router.Outcome{Latency: 20 * ms, Load: -1}, 290, 300},
		{"rejects", router.Outcome{Kind: router.Rejected, Load: 40}, 1, 30},
		{"is overloaded", router.Outcome{Latency: 20 * ms, Load: 60}, 1, 60},
	}
	for _, c := range cases {
		run(t, c.name, func(f *fixture) {
			counts := f.shares(300, map[string]router.Outcome{"near": c.local})
			t.Logf("%s: shares %v", c.name, counts)
			f.True(counts["near"] >= c.low)
			f.True(counts["near"] <= c.high)
		}, member("near"), member("far1", in("dalseo")), member("far2", in("suseong")))
	}
}

// TestEjection guards against a member that fails quickly and so attracts calls. It is out for 5 s, then for 10 s after
// a failed trial, and comes back after a good one.
func TestEjection(t *testing.T) {
	cases := []struct {
		name     string
		kind     router.Kind
		failures int
	}{
		{"five failures", router.Failed, 5},
		{"failed connect", router.Unreachable, 1},
	}
	for _, c := range cases {
		run(t, c.name, func(f *fixture) {
			f.shares(30, nil)
			broken := map[string]router.Outcome{"bad": {Kind: c.kind, Load: -1}}
			for range c.failures {
				_, done := f.pick("a", "b")
				done(broken["bad"])
			}
			f.Equal(f.shares(990, broken)["bad"], 0)  // ejected for 4.95 s
			f.Equal(f.shares(100, broken)["bad"], 1)  // one trial
			f.Equal(f.shares(1900, broken)["bad"], 0) // ejected for twice as long
			f.shares(100, nil)
			f.True(f.shares(300, nil)["bad"] >= 50) // back
		}, member("a"), member("b"), member("bad"))
	}
}

// TestAllFail guards against a service without any member to try: at most half are ejected, and the least bad one
// takes the call if the others were tried.
func TestAllFail(t *testing.T) {
	run(t, "no connects", func(f *fixture) {
		down := router.Outcome{Kind: router.Unreachable, Latency: ms}
		counts := f.shares(400, map[string]router.Outcome{"a": down, "b": down, "c": down, "d": down})
		tried := 0
		for _, n := range counts {
			if n > 50 {
				tried++
			}
		}
		f.True(tried >= 2) // half of the members still take calls
		for _, skip := range [][]string{{"a", "b", "c"}, {"b", "c", "d"}, {"a", "c", "d"}, {"a", "b", "d"}} {
			f.pick(skip...)
		}
	}, member("a"), member("b"), member("c"), member("d"))
}

// TestSlowStart guards against a cold member that gets a full share at once, also if its clock is ahead.
func TestSlowStart(t *testing.T) {
	for _, skew := range []time.Duration{0, time.Hour} {
		run(t, skew.String(), func(f *fixture) {
			f.shares(100, nil)
			cold := member("cold", func(m *wire.Member) { m.Since = time.Now().Add(skew).UnixMilli() })
			f.members = append(f.members[:2:2], cold)
			first, second, third := f.shares(1000, nil)["cold"], f.shares(1000, nil)["cold"], f.shares(1000, nil)["cold"]
			t.Logf("calls of 1000 in 5 s each: %d, %d, %d", first, second, third)
			f.True(first > 20 && first < second && second < third && third > 250)
		}, member("a"), member("b"))
	}
}
