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

// fixture is a router over a slice of members that the test may replace.
type fixture struct {
	*testing.T
	*is.I
	router  *router.Router
	members []wire.Member
}

func run(t *testing.T, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{T: t, I: is.New(t)}
		random := rand.New(rand.NewPCG(1, 2))
		f.router = router.New(
			router.WithMembers(func() []wire.Member { return f.members }),
			router.WithDomain("buk"),
			router.WithRandom(random.IntN),
		)
		test(f)
	})
}

// pick returns the name of a picked member and the function that ends the call.
func (f *fixture) pick(skip ...string) (string, func(router.Outcome)) {
	f.T.Helper()
	m, done, err := f.router.Pick("seller", skip)
	f.NoErr(err) // a member is picked
	return m.Name, done
}

// shares makes calls one after the other and counts them by member. answer gives the outcome for a member.
func (f *fixture) shares(calls int, answer func(name string) router.Outcome) map[string]int {
	f.T.Helper()
	counts := make(map[string]int)
	for range calls {
		name, done := f.pick()
		counts[name]++
		o := answer(name)
		time.Sleep(o.Latency)
		done(o)
	}
	return counts
}

func ok(latency time.Duration) router.Outcome {
	return router.Outcome{Kind: router.OK, Latency: latency, Load: -1}
}

// steady answers every call in the same time.
func steady(string) router.Outcome { return ok(5 * time.Millisecond) }

// TestPickSelectsReady guards against calls to members that leave, died, are not ready or serve something else.
func TestPickSelectsReady(t *testing.T) {
	cases := []struct {
		name string
		edit func(*wire.Member)
		want string
	}{
		{"left", func(m *wire.Member) { m.State = "left" }, "1 members known, 1 ready, none of these alive"},
		{"dead", func(m *wire.Member) { m.State = "dead" }, "none of these alive"},
		{"not ready", func(m *wire.Member) { m.Ready = false }, "0 ready"},
		{"other service", func(m *wire.Member) { m.Service = "stock" }, "no upstream is announced"},
		{"suspect", func(m *wire.Member) { m.State = "suspect" }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(f *fixture) {
				f.members = []wire.Member{member("a")}
				f.pick() // the index is built before the change
				f.members = []wire.Member{member("a", c.edit)}
				_, _, err := f.router.Pick("seller", nil)
				if c.want == "" {
					f.NoErr(err)
					return
				}
				f.True(errors.Is(err, router.ErrNoMember))
				f.True(strings.Contains(err.Error(), c.want)) // the text names the reason
			})
		})
	}
}

// TestPickSkips guards against a retry at a member that was tried.
func TestPickSkips(t *testing.T) {
	run(t, func(f *fixture) {
		f.members = []wire.Member{member("a"), member("b"), member("c", in("dalseo"))}
		for range 20 {
			name, _ := f.pick("a", "b")
			f.Equal(name, "c")
		}
		_, _, err := f.router.Pick("seller", []string{"a", "b", "c"})
		f.True(errors.Is(err, router.ErrNoMember))
	})
}

// TestFrozenMember guards against a member that takes calls and never answers: two stuck calls must end its share.
func TestFrozenMember(t *testing.T) {
	run(t, func(f *fixture) {
		f.members = []wire.Member{member("a"), member("b"), member("frozen")}
		f.shares(200, steady)
		stuck := 0
		for range 300 {
			name, done := f.pick()
			time.Sleep(5 * time.Millisecond)
			if name == "frozen" {
				stuck++
				continue
			}
			done(ok(5 * time.Millisecond))
		}
		f.True(stuck <= 2) // few calls get stuck
	})
}

// TestMisleadingLoad guards against reports that take a member out or send everything to it.
func TestMisleadingLoad(t *testing.T) {
	run(t, func(f *fixture) {
		f.members = []wire.Member{member("zero"), member("huge"), member("true")}
		reports := map[string]int{"zero": 0, "huge": 100000, "true": 10}
		counts := make(map[string]int)
		for range 3000 {
			name, done := f.pick()
			counts[name]++
			// Ten calls are in progress on average.
			time.AfterFunc(50*time.Millisecond, func() {
				done(router.Outcome{Kind: router.OK, Latency: 50 * time.Millisecond, Load: reports[name]})
			})
			time.Sleep(5 * time.Millisecond)
		}
		f.Logf("shares %v", counts)
		f.True(counts["true"] > 600)
		f.True(counts["huge"] > 5)
	})
}

// TestLocality guards against crossing failure domains without need, and against keeping calls in an overloaded one.
func TestLocality(t *testing.T) {
	cases := []struct {
		name  string
		local func(i int) router.Outcome
		low   int // bounds of the local share in 300 calls
		high  int
	}{
		{"local accepts", func(int) router.Outcome { return ok(5 * time.Millisecond) }, 300, 300},
		{"local is slower", func(int) router.Outcome { return ok(20 * time.Millisecond) }, 290, 300},
		{"local rejects", func(int) router.Outcome { return router.Outcome{Kind: router.Rejected, Load: 40} }, 1, 30},
		{"local is overloaded", func(int) router.Outcome {
			return router.Outcome{Kind: router.OK, Latency: 20 * time.Millisecond, Load: 60}
		}, 1, 60},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(f *fixture) {
				f.members = []wire.Member{member("near"), member("far1", in("dalseo")), member("far2", in("suseong"))}
				i := 0
				counts := f.shares(300, func(name string) router.Outcome {
					i++
					if name == "near" {
						return c.local(i)
					}
					return ok(6 * time.Millisecond)
				})
				f.Logf("shares %v", counts)
				f.True(counts["near"] >= c.low)
				f.True(counts["near"] <= c.high)
			})
		})
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
		t.Run(c.name, func(t *testing.T) {
			run(t, func(f *fixture) {
				f.members = []wire.Member{member("a"), member("b"), member("bad")}
				f.shares(30, steady)
				broken := true
				answer := func(name string) router.Outcome {
					if name == "bad" && broken {
						return router.Outcome{Kind: c.kind, Load: -1}
					}
					return ok(5 * time.Millisecond)
				}
				for range c.failures {
					_, done := f.pick("a", "b")
					done(answer("bad"))
				}
				f.Equal(f.shares(990, answer)["bad"], 0)  // ejected for 4.95 s
				f.Equal(f.shares(100, answer)["bad"], 1)  // one trial
				f.Equal(f.shares(1900, answer)["bad"], 0) // ejected for twice as long
				broken = false
				f.shares(100, answer)
				f.True(f.shares(300, answer)["bad"] >= 50) // back
			})
		})
	}
}

// TestAllFail guards against a service without any member to try: at most half are ejected, and the least bad one
// takes the call if the others were tried.
func TestAllFail(t *testing.T) {
	run(t, func(f *fixture) {
		f.members = []wire.Member{member("a"), member("b"), member("c"), member("d")}
		counts := f.shares(400, func(string) router.Outcome {
			return router.Outcome{Kind: router.Unreachable, Latency: time.Millisecond}
		})
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
	})
}

// TestSlowStart guards against a cold member that gets a full share at once, also if its clock is ahead.
func TestSlowStart(t *testing.T) {
	for _, skew := range []time.Duration{0, time.Hour} {
		t.Run(skew.String(), func(t *testing.T) {
			run(t, func(f *fixture) {
				f.members = []wire.Member{member("a"), member("b")}
				f.shares(100, steady)
				cold := member("cold", func(m *wire.Member) { m.Since = time.Now().Add(skew).UnixMilli() })
				f.members = []wire.Member{member("a"), member("b"), cold}
				var ramp []int
				for range 3 {
					ramp = append(ramp, f.shares(1000, steady)["cold"]) // 5 s each
				}
				f.Logf("shares of 1000 calls: %v", ramp)
				f.True(ramp[0] > 20)
				f.True(ramp[0] < ramp[1] && ramp[1] < ramp[2])
				f.True(ramp[2] > 250)
			})
		})
	}
}
