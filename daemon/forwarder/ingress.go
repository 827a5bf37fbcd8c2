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

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/courier"
)

// arrival is one call on the ingress side.
type arrival struct {
	f        *Forwarder
	request  *http.Request
	upstream wire.Upstream
	body     *body
	once     bool
	claim    wire.Claim // of a once call
	deadline time.Time
	outcome  Outcome // reported to the limiter
}

func (f *Forwarder) serveIngress(w http.ResponseWriter, r *http.Request) {
	draining := f.gate.enter()
	defer f.gate.leave()
	if draining {
		f.refuseIngress(w, r, refusal(http.StatusServiceUnavailable, NotRun, "the daemon is stopping"))
		return
	}
	started := time.Now()
	unwrapKeys(r.Header)
	c, refused := f.accept(r, started)
	if refused == nil {
		refused = c.read(w)
	}
	if refused != nil {
		f.refuseIngress(w, r, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	free, err := f.acquire(ctx, r.Header.Get(HeaderClass))
	if err != nil {
		f.refuseIngress(w, r, refusal(http.StatusServiceUnavailable, NotRun, "no slot: %v", err))
		return
	}
	c.outcome = Outcome{Result: Refused, Load: -1}
	defer func() { free(c.outcome) }()
	if refused := c.obtain(ctx); refused != nil {
		f.refuseIngress(w, r, refused)
		return
	}
	c.send(ctx, w)
}

func (f *Forwarder) refuseIngress(w http.ResponseWriter, r *http.Request, a *answer) {
	f.addLoad(a)
	f.refuse(w, r, "ingress", a)
}

func (f *Forwarder) addLoad(a *answer) {
	a.header.Set(HeaderLoad, strconv.Itoa(f.load()))
}

// accept checks a call before its body is read.
func (f *Forwarder) accept(r *http.Request, now time.Time) (*arrival, *answer) {
	upstream, ok := f.upstream()
	service := serviceName(r.Host)
	if !ok || upstream.Service != service {
		return nil, refusal(http.StatusServiceUnavailable, NotRun, "no upstream of service %q here", service)
	}
	if !slices.Contains(compiler.Classes(), r.Header.Get(HeaderClass)) || r.Header.Get(HeaderOnce) == "" {
		return nil, refusal(http.StatusBadRequest, NotRun, "not a call by a daemon: %s or %s is missing", HeaderClass, HeaderOnce)
	}
	left, refused := readDeadline(r.Header, compiler.MaxLimit)
	if refused != nil {
		return nil, refused
	}
	c := &arrival{f: f, request: r, upstream: upstream, deadline: now.Add(left)}
	c.once = r.Header.Get(HeaderOnce) != "false" || f.listsOnce(service)
	if !c.once {
		return c, nil
	}
	id, refused := parseKey(r.Header)
	if refused != nil {
		return nil, refused
	}
	// The attempt is named here and not by the egress side: if its request is delivered twice, both deliveries ask
	// with an attempt of their own and only one of them is granted.
	c.claim = wire.Claim{Service: service, Key: id.String(), Attempt: uuid.NewString()}
	return c, nil
}

// listsOnce reports whether the snapshot held here says once. The egress side may hold an older one.
func (f *Forwarder) listsOnce(name string) bool {
	snapshot := f.snapshot()
	if snapshot == nil {
		return false
	}
	service, _ := snapshot.Service(name)
	return service.Once
}

// read buffers the body. A once call needs all of it for the digest.
func (c *arrival) read(w http.ResponseWriter) *answer {
	limit := maxBuffer
	if c.once {
		limit = maxOnceBody
	}
	if c.once && c.request.ContentLength > maxOnceBody {
		return tooLarge()
	}
	sent, err := readBody(w, c.request, limit, c.deadline)
	if err != nil {
		return refusal(http.StatusBadRequest, NotRun, "request body: %v", err)
	}
	if c.once && !sent.whole() {
		return tooLarge()
	}
	c.body = sent
	c.claim.Digest = digest(c.request, sent.head)
	return nil
}

func tooLarge() *answer {
	return refusal(http.StatusRequestEntityTooLarge, NotRun, "the body is larger than %d bytes", maxOnceBody)
}

// digest identifies a request by method, path with query, and body.
func digest(r *http.Request, data []byte) uint64 {
	d := xxhash.New()
	// A zero byte is in neither a method nor an escaped path, so no two requests run together.
	_, _ = d.WriteString(r.Method + "\x00" + r.URL.EscapedPath() + "\x00" + r.URL.RawQuery + "\x00")
	_, _ = d.Write(data)
	return d.Sum64()
}

// obtain gets the claim of a once call. Without a grant the call is not sent.
func (c *arrival) obtain(ctx context.Context) *answer {
	if !c.once {
		return nil
	}
	// Half of the time is left for the call itself, and for the rejection to arrive in time.
	wait := min(time.Until(c.deadline)/2, maxClaim)
	asking, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	verdict, err := c.f.claim(asking, c.claim)
	if err != nil {
		c.f.release(c.claim)
		return refusal(http.StatusServiceUnavailable, NotRun, "claim: %v", err)
	}
	switch verdict.State {
	case wire.Granted:
		return c.checkTime(ctx)
	case wire.Running:
		return newReport(http.StatusConflict, report{
			Error: "another attempt with this key may have run the call", Outcome: Unknown, State: wire.Running,
		})
	case wire.Done:
		return replay(verdict)
	case wire.Mismatch:
		return refusal(http.StatusUnprocessableEntity, NotRun, "%s was used with another request", HeaderKey)
	case wire.Expired:
		return refusal(http.StatusConflict, Unknown, "%s is too old", HeaderKey)
	case wire.Invalid:
		return refusal(http.StatusBadRequest, NotRun, "%s is not accepted", HeaderKey)
	}
	return refusal(http.StatusServiceUnavailable, NotRun, "claim is in state %q", verdict.State)
}

// checkTime gives up a granted claim if the call ended meanwhile.
func (c *arrival) checkTime(ctx context.Context) *answer {
	if ctx.Err() == nil {
		return nil
	}
	c.f.release(c.claim)
	return refusal(http.StatusServiceUnavailable, NotRun, "the call ended before it was sent")
}

// send sends the call to the upstream and passes on the answer.
func (c *arrival) send(ctx context.Context, w http.ResponseWriter) {
	if c.once {
		// A once call that was sent runs to its end even if the caller goes away: its answer is then stored for a
		// caller that sends the same key again.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
	}
	started := time.Now()
	a, sent, err := c.exchange(ctx, started)
	c.outcome.Latency = time.Since(started)
	if err != nil {
		c.f.refuseIngress(w, c.request, c.fail(ctx, err, sent))
		return
	}
	defer a.close()
	c.outcome.Result = rate(a.status)
	c.f.addLoad(a)
	c.pass(ctx, w, a)
}

// exchange returns the answer of the upstream, or an error and whether the call may have been sent.
func (c *arrival) exchange(ctx context.Context, now time.Time) (a *answer, sent bool, err error) {
	pool := c.f.pools.of(c.upstream)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.transport(pool).RoundTrip(c.outgoing(httptrace.WithClientTrace(ctx, trace), now))
	if err == nil {
		a, err = readAnswer(resp)
	}
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			pool.reused.CloseIdleConnections() // others may be as silent as this one
		}
		return nil, connected.Load(), err
	}
	courier.RemoveOwn(a.header)
	return a, true, nil
}

// transport returns how the call is sent. Net/http repeats requests with an idempotency key on its own, whatever their
// method, unless their connection is new.
func (c *arrival) transport(pool *pool) *http.Transport {
	keyed := len(c.request.Header[HeaderKey]) > 0 || len(c.request.Header["X-"+HeaderKey]) > 0
	if c.once || (keyed && !idempotent(c.request.Method)) {
		return pool.fresh
	}
	return pool.reused
}

func (c *arrival) outgoing(ctx context.Context, now time.Time) *http.Request {
	header := requestHeader(c.request)
	header.Del(HeaderOnce)
	header.Set(HeaderDeadline, strconv.FormatInt(timeLeft(c.deadline, now).Milliseconds(), 10))
	if c.once {
		header.Set(HeaderKey, c.claim.Key)
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

// fail returns the answer to a call that the upstream did not answer.
func (c *arrival) fail(ctx context.Context, err error, sent bool) *answer {
	if !sent {
		c.outcome.Result = Unreachable
		if c.once {
			c.f.release(c.claim)
		}
		return refusal(http.StatusServiceUnavailable, NotRun, "upstream: %v", err)
	}
	c.outcome.Result = failure(ctx)
	if c.outcome.Result == Timeout {
		return refusal(http.StatusGatewayTimeout, Unknown, "upstream: no answer before the deadline")
	}
	return refusal(http.StatusBadGateway, Unknown, "upstream: %v", err)
}

// rate returns the result that the limiter gets for the status of an answer.
func rate(status int) Result {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Shed
	case status >= http.StatusInternalServerError:
		return Failed
	}
	return Success
}

// pass writes the answer, and stores it with the claim of a once call.
func (c *arrival) pass(ctx context.Context, w http.ResponseWriter, a *answer) {
	if c.once && a.rest == nil {
		c.store(a)
	}
	if c.once && a.rest != nil {
		w = &lenientWriter{ResponseWriter: w}
	}
	err := a.write(w, c.request.Method)
	if errors.Is(err, errBroken) {
		c.outcome.Result = failure(ctx)
		panic(http.ErrAbortHandler)
	}
	if c.once && a.rest != nil {
		c.store(a)
	}
}

// store finishes the claim. An answer that is too long to be stored leaves only its status.
func (c *arrival) store(a *answer) {
	claim := c.claim
	claim.Status = a.status
	claim.Kind = a.header.Get("Content-Type")
	if a.rest == nil && len(a.head) <= maxStored {
		claim.Whole, claim.Body = true, a.head
	}
	c.f.finish(claim)
}

// lenientWriter drops what cannot be delivered, so that a long answer is read to its end and its claim finished.
type lenientWriter struct {
	http.ResponseWriter
	failed bool
}

// Write writes until the first failure.
func (l *lenientWriter) Write(p []byte) (int, error) {
	if !l.failed {
		_, err := l.ResponseWriter.Write(p)
		l.failed = err != nil
	}
	return len(p), nil
}
