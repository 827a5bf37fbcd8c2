package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bluebellhoist/daemon/spender"
)

// unavailableRetryAfter is the time after which a caller is told to retry while no controller allots tokens.
const unavailableRetryAfter = 500 * time.Millisecond

// takeToken takes a token for the first attempt, if the tenant of the call has a limit, or returns the response that refuses the
// call.
func (d *delivery) takeToken(ctx context.Context) *answer {
	release, refusal := d.newToken(ctx)
	if release != nil {
		d.token.Store(&release)
	}
	return refusal
}

// nextToken returns the function that ends the token of an attempt, or the response that refuses the attempt. The first attempt has
// the token of takeToken, each further one takes its own.
func (d *delivery) nextToken(ctx context.Context) (release func(used bool), refusal *answer) {
	if first := d.token.Swap(nil); first != nil {
		return *first, nil
	}
	release, refusal = d.newToken(ctx)
	if release == nil {
		release = func(bool) {}
	}
	return release, refusal
}

// newToken takes a token. Without a limit it returns neither a function nor a response.
func (d *delivery) newToken(ctx context.Context) (func(used bool), *answer) {
	tenant := &d.grant.Tenant
	if d.f.takeToken == nil || tenant.Rate <= 0 {
		return nil, nil
	}
	release, err := d.f.takeToken(ctx, tenant.Name, spender.Limit{Rate: tenant.Rate, Burst: tenant.Burst, Mod: tenant.Mod})
	if err != nil {
		return nil, overQuota(err)
	}
	return release, nil
}

// dropToken returns the token of the first attempt if it was not made.
func (d *delivery) dropToken() {
	if first := d.token.Swap(nil); first != nil {
		(*first)(false)
	}
}

// overQuota returns the response to a call that got no token.
func overQuota(err error) *answer {
	status, wait := http.StatusServiceUnavailable, unavailableRetryAfter
	var over *spender.OverLimitError
	if errors.As(err, &over) {
		// The header has milliseconds, and is not to be too early.
		status, wait = http.StatusTooManyRequests, (over.Wait + time.Millisecond - 1).Truncate(time.Millisecond)
	}
	a := errorResponse(status, OutcomeNotRun, "%v", err)
	a.header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	return a
}
