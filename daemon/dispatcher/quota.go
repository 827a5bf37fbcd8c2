package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/spender"
)

// unavailableRetryAfter is the time after which a caller is told to retry while no controller allots tokens.
const unavailableRetryAfter = 500 * time.Millisecond

// takeToken takes a token for the next arrival of the call at an upstream, if its tenant has a limit and the call has none yet.
func (c *call) takeToken(ctx context.Context) error {
	tenant := &c.grant.Tenant
	if c.d.takeToken == nil || tenant.Rate <= 0 || c.releaseToken != nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var err error
	c.releaseToken, err = c.d.takeToken(ctx, tenant.Name, spender.Limit{Rate: tenant.Rate, Burst: tenant.Burst, Mod: tenant.Mod})
	return err
}

// useToken uses the token of the call, which was sent to an upstream.
func (c *call) useToken() {
	if c.releaseToken != nil {
		c.releaseToken(true)
		c.releaseToken = nil
	}
}

// dropToken returns the token of the call if it was not used.
func (c *call) dropToken() {
	if c.releaseToken != nil {
		c.releaseToken(false)
		c.releaseToken = nil
	}
}

// overQuotaAnswer returns the response to a call that got no token. If it was sent to an upstream before, only its retry is given
// up.
func (c *call) overQuotaAnswer(ctx context.Context, err error) *courier.Answer {
	if c.sent > 0 {
		c.noRetryReason = "no quota left"
		return c.finalAnswer(ctx)
	}
	c.lastResult = deliverer.Result{Outcome: deliverer.NotRun, Reason: err.Error(), Load: -1}
	var over *spender.OverLimitError
	switch {
	case errors.As(err, &over):
		c.overQuota = true
		wait := over.Wait + time.Millisecond - 1 // the header has milliseconds, and is not to be too early
		return c.d.errorResponse(http.StatusTooManyRequests, deliverer.NotRun, err.Error(), wait.Truncate(time.Millisecond))
	case errors.Is(err, spender.ErrUnavailable):
		c.overQuota = true
		return c.d.errorResponse(http.StatusServiceUnavailable, deliverer.NotRun, err.Error(), unavailableRetryAfter)
	}
	return c.finalAnswer(ctx)
}
