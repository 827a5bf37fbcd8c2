package forwarder

import (
	"errors"
	"net/http"
	"strconv"

	"bluebellhoist/core/compiler"
	"bluebellhoist/daemon/authorizer"
)

// proofRetryAfterSeconds is the time after which a caller that was refused for want of a proof is told to retry.
const proofRetryAfterSeconds = 1

// authorize decides which tenant a call belongs to, and returns the response that refuses it if it must not be sent. A service
// that a public route leads to needs no key, since its upstreams also get calls without one through the route.
func (d *delivery) authorize() *answer {
	d.credentials = authorizer.NewCall(d.request.Header.Values(authorizer.HeaderKey), func(s *compiler.Snapshot) bool {
		return s.IsPublicService(d.call.service.Name)
	})
	var err error
	if d.grant, err = d.f.authorizer.Authorize(d.credentials); err != nil {
		return unauthorized(err)
	}
	d.body.hideTrailers(d.f.hiddenTrailers(d.grant))
	return nil
}

// renewGrant authorizes the call again before it is sent to a member, and returns the tenant of the call.
func (d *delivery) renewGrant() (authorizer.Grant, *answer) {
	grant, err := d.f.authorizer.Renew(d.credentials, d.grant)
	if err != nil {
		return grant, unauthorized(err)
	}
	return grant, nil
}

// setTenant replaces what the caller sent about its tenant.
func (f *Forwarder) setTenant(h http.Header, grant authorizer.Grant) {
	if grant.DropKey {
		h.Del(authorizer.HeaderKey)
	}
	if f.tenantHeader == "" {
		return
	}
	h.Del(f.tenantHeader)
	if grant.Tenant.Name != "" {
		h.Set(f.tenantHeader, grant.Tenant.Name)
	}
}

// hiddenTrailers returns the names of the trailers that could be taken for headers which the daemon sets or drops.
func (f *Forwarder) hiddenTrailers(grant authorizer.Grant) []string {
	var names []string
	if grant.DropKey || f.authorizer.GuardsKeys() {
		names = append(names, authorizer.HeaderKey)
	}
	if f.tenantHeader != "" {
		names = append(names, f.tenantHeader)
	}
	return names
}

// unauthorized returns the response to a call that was not sent because of err.
func unauthorized(err error) *answer {
	if errors.Is(err, authorizer.ErrNoProof) {
		a := errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "%v", err)
		a.header.Set("Retry-After", strconv.Itoa(proofRetryAfterSeconds))
		return a
	}
	a := errorResponse(http.StatusUnauthorized, OutcomeNotRun, "%v", err)
	a.header.Set("Www-Authenticate", authorizer.Challenge)
	return a
}
