package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/authorizer"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/forwarder"
)

// tenantSnapshot returns a configuration in which calls to stock need one of the keys, and those to archive need none.
func tenantSnapshot(t testing.TB, keys ...string) *compiler.Snapshot {
	batch := snapshot(t, time.Now().Add(time.Hour)).Batch()
	batch.Routes = []wire.Route{{Name: "r", Host: "h", Prefix: "/", Attempts: 1, Public: true, Parts: []wire.Part{{Service: "archive", Weight: 1}}}}
	batch.Salt, batch.Auth = compiler.NewSalt(), true
	for _, key := range keys {
		hash := compiler.HashDigest(batch.Salt, compiler.DigestKey(key))
		batch.Tenants = append(batch.Tenants, wire.Tenant{Name: "tenant-" + key, Keys: [][]byte{hash}})
	}
	sum, err := compiler.Checksum(batch)
	is.New(t).NoErr(err)
	s, err := compiler.New(batch, sum)
	is.New(t).NoErr(err)
	return s
}

// authorizeBy makes the egress side of the mesh use an authorizer with the mesh's configuration.
func (m *mesh) authorizeBy(proven func() bool) {
	m.authorizeWith(authorizer.WithProof(func() bool { return true }, proven))
}

// authorizeWith does the same with an authorizer that has further options.
func (m *mesh) authorizeWith(opts ...authorizer.Option) {
	current := func() *compiler.Snapshot { return m.snapshot }
	forwarder.WithAuthorizer(authorizer.New(append(opts, authorizer.WithSnapshot(current))...))(m.egress)
}

// TestKeys guards against service calls that are sent without a key or a proof, upstreams that get a key, and callers that
// choose their tenant.
func TestKeys(t *testing.T) {
	tenantHeader := courier.DefaultHeaderNames().Tenant
	for _, c := range []struct {
		name, service, key string
		unproven, open     bool
		status             int
		tenant, passedKey  string
		noProofs           bool // the settings call for no proofs
	}{
		{name: "key", service: "stock", key: "k", status: 200, tenant: "tenant-k"},
		{name: "no key", service: "stock", status: 401},
		{name: "unknown key", service: "stock", key: "l", status: 401},
		{name: "no proof", service: "stock", key: "k", unproven: true, status: 503},
		{name: "public", service: "archive", unproven: true, status: 200},
		{name: "public with key", service: "archive", key: "k", status: 200},
		{name: "public with key, no proof", service: "archive", key: "k", unproven: true, status: 503},
		{name: "no tenants", service: "stock", key: "k", open: true, status: 200},
		{name: "no tenants, no proof", service: "stock", key: "k", unproven: true, open: true, status: 503},
		{name: "no tenants, no key and no proof", service: "stock", unproven: true, open: true, status: 200},
		{name: "no tenants, no proofs needed", service: "stock", key: "k", noProofs: true, open: true, status: 200, passedKey: "Token k"},
	} {
		run(t, c.name, 1, func(m *mesh) {
			m.service = c.service
			if !c.open {
				m.snapshot = tenantSnapshot(m.t, "k")
			}
			m.authorizeWith(authorizer.WithProof(func() bool { return !c.noProofs }, func() bool { return !c.unproven }))
			var got *http.Request
			m.upstream(func(_ http.ResponseWriter, r *http.Request) { got = r })
			headers := []string{tenantHeader, "forged"}
			if c.key != "" {
				headers = append(headers, "Authorization", "Token "+c.key)
			}
			resp, _, err := m.call("GET", c.service, "", headers...)
			if c.status != http.StatusOK {
				m.expect(resp, err, c.status, "not-run")
				m.is.Equal(resp.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
				m.is.Equal(m.picks, 0)
				return
			}
			m.expect(resp, err, c.status, "")
			m.is.Equal(got.Header.Get(tenantHeader), c.tenant)
			m.is.Equal(got.Header.Get("Authorization"), c.passedKey)
		})
	}
}

// TestTenantTrailer guards against a caller that chooses its tenant, or passes on its key, in a trailer.
func TestTenantTrailer(t *testing.T) {
	tenantHeader := courier.DefaultHeaderNames().Tenant
	for name, body := range map[string]string{"buffered": "body", "streamed": strings.Repeat("x", 200<<10)} {
		run(t, name, 1, func(m *mesh) {
			m.snapshot = tenantSnapshot(m.t, "k")
			m.authorizeBy(func() bool { return true })
			var got *http.Request
			m.upstream(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				got = r
			})
			req, err := http.NewRequest("POST", "http://stock/", strings.NewReader(body))
			m.is.NoErr(err)
			req.ContentLength = -1
			req.Header.Set("Authorization", "Token k")
			req.Trailer = http.Header{"Check": {"7"}, tenantHeader: {"forged"}, "Authorization": {"Token k"}}
			resp, err := m.client.Do(req)
			m.expect(resp, err, 200, "")
			m.is.Equal(got.Header.Get(tenantHeader), "tenant-k")
			m.is.Equal(got.Trailer, http.Header{"Check": {"7"}})
		})
	}
}

// TestKeyRemovedInFlight guards against an attempt that is sent after the key was removed, and against an answer that promises
// that no attempt has run although one may have.
func TestKeyRemovedInFlight(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  string // of the upstream to the first attempt, which removes the key
		status  int
		outcome string
	}{
		{"after an unknown outcome", "", 502, "unknown"},
		{"after an answer", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, ""},
	} {
		run(t, c.name, 3, func(m *mesh) {
			m.snapshot = tenantSnapshot(m.t, "k")
			without := tenantSnapshot(m.t, "l")
			m.authorizeBy(func() bool { return true })
			runs := 0
			m.rawUpstream(func(conn net.Conn) {
				if readRequest(conn) {
					runs++
					m.snapshot = without
					_, _ = io.WriteString(conn, c.answer)
				}
			})
			resp, _, err := m.call("PUT", "stock", "body", "Authorization", "Token k")
			m.expect(resp, err, c.status, c.outcome)
			m.is.Equal(runs, 1)
			resp, _, err = m.call("PUT", "stock", "body", "Authorization", "Token k")
			m.expect(resp, err, 401, "not-run")
			m.is.Equal(runs, 1)
		})
	}
}
