package router_test

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
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
		Addr: netip.MustParseAddrPort("127.0.0.1:1"),
	}
	startedAgo(time.Hour)(&m)
	for _, edit := range edits {
		edit(&m)
	}
	return m
}

func inDomain(domain string) func(*wire.Member) {
	return func(m *wire.Member) { m.Domain = domain }
}

func startedAgo(age time.Duration) func(*wire.Member) {
	return func(m *wire.Member) { m.Since = time.Now().Add(-age).UnixMilli() }
}

// fixture is a router whose members the test may replace.
type fixture struct {
	*is.I
	router  *router.Router
	members []wire.Member
	ejected atomic.Int32 // number of ejections
}

func run(t *testing.T, name string, members []wire.Member, test func(f *fixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{I: is.New(t), members: slices.Clone(members)}
			for i := range f.members {
				startedAgo(time.Hour)(&f.members[i]) // by the fake clock of this test
			}
			f.router = router.New(
				router.WithMembers(func() []wire.Member { return f.members }),
				router.WithDomain("buk"),
				router.WithRandom(rand.New(rand.NewPCG(1, 2)).IntN),
				router.WithEjected(func(wire.Member, time.Duration) { f.ejected.Add(1) }),
			)
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

// expectNoMember expects that no member is picked and that the error contains the reason.
func (f *fixture) expectNoMember(reason string, skip ...string) {
	f.Helper()
	_, _, err := f.router.Pick("seller", skip)
	f.True(errors.Is(err, router.ErrNoMember))
	f.True(strings.Contains(err.Error(), reason))
}

// outcomes maps members to the outcome of their calls. Calls to other members succeed after 4 ms.
type outcomes map[string]router.Outcome

// countCalls makes a call every 5 ms and returns the number of calls by member.
func (f *fixture) countCalls(calls int, given outcomes) map[string]int {
	f.Helper()
	counts := make(map[string]int)
	for range calls {
		name, done := f.pick()
		counts[name]++
		o, ok := given[name]
		if !ok {
			o = router.Outcome{Latency: 4 * ms, Load: -1}
		}
		time.AfterFunc(o.Latency, func() { done(o) })
		time.Sleep(5 * ms)
	}
	return counts
}

// TestReady guards against calls to members that left, are dead, are not ready or serve another service.
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
		run(t, c.name, []wire.Member{member("a")}, func(f *fixture) {
			f.pick() // the index is built before the change
			f.members = []wire.Member{member("a", c.edit)}
			f.expectNoMember(c.want)
			f.members = []wire.Member{member("a", func(m *wire.Member) { m.State = "suspect" })}
			f.pick()
		})
	}
}

// TestSkip guards against a retry at a member that was already attempted, and against calls whose end is counted twice.
func TestSkip(t *testing.T) {
	run(t, "tried", []wire.Member{member("a"), member("b"), member("c")}, func(f *fixture) {
		for range 20 {
			name, done := f.pick("a", "b")
			f.Equal(name, "c")
			done(router.Outcome{Result: router.Canceled})
			done(router.Outcome{Result: router.Canceled})
		}
		f.True(f.countCalls(100, nil)["c"] < 60) // the in-flight count of c did not fall below zero
		f.expectNoMember("all 3 ready members were tried", "a", "b", "c")
	})
}

// TestShares guards against members that get too many or too few of 1,000 calls, made every 5 ms.
func TestShares(t *testing.T) {
	slow := router.Outcome{Latency: 50 * ms, Load: -1} // ten calls are in flight
	remote := router.Outcome{Latency: 12 * ms, Load: -1}
	refused := router.Outcome{Result: router.Refused, Load: 20}
	pair := []wire.Member{member("a"), member("b")}
	domains := []wire.Member{member("a"), member("far1", inDomain("dalseo")), member("far2", inDomain("suseong"))}
	cases := []struct {
		name      string
		members   []wire.Member
		given     outcomes
		low, high int // bounds on the number of calls to a
	}{
		{"equal", pair, outcomes{"a": slow, "b": slow}, 450, 550},
		{"fast and slow", pair, outcomes{"a": slow, "b": {Latency: 150 * ms, Load: -1}}, 900, 995},
		{"fast is full", pair, outcomes{"a": {Latency: 50 * ms, Load: 60}, "b": {Latency: 150 * ms, Load: -1}}, 200, 700},
		{"no answers", pair, outcomes{"a": {Latency: time.Hour}}, 1, 3},
		{"few slots", []wire.Member{member("a", func(m *wire.Member) { m.Slots = 5 }), member("b")}, outcomes{"a": slow, "b": slow}, 100, 250},
		{"reports the calls of this daemon", pair, outcomes{"a": {Latency: 50 * ms, Load: 5}, "b": slow}, 450, 550},
		{"reports too much", pair, outcomes{"a": {Latency: 50 * ms, Load: 100000}, "b": slow}, 10, 200},
		{"reports too little", pair, outcomes{"a": {Latency: 50 * ms}, "b": {Latency: 50 * ms, Load: 10}}, 500, 950},
		{"refuses at once", pair, outcomes{"a": {Result: router.Refused}}, 1, 7},
		{"fails at once", pair, outcomes{"a": {Result: router.Failed, Load: -1}}, 1, 5},
		{"domain accepts", domains, outcomes{}, 1000, 1000},
		{"domain is slower", domains, outcomes{"a": {Latency: 12 * ms, Load: -1}}, 1000, 1000},
		{"domain does not answer", domains, outcomes{"a": {Latency: time.Hour}}, 1, 5},
		{"domain refuses", domains, outcomes{"a": {Result: router.Refused}, "far1": remote, "far2": remote}, 1, 7},
		{"all domains refuse", domains, outcomes{"a": refused, "far1": refused, "far2": refused}, 900, 999},
		{"domain is overloaded", domains, outcomes{"a": {Latency: 12 * ms, Load: 60}}, 1, 50},
	}
	for _, c := range cases {
		run(t, c.name, c.members, func(f *fixture) {
			f.countCalls(60, nil)
			got := f.countCalls(1000, c.given)["a"]
			t.Logf("%s: %d of 1000", c.name, got)
			f.True(got >= c.low)
			f.True(got <= c.high)
		})
	}
}

// TestNewcomer guards against a default latency that overloads or avoids a member without observations.
func TestNewcomer(t *testing.T) {
	run(t, "between known members", []wire.Member{member("a"), member("b")}, func(f *fixture) {
		f.countCalls(100, nil)
		f.members = append(f.members[:2:2], member("new"))
		got := f.countCalls(24, outcomes{"a": {Latency: time.Second}, "b": {Latency: time.Second}, "new": {Latency: time.Second}})
		t.Logf("calls %v", got)
		f.True(got["new"] >= 8 && got["new"] <= 16)
	})
	run(t, "one at a time", []wire.Member{member("a"), member("b")}, func(f *fixture) {
		f.countCalls(100, outcomes{"a": {Latency: 4 * ms}, "b": {Latency: 3 * ms}})
		f.members = append(f.members[:2:2], member("new"))
		f.True(f.countCalls(10, nil)["new"] >= 1)
	})
}

// TestRecovery guards against a formerly slow member that never gets calls again.
func TestRecovery(t *testing.T) {
	run(t, "slow for a time", []wire.Member{member("a"), member("b")}, func(f *fixture) {
		f.countCalls(100, outcomes{"a": {Latency: 100 * ms, Load: -1}})
		f.countCalls(12000, nil) // a minute
		f.True(f.countCalls(300, nil)["a"] >= 50)
	})
}

// TestEjection guards against a member that attracts calls because it fails quickly. It is ejected for 5 s, for 10 s
// after a failed probe, and returns after a successful probe or with a new process.
func TestEjection(t *testing.T) {
	cases := []struct {
		name     string
		result   router.Result
		failures int
		restart  bool
	}{
		{"five failures", router.Failed, 5, false},
		{"failed connect", router.Unreachable, 1, false},
		{"restart", router.Unreachable, 1, true},
	}
	for _, c := range cases {
		run(t, c.name, []wire.Member{member("a"), member("b"), member("bad")}, func(f *fixture) {
			f.countCalls(30, outcomes{"bad": {Latency: 100 * ms, Load: -1}}) // with this latency alone it would get few calls
			failing := outcomes{"bad": {Result: c.result, Load: -1}}
			for range c.failures {
				_, done := f.pick("a", "b")
				done(failing["bad"])
			}
			if c.restart {
				f.members = append(f.members[:2:2], member("bad", startedAgo(0)))
				f.True(f.countCalls(990, nil)["bad"] > 0)
				return
			}
			f.Equal(f.countCalls(990, failing)["bad"], 0)  // ejected for 4.95 s
			f.Equal(f.countCalls(100, failing)["bad"], 1)  // one probe
			f.Equal(f.countCalls(1900, failing)["bad"], 0) // ejected for twice as long
			f.True(f.countCalls(6000, nil)["bad"] >= 1)
			f.True(f.countCalls(300, nil)["bad"] >= 50) // fully back after 30 s
		})
	}
}

// TestManyFail guards against a service without a member to select: at most half of the members are ejected, working
// members get the calls, and a failing one is selected if there is no other.
func TestManyFail(t *testing.T) {
	var members []wire.Member
	given := make(outcomes)
	names := []string{"a", "b", "c", "d", "e", "f"}
	for _, name := range names {
		members = append(members, member(name))
		given[name] = router.Outcome{Result: router.Unreachable, Latency: ms}
	}
	run(t, "all", members, func(f *fixture) {
		f.countCalls(900, given)
		f.Equal(f.ejected.Load(), int32(3))
		time.Sleep(time.Second) // retries skip a member for this long after a failed connect
		for i := range names {
			name, _ := f.pick(slices.Delete(slices.Clone(names), i, i+1)...)
			f.Equal(name, names[i])
		}
	})
	run(t, "other domains", []wire.Member{member("a"), member("far1", inDomain("dalseo")), member("far2", inDomain("suseong"))}, func(f *fixture) {
		for range 10 {
			_, done := f.pick("a")
			done(router.Outcome{Result: router.Unreachable})
			time.Sleep(time.Second) // end of the reconnect backoff
		}
		time.Sleep(time.Minute)
		f.Equal(f.countCalls(100, nil)["a"], 100) // no probe while the local domain accepts calls
	})
	delete(given, "f")
	run(t, "all but one", members, func(f *fixture) {
		f.countCalls(50, given)
		f.True(f.countCalls(500, given)["f"] >= 490)
	})
}

// TestUnreachable guards against calls that wait for a connect to a partitioned member although another connect to it
// has just failed, and against a healed partition that goes unnoticed.
func TestUnreachable(t *testing.T) {
	members := []wire.Member{member("a"), member("far1", inDomain("dalseo")), member("far2", inDomain("suseong"))}
	run(t, "domain is partitioned", members, func(f *fixture) {
		refused := router.Outcome{Result: router.Refused, Load: 20}
		connects := 0
		for range 300 { // calls in 3 s, each refused immediately by the local domain
			tried := []string{}
			for {
				m, done, err := f.router.Pick("seller", tried)
				if err != nil {
					break
				}
				tried = append(tried, m.Name)
				if m.Name == "a" {
					done(refused)
					continue
				}
				connects++
				time.AfterFunc(300*ms, func() { done(router.Outcome{Result: router.Unreachable, Latency: 300 * ms}) })
				break
			}
			time.Sleep(10 * ms)
		}
		t.Logf("%d calls waited for a connect", connects)
		f.True(connects <= 2*(30+3)) // all until the first connects have failed, then one per member and second
		time.Sleep(2 * time.Second)
		name, done := f.pick("a") // the partition has healed
		done(router.Outcome{Latency: 4 * ms})
		again, _ := f.pick("a")
		f.Equal(again, name)
	})
}

// TestSlowStart guards against a cold member that gets its full share immediately, even if its clock is ahead.
func TestSlowStart(t *testing.T) {
	for _, skew := range []time.Duration{0, time.Hour} {
		run(t, skew.String(), []wire.Member{member("a"), member("b")}, func(f *fixture) {
			f.countCalls(100, nil)
			f.members = append(f.members[:2:2], member("cold", startedAgo(-skew)))
			first, second, third := f.countCalls(1000, nil)["cold"], f.countCalls(1000, nil)["cold"], f.countCalls(1000, nil)["cold"]
			t.Logf("calls of 1000 in 5 s each: %d, %d, %d", first, second, third)
			f.True(first > 20 && first < second && second < third && third > 250)
		})
	}
}
