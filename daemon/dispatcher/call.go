package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/authorizer"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
)

// call is one in-flight call.
type call struct {
	d             *Dispatcher
	route         *wire.Route
	request       *courier.Request
	id            string
	service       string
	version       uint64
	started       time.Time
	deadline      time.Time
	callerTimeout time.Duration // how long the caller waits from started on
	firstKind     budgeter.Kind // kind of the first arrival of the call
	priorWait     time.Duration // how long the caller has probably waited before this call, in earlier attempts
	credentials   authorizer.Call
	grant         authorizer.Grant // last grant; its tenant is that of the call

	releaseToken func(used bool) // ends the token of the call; nil while it has none, or without a limit
	overQuota    bool            // the call was refused since its tenant is over its limit, or no controller allots tokens

	noRetryReason string          // why the call was not retried, or empty
	sent          int             // number of upstreams to which the call was sent
	overBudget    int             // number of members that refused a retry because the retry budget is spent
	attempted     []string        // members to which an attempt was made
	mayHaveRun    bool            // an attempt was sent and its outcome is unknown
	failure       *courier.Answer // last answer with a 5xx status
	lastResult    deliverer.Result
}

// run makes attempts at different members until one returns a final answer or no further attempt is allowed.
func (c *call) run(ctx context.Context) *courier.Answer {
	defer c.dropToken()
	if err := c.takeToken(ctx); err != nil {
		return c.overQuotaAnswer(ctx, err)
	}
	var err error
	if c.firstKind, err = c.d.startCall(c.id, c.service); err != nil {
		c.lastResult = deliverer.Result{Outcome: deliverer.NotRun, Reason: err.Error()}
		return c.finalAnswer(ctx)
	}
	for c.mayAttempt(ctx) {
		if err := c.takeToken(ctx); err != nil { // for a retry
			return c.overQuotaAnswer(ctx, err)
		}
		member, report, err := c.pick(ctx)
		if err != nil {
			if len(c.attempted) == 0 {
				c.lastResult = deliverer.Result{Outcome: deliverer.NotRun, Reason: err.Error()}
			}
			break
		}
		if err := c.renewGrant(); err != nil {
			report(Outcome{Result: Canceled, Load: -1})
			return c.revokedAnswer(ctx, err)
		}
		c.attempted = append(c.attempted, member.Name)
		if answer := c.attempt(ctx, member, report); answer != nil {
			return answer
		}
	}
	return c.finalAnswer(ctx)
}

// pick selects a member that was not attempted yet. Shortly after startup it waits for the first member of the service.
func (c *call) pick(ctx context.Context) (member wire.Member, report func(Outcome), err error) {
	found := func() bool {
		member, report, err = c.d.pick(c.service, c.attempted)
		return err == nil
	}
	if len(c.attempted) == 0 {
		c.d.waitForStartup(ctx, c.started, c.callerTimeout, found)
	} else {
		found()
	}
	return member, report, err
}

// revokedAnswer returns the response to a call whose authorization ended while it was in flight. If an attempt may have run,
// the response must not promise that none did.
func (c *call) revokedAnswer(ctx context.Context, err error) *courier.Answer {
	if c.mayHaveRun || c.failure != nil {
		c.noRetryReason = err.Error()
		return c.finalAnswer(ctx)
	}
	c.lastResult = deliverer.Result{Outcome: deliverer.NotRun, Reason: err.Error(), Load: -1}
	return c.d.unauthorized(err)
}

// mayAttempt reports whether another attempt may be made.
func (c *call) mayAttempt(ctx context.Context) bool {
	if len(c.attempted) == 0 {
		return true
	}
	switch {
	case ctx.Err() != nil:
		c.noRetryReason = "caller has left"
	case len(c.attempted) >= maxMembersPerCall:
		c.noRetryReason = "enough members asked"
	case time.Until(c.deadline) <= 0:
		c.noRetryReason = "deadline passed"
	case c.sent == 0:
		return true // no upstream was sent the call, so this is not a retry
	case c.sent >= c.route.Attempts:
		c.noRetryReason = "no attempts left"
	case (c.mayHaveRun || c.failure != nil) && !c.route.Retryable:
		c.noRetryReason = "may run only once"
	case c.overBudget >= maxOverBudget:
		c.noRetryReason = budgeter.ErrSpent.Error()
	default:
		return true
	}
	return false
}

// attempt sends the call to one member and returns the answer if it is final.
func (c *call) attempt(ctx context.Context, member wire.Member, report func(Outcome)) *courier.Answer {
	started := time.Now()
	result, attemptResult := c.send(ctx, member)
	if result.Sent {
		c.sent++
		c.useToken()
	}
	if result.OverBudget {
		c.overBudget++
	}
	c.lastResult = result
	c.recordAttempt(member, result)
	if ctx.Err() != nil && result.Outcome != deliverer.Answered {
		attemptResult = Canceled
	}
	report(Outcome{Result: attemptResult, Latency: time.Since(started), Load: result.Load})
	c.d.log.Debug("attempt", "id", c.id, "route", c.route.Name, "service", c.service, "member", member.Name,
		"outcome", result.Outcome, "reason", result.Reason, "load", result.Load)
	switch result.Outcome {
	case deliverer.Answered:
		if result.Answer.Status < http.StatusInternalServerError {
			return result.Answer
		}
		c.failure = result.Answer
	case deliverer.Unknown:
		c.mayHaveRun = true
	}
	return nil
}

// send sends the call to the local upstream or to another daemon.
func (c *call) send(ctx context.Context, member wire.Member) (deliverer.Result, Result) {
	outgoing := deliverer.Call{
		Request: c.request, Service: c.service, Deadline: c.deadline, Route: c.route.Name, Retryable: c.route.Retryable,
		Kind: c.arrivalKind(), Started: c.started, Tenant: c.grant.Tenant.Name,
	}
	c.setPriority(&outgoing)
	if member.Name == c.d.self {
		result := c.d.deliverLocal(ctx, outgoing)
		return result, resultOf(result)
	}
	sendCtx, cancel := context.WithDeadline(ctx, c.deadline.Add(peerGrace))
	defer cancel()
	answer, err := c.d.peers.Do(sendCtx, member.Addr, courier.Call{Request: outgoing.Pack()})
	switch {
	case errors.Is(err, courier.ErrUnsent):
		return deliverer.Result{Outcome: deliverer.NotRun, Reason: err.Error(), Load: -1}, Unreachable
	case err != nil:
		return deliverer.Result{Outcome: deliverer.Unknown, Reason: err.Error(), Load: -1, Sent: true}, Failed
	}
	result, ok := deliverer.UnpackResult(answer)
	if !ok {
		return deliverer.Result{Outcome: deliverer.Unknown, Reason: "response did not come from a daemon", Load: -1, Sent: true}, Failed
	}
	return result, resultOf(result)
}

// arrivalKind returns the kind of the next arrival of the call at an upstream.
func (c *call) arrivalKind() budgeter.Kind {
	if c.sent > 0 {
		return budgeter.Retry
	}
	return c.firstKind
}

func resultOf(r deliverer.Result) Result {
	switch {
	case r.OverBudget:
		return OverBudget
	case r.Outcome == deliverer.NotRun:
		return Refused
	case r.Outcome == deliverer.Unknown, r.Answer.Status >= http.StatusInternalServerError:
		return Failed
	}
	return OK
}

// finalAnswer returns the response to the caller if no attempt gave a final one.
func (c *call) finalAnswer(ctx context.Context) *courier.Answer {
	late := time.Until(c.deadline) <= 0 || ctx.Err() != nil
	switch {
	case c.failure != nil:
		return c.failure
	case c.mayHaveRun && late:
		return c.d.errorResponse(http.StatusGatewayTimeout, deliverer.Unknown, c.lastResult.Reason, 0)
	case c.mayHaveRun:
		return c.d.errorResponse(http.StatusBadGateway, deliverer.Unknown, c.lastResult.Reason, 0)
	}
	return c.d.errorResponse(http.StatusServiceUnavailable, deliverer.NotRun, c.lastResult.Reason, c.retryAfter())
}

const (
	// retryAfterShare is the share of the caller's remaining time after which a refused caller is told to retry, so
	// that the retry still has time to run.
	retryAfterShare = 0.2
	// minRetryAfter and maxRetryAfter bound the delay.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = time.Second
)

// retryAfter returns the delay after which a refused caller is told to retry.
func (c *call) retryAfter() time.Duration {
	left := c.callerTimeout - time.Since(c.started)
	return max(minRetryAfter, min(time.Duration(retryAfterShare*float64(left)), maxRetryAfter))
}

// Numerically highest ranks of the classes urgent and normal; rank 0 is the most urgent.
const (
	maxUrgentRank = 1
	maxNormalRank = 2
)

// class returns the priority class for the rank of the call.
func (c *call) class() string {
	switch rank := c.rank(); {
	case rank <= maxUrgentRank:
		return compiler.Urgent
	case rank <= maxNormalRank:
		return compiler.Normal
	}
	return compiler.Bulk
}

// logSampleInterval is the interval of the log sample: of the calls that succeed at the first attempt, one in
// logSampleInterval is logged.
const logSampleInterval = 64

// finish records the metrics of a call and logs it if it failed, was refused or took more than one attempt. Of the other
// calls it logs a sample.
func (c *call) finish(ctx context.Context, answer *courier.Answer, took time.Duration) {
	c.recordCall(answer.Status, took)
	c.recordNoRetry()
	if c.overQuota {
		return // the spender logs a sample of these
	}
	succeeded := answer.Status < http.StatusInternalServerError
	if succeeded && len(c.attempted) == 1 && c.d.firstAttemptSuccesses.Add(1)%logSampleInterval != 0 {
		return
	}
	message := "call answered"
	if !succeeded {
		message = "call failed"
	}
	c.d.log.Info(message, "id", c.id, "route", c.route.Name, "version", c.version, "service", c.service,
		"tenant", c.grant.Tenant.Name, "status", answer.Status, "outcome", c.lastResult.Outcome, "reason", c.lastResult.Reason, "load", c.lastResult.Load,
		"asked", c.attempted, "arrivals", c.sent, "gone", ctx.Err() != nil, "took", took.Round(time.Millisecond).String(),
		"patience", c.callerTimeout.String(), "waited", c.priorWait.String(), "target", c.route.Target.String(),
		"again", c.noRetryReason)
}
