package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/dispatcher"
)

// fixture is a dispatcher whose members return scripted results, in order.
type fixture struct {
	*dispatcher.Dispatcher
	results      []deliverer.Result
	calls        []deliverer.Call
	startedCalls []string // IDs
	startErr     error
}

func newFixture(t *testing.T, routes []wire.Route, results ...deliverer.Result) *fixture {
	t.Helper()
	f := &fixture{results: results}
	snapshot := newSnapshot(t, routes)
	f.Dispatcher = dispatcher.New(
		dispatcher.WithSnapshot(func() *compiler.Snapshot { return snapshot }),
		dispatcher.WithPick(func(service string, _ []string) (wire.Member, func(dispatcher.Outcome), error) {
			if len(f.calls) == len(f.results) {
				return wire.Member{}, nil, errors.New("no member")
			}
			return wire.Member{Name: "self", Service: service}, func(dispatcher.Outcome) {}, nil
		}),
		dispatcher.WithLocalDelivery("self", func(_ context.Context, c deliverer.Call) deliverer.Result {
			f.calls = append(f.calls, c)
			return f.results[len(f.calls)-1]
		}),
		dispatcher.WithStartCall(func(id, _ string) (budgeter.Kind, error) {
			f.startedCalls = append(f.startedCalls, id)
			return budgeter.Nested, f.startErr
		}),
		dispatcher.WithCallerService(func() string { return "own" }),
	)
	return f
}

func newSnapshot(t *testing.T, routes []wire.Route) *compiler.Snapshot {
	t.Helper()
	batch := wire.Batch{Name: "m", Version: 1, Until: 1 << 50, Routes: compiler.SortRoutes(routes), Services: []wire.Service{
		{Name: "a", Class: compiler.Normal, Limit: time.Second}, {Name: "b", Class: compiler.Normal, Limit: time.Second},
	}}
	sum, err := compiler.Checksum(batch)
	if err != nil {
		t.Fatal(err)
	}
	s, err := compiler.New(batch, sum)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func oneRoute(repeatable bool, attempts int) []wire.Route {
	return []wire.Route{{
		Name: "r", Host: "h", Prefix: "/r/", Retryable: repeatable, Attempts: attempts, Timeout: time.Minute,
		Parts: []wire.Part{{Service: "a", Weight: 1}},
	}}
}

func newRequest(target string) *courier.Request {
	return &courier.Request{Method: http.MethodGet, Target: target, Host: "h:80", Header: http.Header{}}
}

var (
	answered          = deliverer.Result{Outcome: deliverer.Answered, Sent: true, Answer: &courier.Answer{Status: 200, Header: http.Header{}}}
	failed            = deliverer.Result{Outcome: deliverer.Answered, Sent: true, Answer: &courier.Answer{Status: 500, Header: http.Header{}}}
	unknown           = deliverer.Result{Outcome: deliverer.Unknown, Sent: true}
	refusedByUpstream = deliverer.Result{Outcome: deliverer.NotRun, Sent: true}
	refusedByDaemon   = deliverer.Result{Outcome: deliverer.NotRun}
	overBudget        = deliverer.Result{Outcome: deliverer.NotRun, OverBudget: true}
)

// TestAttempts guards against calls that run twice although they must not, calls that fail although another member could
// take them, and 503 answers to calls that may have run.
func TestAttempts(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		results    []deliverer.Result
		sends      int
		status     int
	}{
		{"answer", false, []deliverer.Result{answered}, 1, 200},
		{"once, unknown", false, []deliverer.Result{unknown, answered}, 1, 502},
		{"once, failed", false, []deliverer.Result{failed, answered}, 1, 500},
		{"once, refused by the upstream", false, []deliverer.Result{refusedByUpstream, answered}, 2, 200},
		{"once, refused by daemons", false, []deliverer.Result{refusedByDaemon, refusedByDaemon, answered}, 3, 200},
		{"once, refused by all", false, []deliverer.Result{refusedByDaemon, refusedByDaemon}, 2, 503},
		{"once, refused by the upstream, then unknown", false, []deliverer.Result{refusedByUpstream, unknown}, 2, 502},
		{"repeatable, unknown", true, []deliverer.Result{unknown, answered}, 2, 200},
		{"repeatable, failed", true, []deliverer.Result{failed, answered}, 2, 200},
		{"repeatable, failed twice", true, []deliverer.Result{failed, failed, answered}, 2, 500},
		{"repeatable, failed, then refused", true, []deliverer.Result{failed, refusedByDaemon}, 2, 500},
		{"repeatable, no budget", true, []deliverer.Result{unknown, overBudget, overBudget, answered}, 3, 502},
		{"once, refused by the upstream, no budget", false, []deliverer.Result{refusedByUpstream, overBudget, overBudget, answered}, 3, 503},
		{"repeatable, no budget at one member", true, []deliverer.Result{unknown, overBudget, answered}, 3, 200},
		{"repeatable, unknown, then refused", true, []deliverer.Result{unknown, refusedByDaemon}, 2, 502},
		{"no member", true, nil, 0, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, oneRoute(c.repeatable, 2), c.results...)
			answer := f.Handle(context.Background(), newRequest("/r/x"))
			is.Equal(answer.Status, c.status)
			is.Equal(len(f.calls), c.sends)
			is.Equal(len(f.startedCalls), 1)
			checkKinds(is, f.calls, c.results)
			mayHaveRun := slices.ContainsFunc(c.results[:c.sends], func(r deliverer.Result) bool { return r.Outcome != deliverer.NotRun })
			is.True(answer.Status != http.StatusServiceUnavailable || !mayHaveRun)
			is.Equal(answer.Header.Get("Retry-After") != "", answer.Status == http.StatusServiceUnavailable)
		})
	}
}

// checkKinds checks that the attempts after the first arrival at an upstream are retries, and no others.
func checkKinds(is *is.I, calls []deliverer.Call, results []deliverer.Result) {
	is.Helper()
	arrived := false
	for i, c := range calls {
		is.Equal(c.Kind == budgeter.Retry, arrived)
		arrived = arrived || results[i].Sent
	}
}

// TestNestedOverBudget guards against calls of a retried run that reach an upstream although the retry budget forbids it.
func TestNestedOverBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, oneRoute(true, 2), answered)
	f.startErr = budgeter.ErrSpent
	r := newRequest("/r/x")
	r.Header.Set("Bluebell-Attempt", "parent.1")
	answer := f.Handle(context.Background(), r)
	is.Equal(answer.Status, http.StatusServiceUnavailable)
	is.Equal(len(f.calls), 0)
	is.Equal(f.startedCalls, []string{"parent.1"})
}

// TestLateRepeat guards against retries that are refused immediately because the lost attempt has used up the target.
func TestLateRepeat(t *testing.T) {
	is := is.New(t)
	routes := oneRoute(true, 2)
	routes[0].Target = time.Second
	f := newFixture(t, routes, refusedByDaemon, unknown, answered)
	is.Equal(f.Handle(context.Background(), newRequest("/r/x")).Status, http.StatusOK)
	is.True(!f.calls[0].Target.IsZero())
	is.True(!f.calls[1].Target.IsZero()) // no upstream was sent the call yet
	is.True(f.calls[2].Target.IsZero())
}

// TestRefusals guards against a 404 while the configuration is unknown, and against calls on routes that do not exist.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, oneRoute(true, 1), answered)
	is.Equal(f.Handle(context.Background(), newRequest("/other")).Status, http.StatusNotFound)
	is.Equal(len(f.calls), 0)
	empty := dispatcher.New(dispatcher.WithSnapshot(func() *compiler.Snapshot { return nil }))
	is.Equal(empty.Handle(context.Background(), newRequest("/r/")).Status, http.StatusServiceUnavailable)
}

// TestOrder guards against callers that set their own identity, their target, or a deadline beyond that of the route.
func TestOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, oneRoute(false, 1), answered)
	r := newRequest("/r/x")
	names := courier.DefaultHeaderNames()
	r.Header.Set(names.Deadline, "3600000")
	r.Header.Set(names.Target, "i")
	r.Header.Set(names.Caller, "somebody")
	r.Header.Set("Bluebell-Order", "x")
	r.Header.Set("Kept", "k")
	f.Handle(context.Background(), r)
	c := f.calls[0]
	is.True(time.Until(c.Deadline) <= time.Minute)
	is.Equal(c.Request.Header, http.Header{names.Caller: {"own"}, "Kept": {"k"}})
	is.True(!c.Retryable)
}

// TestShare guards against services of a route that get more or fewer calls than their weight over a short time.
func TestShare(t *testing.T) {
	is := is.New(t)
	routes := oneRoute(true, 1)
	routes[0].Parts = []wire.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	var results []deliverer.Result
	for range 50 {
		results = append(results, answered)
	}
	f := newFixture(t, routes, results...)
	got := map[string]int{}
	for i := range 50 {
		f.Handle(context.Background(), newRequest(fmt.Sprint("/r/", i)))
		got[f.calls[i].Service]++
	}
	is.Equal(got, map[string]int{"a": 45, "b": 5})
}

// TestLargeWeights guards against services that get no calls, or all of them, because the sum of the weights overflows.
func TestLargeWeights(t *testing.T) {
	for _, c := range []struct {
		name    string
		weights []int
		want    map[string]int
	}{
		{"two of the largest", []int{math.MaxInt, math.MaxInt}, map[string]int{"a": 20, "b": 20}},
		{"four whose sum is zero", []int{1 << 62, 1 << 62, 1 << 62, 1 << 62}, map[string]int{"a": 20, "b": 20}},
		{"unequal", []int{1 << 62, 1 << 61, 1 << 61}, map[string]int{"a": 30, "b": 10}},
	} {
		t.Run(c.name, func(t *testing.T) {
			routes := oneRoute(true, 1)
			routes[0].Parts = nil
			for i, weight := range c.weights {
				routes[0].Parts = append(routes[0].Parts, wire.Part{Service: string(rune('a' + i%2)), Weight: weight})
			}
			f := newFixture(t, routes, slices.Repeat([]deliverer.Result{answered}, 40)...)
			got := map[string]int{}
			for i := range 40 {
				f.Handle(t.Context(), newRequest(fmt.Sprint("/r/", i)))
				got[f.calls[i].Service]++
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// TestHold guards against calls that are refused shortly after startup although the configuration or a member is about
// to arrive, and against calls that wait for these on a partitioned daemon.
func TestHold(t *testing.T) {
	const soon = 200 * time.Millisecond
	for _, tt := range []struct {
		name           string
		age            time.Duration // of the daemon
		config, member time.Duration // when they become known, after the arrival of the call
		status         int
		took           time.Duration
	}{
		{"both known", 0, 0, 0, http.StatusOK, 0},
		{"configuration arrives", 0, soon, 0, http.StatusOK, soon},
		{"member arrives", 0, 0, soon, http.StatusOK, soon},
		{"configuration too late", 0, time.Second, 0, http.StatusServiceUnavailable, 250 * time.Millisecond},
		{"member too late", 0, soon, 2 * soon, http.StatusServiceUnavailable, 250 * time.Millisecond},
		{"no configuration for long", time.Minute, soon, 0, http.StatusServiceUnavailable, 0},
		{"no member for long", time.Minute, 0, soon, http.StatusServiceUnavailable, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				snapshot := newSnapshot(t, oneRoute(true, 1))
				var began time.Time
				d := dispatcher.New(
					dispatcher.WithSnapshot(func() *compiler.Snapshot {
						if time.Since(began) < tt.config {
							return nil
						}
						return snapshot
					}),
					dispatcher.WithPick(func(string, []string) (wire.Member, func(dispatcher.Outcome), error) {
						if time.Since(began) < tt.member {
							return wire.Member{}, nil, errors.New("no member")
						}
						return wire.Member{Name: "self"}, func(dispatcher.Outcome) {}, nil
					}),
					dispatcher.WithLocalDelivery("self", func(context.Context, deliverer.Call) deliverer.Result { return answered }),
				)
				time.Sleep(tt.age)
				began = time.Now()
				r := newRequest("/r/x")
				r.Header.Set(courier.DefaultHeaderNames().Deadline, "1000")
				answer := d.Handle(context.Background(), r)
				is.Equal(answer.Status, tt.status)
				took := time.Since(began)
				is.True(took >= tt.took && took <= tt.took+20*time.Millisecond) // the poll interval
				is.Equal(answer.Header.Get("Retry-After") != "", tt.status == http.StatusServiceUnavailable)
			})
		})
	}
}

// TestWaited guards against retrying callers that are taken for new ones, and against new callers that are taken for
// retrying ones because a few others on the route wait longer.
func TestWaited(t *testing.T) {
	const target, usualTimeout = 300 * time.Millisecond, 800 * time.Millisecond
	for _, tt := range []struct {
		name        string
		outlier     time.Duration // timeout of every twentieth of the earlier callers
		lastTimeout time.Duration // timeout of the last caller
		left        time.Duration // time until the target of the last call
	}{
		{"new", usualTimeout, usualTimeout, target},
		{"a little less than others", usualTimeout, 690 * time.Millisecond, target},
		{"retries", usualTimeout, 640 * time.Millisecond, 140 * time.Millisecond},
		{"retries after its target", usualTimeout, 480 * time.Millisecond, -20 * time.Millisecond},
		{"new beside some that wait for an hour", time.Hour, usualTimeout, target},
		{"new beside some that retry", usualTimeout / 2, usualTimeout, target},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				routes := oneRoute(true, 1)
				routes[0].Target = target
				f := newFixture(t, routes, slices.Repeat([]deliverer.Result{answered}, 201)...)
				send := func(wait time.Duration) {
					r := newRequest("/r/x")
					r.Header.Set(courier.DefaultHeaderNames().Deadline, strconv.FormatInt(wait.Milliseconds(), 10))
					f.Handle(context.Background(), r)
				}
				for i := range 200 {
					if i%20 == 0 {
						send(tt.outlier)
						continue
					}
					send(usualTimeout)
				}
				send(tt.lastTimeout)
				last := f.calls[len(f.calls)-1]
				const margin = 20 * time.Millisecond // tolerance of the estimated usual timeout
				deviation := time.Until(last.Target) - tt.left
				is.True(deviation >= -margin && deviation <= margin)
				is.Equal(last.CallerRetry, tt.left != target)
			})
		})
	}
}
