package forwarder_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/forwarder"
)

// budget is a fake retry budget that all members share. It records the arrivals that it admits.
type budget struct {
	mu          sync.Mutex
	spent       bool // no retry is admitted
	spentLate   bool // no retry is admitted once it has a slot
	arrivals    []budgeter.Arrival
	sent        int
	nestedCalls []string // run, whether it is a retry, and service
}

func (b *budget) functions() forwarder.Budget {
	return forwarder.Budget{StartNestedCall: b.startNestedCall, Check: b.check, Begin: b.begin}
}

func (b *budget) startNestedCall(parentID string, ofRetry bool, service string) (budgeter.Kind, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nestedCalls = append(b.nestedCalls, fmt.Sprint(parentID, " ", ofRetry, " ", service))
	switch {
	case ofRetry && b.spent:
		return budgeter.Caused, budgeter.ErrSpent
	case ofRetry:
		return budgeter.Caused, nil
	}
	return budgeter.Nested, nil
}

func (b *budget) check(a budgeter.Arrival) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent && a.Kind == budgeter.Retry {
		return budgeter.ErrSpent
	}
	return nil
}

func (b *budget) begin(a budgeter.Arrival) (end func(sent bool), err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spentLate && a.Kind == budgeter.Retry {
		return nil, budgeter.ErrSpent
	}
	b.arrivals = append(b.arrivals, a)
	return func(sent bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if sent {
			b.sent++
		}
	}, nil
}

// kinds returns the kinds of the admitted arrivals.
func (b *budget) kinds() (kinds []budgeter.Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.arrivals {
		kinds = append(kinds, a.Kind)
	}
	return kinds
}

// breakFirst returns an upstream handler that breaks off its first runs.
func breakFirst(runs int) http.HandlerFunc {
	var mu sync.Mutex
	return func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if runs--; runs >= 0 {
			panic(http.ErrAbortHandler)
		}
	}
}

// TestArrivalKinds guards against arrivals beyond the first of a call that the retry budget does not count.
func TestArrivalKinds(t *testing.T) {
	first, retry, nested, caused := budgeter.First, budgeter.Retry, budgeter.Nested, budgeter.Caused
	for _, c := range []struct {
		name   string
		header []string
		broken int // runs that break off
		want   []budgeter.Kind
		calls  []string
	}{
		{"answered", nil, 0, []budgeter.Kind{first}, nil},
		{"sent again", nil, 2, []budgeter.Kind{first, retry, retry}, nil},
		{"of a first run", []string{"Bluebell-Attempt", "p"}, 1, []budgeter.Kind{nested, retry}, []string{"p false stock"}},
		{"of a run that began late", []string{"Bluebell-Attempt", "p", "Bluebell-Arrival", "first;100"}, 0, []budgeter.Kind{nested}, []string{"p false stock"}},
		{"of the run of a retry", []string{"Bluebell-Attempt", "p", "Bluebell-Arrival", "retry;100"}, 1, []budgeter.Kind{caused, retry}, []string{"p true stock"}},
	} {
		run(t, c.name, 3, func(m *mesh) {
			m.upstream(breakFirst(c.broken))
			resp, _, err := m.call("GET", "stock", "", c.header...)
			m.expect(resp, err, 200, "")
			m.is.Equal(m.budget.kinds(), c.want)
			m.is.Equal(m.budget.nestedCalls, c.calls)
			m.is.Equal(m.budget.sent, len(c.want))
		})
	}
	run(t, "hedge", 2, func(m *mesh) {
		var runs atomic.Int32
		m.upstream(func(_ http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 1 {
				<-r.Context().Done()
			}
		})
		resp, _, err := m.call("GET", "stock", "")
		m.expect(resp, err, 200, "")
		m.is.Equal(m.budget.kinds(), []budgeter.Kind{first, retry})
	})
	run(t, "upstream out of reach", 1, func(m *mesh) {
		resp, _, err := m.call("GET", "stock", "")
		m.expect(resp, err, 503, "not-run")
		m.is.Equal(m.budget.kinds(), []budgeter.Kind{first})
		m.is.Equal(m.budget.sent, 0)
	})
	run(t, "malformed", 1, func(m *mesh) {
		resp, _, err := m.call("GET", "stock", "", "Bluebell-Attempt", "p", "Bluebell-Arrival", "x")
		m.expect(resp, err, 400, "not-run")
	})
}

// TestOverBudget guards against retries that reach an upstream although the retry budget is spent, against a call that may
// have run and is told not to have run, and against claims that stay with an attempt that was not sent.
func TestOverBudget(t *testing.T) {
	for _, c := range []struct {
		name string
		late bool
	}{
		{"before the slot", false},
		{"with a slot", true},
	} {
		run(t, c.name, 3, func(m *mesh) {
			m.budget.spent, m.budget.spentLate = !c.late, c.late
			m.upstream(breakFirst(9))
			resp, _, err := m.call("PUT", "stock", "")
			m.expect(resp, err, 502, "unknown")
			m.is.Equal(m.budget.kinds(), []budgeter.Kind{budgeter.First})
			m.is.Equal(resp.Header.Get(forwarder.HeaderOverBudget), "")
			m.is.True(!slices.ContainsFunc(m.routerOutcomes, func(o forwarder.Outcome) bool { return o.Result == forwarder.Refused }))
		})
	}
	run(t, "with a claim", 0, func(m *mesh) {
		m.service, m.budget.spentLate = "payout", true
		m.addMember(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		m.addMember(m.newIngress().Ingress())
		resp, _, err := m.call("POST", "payout", "", "Idempotency-Key", newKey(bubbleStart))
		m.expect(resp, err, 502, "unknown")
		m.is.Equal(len(m.claims.grants), 0)
	})
	run(t, "call of a retried run", 3, func(m *mesh) {
		m.budget.spent = true
		resp, _, err := m.call("GET", "stock", "", "Bluebell-Attempt", "p", "Bluebell-Arrival", "retry;1")
		m.expect(resp, err, 503, "not-run")
		m.is.Equal(len(m.budget.kinds()), 0)
	})
}
