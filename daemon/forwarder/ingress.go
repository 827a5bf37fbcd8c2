package forwarder

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/inspector"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/courier"
)

// ingressCall is one call on the ingress side.
type ingressCall struct {
	f        *Forwarder
	request  *http.Request
	upstream wire.Upstream
	body     *body
	once     bool       // the call runs at most once and needs a claim
	claim    wire.Claim // set only if once
	deadline time.Time
	kind     budgeter.Kind
	started  time.Time // when a daemon got the call from its caller
	sent     bool      // the call may have been sent to the upstream
	outcome  Outcome   // reported to the limiter at the end
}

func (f *Forwarder) serveIngress(w http.ResponseWriter, r *http.Request) {
	draining := f.inFlight.begin()
	defer f.inFlight.end()
	if draining {
		f.writeIngressError(w, r, errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "the daemon is stopping"))
		return
	}
	started := time.Now()
	restoreKeyHeaders(r.Header)
	c, errAnswer := f.admitIngress(r, started)
	if errAnswer != nil {
		f.writeIngressError(w, r, errAnswer)
		return
	}
	held, errAnswer := f.hold(w, r, int64(c.bufferLimit()))
	if errAnswer != nil {
		f.writeIngressError(w, r, errAnswer)
		return
	}
	defer held.release()
	r, c.request = held.Request, held.Request
	if errAnswer := c.bufferBody(w, held); errAnswer != nil {
		f.writeIngressError(w, r, errAnswer)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	releaseSlot, err := f.acquire(ctx, r.Header.Get(HeaderClass))
	if err != nil {
		f.writeIngressError(w, r, errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "no slot: %v", err))
		return
	}
	c.outcome = Outcome{Result: Refused, Load: -1}
	defer func() { releaseSlot(c.outcome) }()
	if errAnswer := c.acquireClaim(ctx); errAnswer != nil {
		f.writeIngressError(w, r, errAnswer)
		return
	}
	if errAnswer := c.refresh(); errAnswer != nil {
		f.writeIngressError(w, r, errAnswer)
		return
	}
	endRun, err := f.budget.Begin(c.arrival())
	if err != nil {
		if c.once {
			f.release(c.claim)
		}
		f.writeIngressError(w, r, overBudget(err))
		return
	}
	defer func() { endRun(c.sent) }()
	c.forward(ctx, w)
}

// arrival describes the arrival of the call at the local upstream. Calls to one service make about the same calls.
func (c *ingressCall) arrival() budgeter.Arrival {
	return budgeter.Arrival{
		ID: c.request.Header.Get(HeaderAttempt), Service: c.upstream.Service, Route: c.upstream.Service, Kind: c.kind,
		Age: time.Since(c.started), TimeLeft: time.Until(c.deadline),
	}
}

// overBudget returns the response to a call that the retry budget keeps from the upstream.
func overBudget(err error) *answer {
	a := errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "%v", err)
	a.header.Set(HeaderOverBudget, "true")
	return a
}

func (f *Forwarder) writeIngressError(w http.ResponseWriter, r *http.Request, a *answer) {
	f.addLoad(a)
	f.writeErrorResponse(w, r, "ingress", a)
}

func (f *Forwarder) addLoad(a *answer) {
	a.header.Set(HeaderLoad, strconv.Itoa(f.load()))
}

// admitIngress validates a call before its body is read.
func (f *Forwarder) admitIngress(r *http.Request, now time.Time) (*ingressCall, *answer) {
	upstream, ok := f.upstream()
	service := serviceName(r.Host)
	if !ok || upstream.Service != service {
		return nil, errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "this daemon has no upstream of service %q", service)
	}
	if !slices.Contains(compiler.Classes(), r.Header.Get(HeaderClass)) || r.Header.Get(HeaderOnce) == "" {
		return nil, errorResponse(http.StatusBadRequest, OutcomeNotRun, "not a daemon call: %s or %s is missing or invalid", HeaderClass, HeaderOnce)
	}
	remaining, errAnswer := readDeadline(r.Header, compiler.MaxCallLimit)
	if errAnswer != nil {
		return nil, errAnswer
	}
	c := &ingressCall{f: f, request: r, upstream: upstream, deadline: now.Add(remaining)}
	var err error
	if c.kind, c.started, err = budgeter.ParseArrival(r.Header.Get(HeaderArrival), now); err != nil {
		return nil, errorResponse(http.StatusBadRequest, OutcomeNotRun, "%v", err)
	}
	if err := f.budget.Check(c.arrival()); err != nil {
		return nil, overBudget(err)
	}
	c.once = r.Header.Get(HeaderOnce) != "false" || f.requiresClaim(service)
	if !c.once {
		return c, nil
	}
	id, errAnswer := parseKey(r.Header)
	if errAnswer != nil {
		return nil, errAnswer
	}
	// The attempt ID is generated here and not on the egress side: if a request is delivered twice, each delivery
	// claims with an attempt ID of its own, and only one claim is granted.
	c.claim = wire.Claim{Service: service, Key: id.String(), Attempt: uuid.NewString()}
	return c, nil
}

// refresh applies what has changed while the call waited, or refuses the call and releases its claim.
func (c *ingressCall) refresh() *answer {
	upstream, ok := c.f.upstream()
	switch {
	case !ok || upstream.Service != c.upstream.Service:
		if c.once {
			c.f.release(c.claim)
		}
		return errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "the upstream of service %q has left", c.upstream.Service)
	case !c.once && c.f.requiresClaim(c.upstream.Service):
		return errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "calls to service %q need a claim now", c.upstream.Service)
	}
	c.upstream = upstream
	return nil
}

// bufferLimit returns how many bytes of the body are buffered.
func (c *ingressCall) bufferLimit() int {
	if c.once {
		return maxOnceBodyBytes
	}
	return maxBufferBytes
}

// bufferBody buffers the body. A call that needs a claim is buffered as a whole, because the digest covers its body.
func (c *ingressCall) bufferBody(w http.ResponseWriter, held *heldRequest) *answer {
	if c.once && c.request.ContentLength > maxOnceBodyBytes {
		return bodyTooLarge()
	}
	reqBody, err := readBody(w, c.request, c.bufferLimit(), c.deadline)
	if err != nil {
		return held.bodyError(err)
	}
	if c.once && !reqBody.fullyBuffered() {
		return bodyTooLarge()
	}
	c.body = reqBody
	c.claim.Digest = requestDigest(c.request, reqBody.buffered)
	return nil
}

func bodyTooLarge() *answer {
	return errorResponse(http.StatusRequestEntityTooLarge, OutcomeNotRun, "the body is larger than %d bytes", maxOnceBodyBytes)
}

// forward sends the call to the upstream and writes its response to w.
func (c *ingressCall) forward(ctx context.Context, w http.ResponseWriter) {
	if c.once {
		// Once sent, a call with a claim continues even if the caller disconnects, so that its response is stored for a
		// caller that sends the same key again.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
	}
	started := time.Now()
	a, sent, err := c.roundTrip(ctx, started)
	c.sent = sent
	c.outcome.Latency = time.Since(started)
	if err != nil {
		c.f.writeIngressError(w, c.request, c.errorAnswer(ctx, err, sent))
		return
	}
	defer a.close()
	c.outcome.Result = resultOfStatus(a.status)
	c.f.addLoad(a)
	c.writeAnswer(ctx, w, a)
}

// roundTrip returns the response of the upstream, or an error and whether the call may have been sent.
func (c *ingressCall) roundTrip(ctx context.Context, now time.Time) (a *answer, sent bool, err error) {
	pool := c.f.pool.forUpstream(c.upstream)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.selectTransport(pool).RoundTrip(c.newRequest(httptrace.WithClientTrace(ctx, trace), now))
	if err == nil {
		a, err = readAnswer(resp)
	}
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			pool.keepAlive.CloseIdleConnections() // other idle connections may be silent too
		}
		return nil, connected.Load(), err
	}
	courier.RemoveDaemonHeaders(a.header)
	return a, true, nil
}

// selectTransport returns the transport for the call. On a reused connection, net/http repeats requests with an
// idempotency key on its own, whatever their method, so calls that must not be repeated get a new connection.
func (c *ingressCall) selectTransport(pool *upstreamPool) *inspector.Transport {
	keyed := len(c.request.Header[HeaderIdempotencyKey]) > 0 || len(c.request.Header["X-"+HeaderIdempotencyKey]) > 0
	if c.once || (keyed && !isIdempotent(c.request.Method)) {
		return pool.singleUse
	}
	return pool.keepAlive
}

func (c *ingressCall) newRequest(ctx context.Context, now time.Time) *http.Request {
	header := requestHeader(c.request)
	header.Del(HeaderOnce)
	c.f.authorizer.DropKey(header)
	header.Set(HeaderDeadline, strconv.FormatInt(nextHopTimeout(c.deadline, now).Milliseconds(), 10))
	if c.once {
		header.Set(HeaderIdempotencyKey, c.claim.Key)
	}
	out := (&http.Request{
		Method: c.request.Method,
		URL:    targetURL(c.request.URL, c.upstream.Address.String()),
		Host:   c.upstream.Service,
		Header: header,
	}).WithContext(ctx)
	c.body.attach(out, !c.once)
	return out
}

// errorAnswer returns the response to the caller if the upstream did not respond.
func (c *ingressCall) errorAnswer(ctx context.Context, err error, sent bool) *answer {
	if !sent {
		c.outcome.Result = Unreachable
		if c.once {
			c.f.release(c.claim)
		}
		return errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "upstream: %v", err)
	}
	c.outcome.Result = failureResult(ctx)
	if c.outcome.Result == Timeout {
		return errorResponse(http.StatusGatewayTimeout, OutcomeUnknown, "upstream: no answer before the deadline")
	}
	return errorResponse(http.StatusBadGateway, OutcomeUnknown, "upstream: %v", err)
}

// resultOfStatus returns the result that is reported to the limiter for a response status.
func resultOfStatus(status int) Result {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Overloaded
	case status >= http.StatusInternalServerError:
		return Failed
	}
	return Success
}

// writeAnswer writes the response and finishes the claim, if there is one.
func (c *ingressCall) writeAnswer(ctx context.Context, w http.ResponseWriter, a *answer) {
	if c.once && a.rest == nil {
		c.finishClaim(a)
	}
	if c.once && a.rest != nil {
		w = &discardingWriter{ResponseWriter: w}
	}
	err := a.write(w, c.request.Method)
	if errors.Is(err, errIncomplete) {
		c.outcome.Result = failureResult(ctx)
		panic(http.ErrAbortHandler)
	}
	if c.once && a.rest != nil {
		c.finishClaim(a)
	}
}

// discardingWriter discards all data after the first write error, so that a long response is read to its end and its
// claim is finished.
type discardingWriter struct {
	http.ResponseWriter
	failed bool
}

// Write writes p unless an earlier write failed. It always reports success.
func (w *discardingWriter) Write(p []byte) (int, error) {
	if !w.failed {
		_, err := w.ResponseWriter.Write(p)
		w.failed = err != nil
	}
	return len(p), nil
}
