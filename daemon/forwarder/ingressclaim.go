package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/wire"
)

// requiresClaim reports whether the snapshot of this daemon marks the service as once. The egress side may hold an
// older snapshot.
func (f *Forwarder) requiresClaim(name string) bool {
	snapshot := f.snapshot()
	if snapshot == nil {
		return false
	}
	service, _ := snapshot.Service(name)
	return service.Once
}

// requestDigest returns a hash of the method, path, query and body of a request.
func requestDigest(r *http.Request, data []byte) uint64 {
	hash := xxhash.New()
	// Neither a method nor an escaped path contains a zero byte, so two different requests never yield the same input.
	_, _ = hash.WriteString(r.Method + "\x00" + r.URL.EscapedPath() + "\x00" + r.URL.RawQuery + "\x00")
	_, _ = hash.Write(data)
	return hash.Sum64()
}

// acquireClaim requests the claim of a call that runs at most once. It returns nil if the call may be sent, and
// otherwise the response to the caller.
func (c *ingressCall) acquireClaim(ctx context.Context) *answer {
	if !c.once {
		return nil
	}
	// The other half of the remaining time is for the call itself, and for a refusal to reach the caller in time.
	timeout := min(time.Until(c.deadline)/2, maxClaimWait)
	claimCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	verdict, err := c.f.claim(claimCtx, c.claim)
	if err != nil {
		c.f.release(c.claim)
		return errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "claim: %v", err)
	}
	switch verdict.State {
	case wire.Granted:
		return c.releaseIfEnded(ctx)
	case wire.Running:
		return newErrorAnswer(http.StatusConflict, errorBody{
			Error: "another attempt with this key may have run the call", Outcome: OutcomeUnknown, State: wire.Running,
		})
	case wire.Done:
		return replayedAnswer(verdict)
	case wire.Mismatch:
		return errorResponse(http.StatusUnprocessableEntity, OutcomeNotRun, "%s was used with another request", HeaderIdempotencyKey)
	case wire.Expired:
		return errorResponse(http.StatusConflict, OutcomeUnknown, "%s is too old", HeaderIdempotencyKey)
	case wire.Invalid:
		return errorResponse(http.StatusBadRequest, OutcomeNotRun, "%s is not accepted", HeaderIdempotencyKey)
	}
	return errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "unexpected claim state %q", verdict.State)
}

// releaseIfEnded releases a granted claim if the context of the call has ended in the meantime.
func (c *ingressCall) releaseIfEnded(ctx context.Context) *answer {
	if ctx.Err() == nil {
		return nil
	}
	c.f.release(c.claim)
	return errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "the call was canceled or timed out before it was sent")
}

// finishClaim stores the response with the claim. If the body is larger than maxStoredBytes, only the status and the
// content type are stored.
func (c *ingressCall) finishClaim(a *answer) {
	claim := c.claim
	claim.Status = a.status
	claim.Kind = a.header.Get("Content-Type")
	if a.rest == nil && len(a.buffered) <= maxStoredBytes {
		claim.Complete, claim.Body = true, a.buffered
	}
	c.f.finish(claim)
}
