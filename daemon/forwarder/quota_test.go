package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/daemon/forwarder"
	"bluebellhoist/daemon/spender"
)

// tokens gives tokens to service calls until its script of errors says otherwise.
type tokens struct {
	errs  []error
	taken int
	used  []bool // tokens that ended, by whether they were used
}

func (k *tokens) take(context.Context, string, spender.Limit) (func(bool), error) {
	k.taken++
	if err := k.errs[k.taken-1]; err != nil {
		return nil, err
	}
	return func(used bool) { k.used = append(k.used, used) }, nil
}

// limitTenant makes the tenant of the mesh one with a limit, whose tokens come from a script.
func (m *mesh) limitTenant(errs ...error) *tokens {
	batch := tenantSnapshot(m.t, "k").Batch()
	batch.Tenants[0].Rate, batch.Tenants[0].Burst = 5, 5
	sum, err := compiler.Checksum(batch)
	m.is.NoErr(err)
	m.snapshot, err = compiler.New(batch, sum)
	m.is.NoErr(err)
	m.authorizeBy(func() bool { return true })
	k := &tokens{errs: errs}
	forwarder.WithQuota(k.take)(m.egress)
	return k
}

// TestQuota guards against service calls that are sent without a token, tokens that are lost, and refusals that do not say when to
// call again or that promise that an attempt has not run although it may have.
func TestQuota(t *testing.T) {
	over := &spender.OverLimitError{Wait: 250*time.Millisecond + 1}
	for _, c := range []struct {
		name       string
		errs       []error
		status     int
		retryAfter string
	}{
		{"token", []error{nil}, 200, ""},
		{"over the limit", []error{over}, 429, "0.251"},
		{"no controller", []error{spender.ErrUnavailable}, 503, "0.500"},
	} {
		run(t, c.name, 1, func(m *mesh) {
			k := m.limitTenant(c.errs...)
			m.upstream(func(http.ResponseWriter, *http.Request) {})
			resp, _, err := m.call("PUT", "stock", "body", "Authorization", "Token k")
			if c.status == http.StatusOK {
				m.expect(resp, err, 200, "")
				m.is.Equal(k.used, []bool{true})
				return
			}
			m.expect(resp, err, c.status, "not-run")
			m.is.Equal(resp.Header.Get("Retry-After"), c.retryAfter)
			m.is.Equal(m.picks, 0)
		})
	}
	run(t, "not sent", 1, func(m *mesh) {
		k := m.limitTenant(nil, nil)
		resp, _, err := m.call("PUT", "stock", "body", "Authorization", "Token k")
		m.expect(resp, err, 503, "not-run")
		m.is.Equal(k.used, []bool{false})
	})
	run(t, "retry over the limit", 3, func(m *mesh) {
		k := m.limitTenant(nil, over)
		m.rawUpstream(func(conn net.Conn) { readRequest(conn) })
		resp, _, err := m.call("PUT", "stock", "body", "Authorization", "Token k")
		m.expect(resp, err, 502, "unknown")
		m.is.Equal(k.used, []bool{true})
	})
}
