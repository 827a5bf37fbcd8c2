package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"bluebellhoist/daemon/courier"
)

func (f *Forwarder) serveEgress(w http.ResponseWriter, r *http.Request) {
	draining := f.gate.enter()
	defer f.gate.leave()
	if draining {
		w.Header().Set("Connection", "close")
	}
	started := time.Now()
	c, refused := f.admit(r, started)
	if refused != nil {
		f.refuse(w, r, "egress", refused)
		return
	}
	defer func() { f.countCall(c.batch, c.class, time.Since(started)) }()
	sent, err := readBody(w, r, maxBuffer, c.deadline)
	if err != nil {
		f.refuse(w, r, "egress", refusal(http.StatusBadRequest, NotRun, "request body: %v", err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	run := &delivery{f: f, call: c, request: r, body: sent, header: requestHeader(r)}
	run.prepareHeader()
	result := run.run(ctx)
	if result.local {
		f.refuse(w, r, "egress", result.answer)
		result.done(nil)
		return
	}
	err = result.answer.write(w, r.Method)
	result.done(err)
	if errors.Is(err, errBroken) {
		panic(http.ErrAbortHandler)
	}
}

// refuse sends an answer that the daemon gives itself.
func (f *Forwarder) refuse(w http.ResponseWriter, r *http.Request, side string, a *answer) {
	f.countRefusal(side, a.status)
	_ = a.write(w, r.Method) // the caller went away
}

// delivery sends one call to members until one answers.
type delivery struct {
	f       *Forwarder
	call    *call
	request *http.Request
	body    *body
	header  http.Header
}

// result is the end of a delivery.
type result struct {
	answer *answer
	local  bool            // the answer is by this daemon
	done   func(err error) // must be called when the answer was written
}

func (d *delivery) prepareHeader() {
	courier.RemoveOwn(d.header)
	appendForwarded(d.header, d.request.RemoteAddr)
	if d.call.key != "" {
		d.header.Set(HeaderKey, d.call.key)
	}
	d.header.Set(HeaderClass, d.call.class)
	d.header.Set(HeaderDepth, strconv.Itoa(d.call.depth))
	d.header.Set(HeaderBatch, d.call.batch)
	d.header.Set(HeaderOnce, strconv.FormatBool(d.call.service.Once))
}

// run sends the call up to maxAttempts times, each time to another member.
func (d *delivery) run(ctx context.Context) result {
	service := d.call.service.Name
	budget := d.f.budgets.of(service)
	budget.earn()
	var (
		skip   []string
		mayRun bool // an attempt without a known outcome was sent
		last   *answer
	)
	for n := range maxAttempts {
		if n > 0 && !budget.take() {
			d.f.countRetry(service, true)
			break
		}
		member, report, err := d.f.pick(service, skip)
		if err != nil {
			if n > 0 {
				budget.refund()
			} else {
				last = refusal(http.StatusServiceUnavailable, NotRun, "service %q: %v", service, err)
			}
			break
		}
		if n > 0 {
			d.f.countRetry(service, false)
		}
		skip = append(skip, member.Name)
		t, report := d.attempt(ctx, member.Addr.String(), report, &skip)
		if t.final {
			return d.deliver(ctx, t, report, mayRun)
		}
		t.end()
		report(t.outcome)
		last = t.answer
		mayRun = mayRun || !t.notRun
		if !t.again || ctx.Err() != nil {
			break
		}
	}
	return result{answer: d.conclude(ctx, last, mayRun), local: true, done: func(error) {}}
}

// conclude returns the answer after the last attempt failed.
func (d *delivery) conclude(ctx context.Context, last *answer, mayRun bool) *answer {
	switch {
	case !mayRun && ctx.Err() != nil:
		return refusal(http.StatusGatewayTimeout, NotRun, "service %q: the deadline has passed", d.call.service.Name)
	case mayRun && ctx.Err() != nil:
		return refusal(http.StatusGatewayTimeout, Unknown, "service %q: no answer before the deadline", d.call.service.Name)
	case mayRun && last.header.Get(HeaderOutcome) != Unknown:
		return refusal(http.StatusBadGateway, Unknown, "service %q: an attempt was sent and not answered", d.call.service.Name)
	}
	return last
}

// deliver passes on the answer of a member. Its outcome is reported when it was written.
func (d *delivery) deliver(ctx context.Context, t tried, report func(Outcome), mayRun bool) result {
	if mayRun && t.notRun {
		t.answer.header.Set(HeaderOutcome, Unknown)
	}
	return result{answer: t.answer, done: func(err error) {
		t.answer.close()
		t.end()
		if errors.Is(err, errBroken) {
			t.outcome.Result = failure(ctx)
		}
		report(t.outcome)
	}}
}

// tried is the end of one attempt.
type tried struct {
	answer  *answer
	outcome Outcome
	notRun  bool // the attempt certainly did not run
	again   bool // the call may be sent to another member
	final   bool // the answer is to be passed on
	cancel  context.CancelFunc
}

// end frees the context of the attempt once its answer was passed on or given up.
func (t tried) end() {
	if t.cancel != nil {
		t.cancel()
	}
}

// try sends the call to one member.
func (d *delivery) try(ctx context.Context, addr string) tried {
	started := time.Now()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out, detach := d.outgoing(httptrace.WithClientTrace(ctx, trace), addr, started)
	transport := d.f.peers
	if !d.body.whole() {
		transport = d.f.streams
	}
	resp, err := transport.RoundTrip(out)
	var a *answer
	if err == nil {
		a, err = readAnswer(resp)
	}
	var t tried
	if err == nil {
		t = d.judge(a)
	} else {
		t = d.fail(ctx, addr, err, connected.Load())
	}
	t.outcome.Latency = time.Since(started)
	if !t.final {
		t.again = detach() && t.again
	}
	return t
}

func (d *delivery) outgoing(ctx context.Context, addr string, now time.Time) (*http.Request, func() bool) {
	header := d.header.Clone()
	wrapKeys(header)
	header.Set(HeaderAttempt, uuid.NewString())
	header.Set(HeaderDeadline, strconv.FormatInt(timeLeft(d.call.deadline, now).Milliseconds(), 10))
	out := (&http.Request{
		Method: d.request.Method,
		URL:    targetURL(d.request.URL, addr),
		Host:   d.call.service.Name,
		Header: header,
	}).WithContext(ctx)
	// Net/http repeats a request on its own only if its method permits it or nothing was written.
	return out, d.body.attach(out, true)
}

// targetURL returns the URL of the request at another address.
func targetURL(from *url.URL, addr string) *url.URL {
	to := *from
	to.Scheme, to.Host, to.User = "http", addr, nil
	return &to
}

// timeLeft returns the time that the next hop gets. It keeps a tenth back, so that a rejection by the next hop arrives
// before this side gives up and has to call the outcome unknown.
func timeLeft(deadline, now time.Time) time.Duration {
	left := deadline.Sub(now)
	return max(left-min(left/10, maxGrace), time.Millisecond)
}

// judge decides what an answer of a member means.
func (d *delivery) judge(a *answer) tried {
	t := tried{answer: a, outcome: Outcome{Load: readLoad(a.header)}, final: true}
	own := a.header.Get(HeaderOutcome)
	switch {
	case own == NotRun:
		t.outcome.Result = Refused
		t.notRun = true
		t.again = true
		t.final = a.status != http.StatusServiceUnavailable || a.rest != nil
	case own == Unknown && a.status != http.StatusConflict:
		t.outcome.Result = Failed
		if a.status == http.StatusGatewayTimeout {
			t.outcome.Result = Timeout
		}
		t.again = d.call.repeatable(d.request.Method)
		t.final = !t.again
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		t.outcome.Result = Shed
	case a.status >= http.StatusInternalServerError:
		t.outcome.Result = Failed
	}
	return t
}

// readLoad takes the load that a member reports out of the header.
func readLoad(h http.Header) int {
	load, err := strconv.Atoi(h.Get(HeaderLoad))
	h.Del(HeaderLoad)
	if err != nil || load < 0 {
		return -1
	}
	return load
}

// fail decides what an attempt without a whole answer means.
func (d *delivery) fail(ctx context.Context, addr string, err error, connected bool) tried {
	t := tried{outcome: Outcome{Load: -1, Result: failure(ctx)}}
	text := fmt.Sprintf("service %q at %s: %v", d.call.service.Name, addr, err)
	if connected {
		t.again = d.call.repeatable(d.request.Method)
		t.answer = refusal(http.StatusBadGateway, Unknown, "%s", text)
		return t
	}
	if ctx.Err() == nil {
		t.outcome.Result = Unreachable
	}
	t.notRun, t.again = true, true
	t.answer = refusal(http.StatusServiceUnavailable, NotRun, "%s", text)
	return t
}
