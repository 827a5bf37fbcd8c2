package dispatcher_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/authorizer"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/dispatcher"
	"bluebellhoist/daemon/spender"
)

// limited is a dispatcher with two members and a tenant with a limit. Tokens are taken from a script of errors.
type limited struct {
	*dispatcher.Dispatcher
	errs    []error
	taken   []spender.Limit
	used    []bool // tokens that ended, by whether they were used
	results []deliverer.Result
	sent    int
}

func newLimited(t *testing.T, rate float64, errs []error, results ...deliverer.Result) *limited {
	t.Helper()
	l := &limited{errs: errs, results: results}
	public := oneRoute(true, 2)[0]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	batch := wire.Batch{
		Name: "m", Version: 3, Until: 1 << 50, Routes: compiler.SortRoutes(append(oneRoute(true, 2), public)), Salt: compiler.NewSalt(),
		Auth: true, Services: []wire.Service{{Name: "a", Class: compiler.Normal, Limit: time.Second}},
	}
	batch.Tenants = []wire.Tenant{{
		Name: "alfa", Keys: [][]byte{compiler.HashDigest(batch.Salt, compiler.DigestKey("k"))}, Rate: rate, Burst: 7, Mod: 2,
	}}
	sum, err := compiler.Checksum(batch)
	is.New(t).NoErr(err)
	s, err := compiler.New(batch, sum)
	is.New(t).NoErr(err)
	snapshot := func() *compiler.Snapshot { return s }
	l.Dispatcher = dispatcher.New(
		dispatcher.WithSnapshot(snapshot),
		dispatcher.WithAuthorizer(authorizer.New(authorizer.WithSnapshot(snapshot))),
		dispatcher.WithPick(func(service string, skip []string) (wire.Member, func(dispatcher.Outcome), error) {
			if len(skip) == len(l.results) {
				return wire.Member{}, nil, errors.New("no member")
			}
			return wire.Member{Name: "self", Service: service}, func(dispatcher.Outcome) {}, nil
		}),
		dispatcher.WithLocalDelivery("self", func(context.Context, deliverer.Call) deliverer.Result {
			l.sent++
			return l.results[l.sent-1]
		}),
		dispatcher.WithQuota(l.take),
	)
	return l
}

func (l *limited) take(_ context.Context, tenant string, limit spender.Limit) (func(bool), error) {
	err := l.errs[len(l.taken)]
	l.taken = append(l.taken, limit)
	if err != nil || tenant != "alfa" {
		return nil, err
	}
	return func(used bool) { l.used = append(l.used, used) }, nil
}

func (l *limited) call(t *testing.T, target string) *courier.Answer {
	return l.Handle(t.Context(), newKeyedRequest(target, "k"))
}

// TestQuota guards against calls that are sent without a token, tokens that are lost or counted twice, and refusals that do not
// say when to call again or that are given to calls which may have run.
func TestQuota(t *testing.T) {
	over := &spender.OverLimitError{Wait: 250*time.Millisecond + 1}
	for _, c := range []struct {
		name       string
		errs       []error
		results    []deliverer.Result
		status     int
		retryAfter string
		used       []bool
		sent       int
	}{
		{"token", []error{nil}, []deliverer.Result{answered}, 200, "", []bool{true}, 1},
		{"over the limit", []error{over}, []deliverer.Result{answered}, 429, "0.251", nil, 0},
		{"no controller", []error{spender.ErrUnavailable}, []deliverer.Result{answered}, 503, "0.500", nil, 0},
		{"no member", []error{nil}, nil, 503, "1.000", []bool{false}, 0},
		{"refused by all members", []error{nil}, []deliverer.Result{refusedByDaemon, refusedByDaemon}, 503, "1.000", []bool{false}, 2},
		{"sent by the second member", []error{nil}, []deliverer.Result{refusedByDaemon, answered}, 200, "", []bool{true}, 2},
		{"retry", []error{nil, nil}, []deliverer.Result{unknown, answered}, 200, "", []bool{true, true}, 2},
		{"retry over the limit", []error{nil, over}, []deliverer.Result{unknown, answered}, 502, "", []bool{true}, 1},
		{"retry without controller", []error{nil, spender.ErrUnavailable}, []deliverer.Result{unknown, answered}, 502, "", []bool{true}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLimited(t, 5, c.errs, c.results...)
			answer := l.call(t, "/r/x")
			is.Equal(answer.Status, c.status)
			is.Equal(answer.Header.Get("Retry-After"), c.retryAfter)
			is.Equal(l.used, c.used)
			is.Equal(l.sent, c.sent)
			is.Equal(len(l.taken), len(c.errs))
			is.Equal(l.taken[0], spender.Limit{Rate: 5, Burst: 7, Mod: 2})
			if c.status == http.StatusTooManyRequests {
				is.Equal(answer.Header.Get(courier.HeaderOutcome), string(deliverer.NotRun))
			}
		})
	}
}

// TestNoQuota guards against tokens for calls that need none: on public routes, and of tenants without a limit.
func TestNoQuota(t *testing.T) {
	for _, c := range []struct {
		rate   float64
		target string
	}{{5, "/public/x"}, {0, "/r/x"}} {
		is := is.New(t)
		l := newLimited(t, c.rate, nil, answered)
		is.Equal(l.call(t, c.target).Status, http.StatusOK)
		is.Equal(len(l.taken), 0)
	}
}
