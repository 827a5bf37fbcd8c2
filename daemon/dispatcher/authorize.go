package dispatcher

import (
	"errors"
	"net/http"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/daemon/authorizer"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
)

// proofRetryAfter is the time after which a caller that was refused for want of a proof is told to retry: daemons ask for a
// proof twice a second.
const proofRetryAfter = 500 * time.Millisecond

// authorize decides which tenant the call belongs to, and returns an error if the call must not be sent.
func (c *call) authorize() error {
	c.credentials = authorizer.NewCall(c.request.Header.Values(authorizer.HeaderKey), c.isPublic)
	grant, err := c.d.authorizer.Authorize(c.credentials)
	c.applyGrant(grant)
	return err
}

// renewGrant authorizes the call again before it is sent to a member, since it may have waited.
func (c *call) renewGrant() error {
	grant, err := c.d.authorizer.Renew(c.credentials, c.grant)
	c.applyGrant(grant)
	return err
}

func (c *call) applyGrant(grant authorizer.Grant) {
	c.grant = grant
	if grant.DropKey {
		c.request.Header.Del(authorizer.HeaderKey)
	}
}

// isPublic reports whether the call needs no key in a configuration. A route that the configuration no longer has keeps its
// last value.
func (c *call) isPublic(s *compiler.Snapshot) bool {
	if route, ok := s.Route(hostName(c.request.Host), c.request.Path()); ok {
		return route.Public
	}
	return c.route.Public
}

// rank returns the rank of the call: that of its tenant, or else that of its route.
func (c *call) rank() int {
	if c.grant.Tenant.Rank != nil {
		return *c.grant.Tenant.Rank
	}
	return c.route.Rank
}

// unauthorized returns the answer to a call that was not sent because of err.
func (d *Dispatcher) unauthorized(err error) *courier.Answer {
	if errors.Is(err, authorizer.ErrNoProof) {
		return d.errorResponse(http.StatusServiceUnavailable, deliverer.NotRun, err.Error(), proofRetryAfter)
	}
	answer := d.errorResponse(http.StatusUnauthorized, deliverer.NotRun, err.Error(), 0)
	answer.Header.Set("Www-Authenticate", authorizer.Challenge)
	return answer
}
