package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"bluebellhoist/core/echoer"
	"bluebellhoist/core/waiter"
	"bluebellhoist/soak/judge"
)

const (
	// callDeadline is the deadline that callers send with a call, and clientTimeout the time they wait for its answer.
	callDeadline  = 3 * time.Second
	clientTimeout = 4 * time.Second
	// maxAttempts is the maximum number of attempts of a call with an idempotency key whose outcome is unknown.
	maxAttempts = 3
	// One in largeAnswerEvery calls has an answer of largeAnswerSize bytes. The others have less than smallAnswerLimit.
	largeAnswerEvery                  = 40
	largeAnswerSize, smallAnswerLimit = 200 << 10, 600
)

// callSpec describes one call and its expected answer.
type callSpec struct {
	method, target, host string
	port                 uint16
	body                 []byte
	answerSize           int    // in bytes
	id, key              string // key is the idempotency key; empty for none
	atMostOnce           bool
}

// generateCalls sends calls at random intervals, at the rate of the settings on average, until ctx ends. It returns once
// all calls have ended.
func (r *Runner) generateCalls(ctx context.Context, rng *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	meanInterval := float64(time.Second) / r.settings.CallsPerSecond
	for n := 1; waiter.SleepCompleted(ctx, time.Duration(rng.ExpFloat64()*meanInterval)); n++ {
		spec := r.newCall(rng, n)
		firstDaemon := rng.IntN(len(r.daemons))
		calls.Add(1)
		go func() {
			defer calls.Done()
			r.runCall(spec, firstDaemon)
		}()
	}
}

// newCall returns the n-th call of a soak: a repeatable routed call, a non-repeatable routed call, or a service call with
// an idempotency key.
func (r *Runner) newCall(rng *rand.Rand, n int) callSpec {
	spec := callSpec{method: http.MethodGet, host: "soak.example", port: portRoutes, id: fmt.Sprintf("%d-%d", r.settings.Seed, n)}
	spec.answerSize = rng.IntN(smallAnswerLimit)
	if n%largeAnswerEvery == 0 {
		spec.answerSize = largeAnswerSize
	}
	prefix := "/look/"
	switch kind := rng.IntN(10); {
	case kind < 3:
		spec.method, spec.atMostOnce, prefix = http.MethodPost, true, "/pay/"
	case kind < 5:
		spec.method, spec.atMostOnce, spec.port, spec.host, prefix = http.MethodPost, true, portCalls, "payout", "/"
		spec.key = uuid.Must(uuid.NewV7()).String()
		spec.id = spec.key
	}
	if spec.method == http.MethodPost {
		spec.body = bytes.Repeat([]byte{byte('a' + n%26)}, rng.IntN(4096))
	}
	spec.target = fmt.Sprintf("%s%d?size=%d", prefix, n, spec.answerSize)
	return spec
}

// runCall makes a call and records its outcome. A call with an idempotency key is retried at the next daemon while its
// outcome is unknown.
func (r *Runner) runCall(spec callSpec, firstDaemon int) {
	c := judge.Call{ID: spec.id, AtMostOnce: spec.atMostOnce, Outcome: judge.Refused, Began: time.Now()}
	for i := range maxAttempts {
		d := r.daemons[(firstDaemon+i)%len(r.daemons)]
		c.Daemon = d.name
		outcome, connectionLost := r.attempt(spec, d)
		c.ConnectionLost = c.ConnectionLost || connectionLost
		if outcome != judge.Refused {
			c.Outcome = outcome // a refused attempt does not tell the outcome of earlier attempts
		}
		if outcome != judge.Unknown || spec.key == "" {
			break
		}
	}
	c.Ended = time.Now()
	r.checker.RecordCall(c)
}

// attempt makes one attempt of a call at a daemon. It returns the outcome, and whether the connection ended before a
// complete answer arrived.
func (r *Runner) attempt(spec callSpec, d *process) (judge.Outcome, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	url := "http://" + d.publicAddr(spec.port).String() + spec.target
	// NopCloser hides the type of the body, so that the request has no GetBody and the HTTP client cannot retry it.
	request, err := http.NewRequestWithContext(ctx, spec.method, url, io.NopCloser(bytes.NewReader(spec.body)))
	if err != nil {
		r.checker.RecordViolation("call %s: request not created: %v", spec.id, err)
		return judge.Unknown, false
	}
	request.ContentLength = int64(len(spec.body))
	request.Host = spec.host
	request.Header.Set(callIDHeader, spec.id)
	request.Header.Set("Bluebell-Deadline", fmt.Sprint(callDeadline.Milliseconds()))
	if spec.key != "" {
		request.Header.Set("Idempotency-Key", spec.key)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return judge.Unknown, !errors.Is(err, context.DeadlineExceeded)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return judge.Unknown, !errors.Is(err, context.DeadlineExceeded)
	}
	return r.classify(spec, d, response, body), false
}

// classify returns the outcome that a complete answer tells, and records answers that violate a guarantee.
func (r *Runner) classify(spec callSpec, d *process, response *http.Response, body []byte) judge.Outcome {
	outcome := response.Header.Get("Bluebell-Outcome")
	switch {
	case response.StatusCode == http.StatusOK:
		if err := echoer.CheckSized(echoer.New(spec.method, spec.target, spec.body), spec.answerSize, body); err != nil {
			r.checker.RecordViolation("call %s at %s: invalid answer: %v", spec.id, d.name, err)
		}
		return judge.Answered
	case response.StatusCode == http.StatusNotFound:
		r.checker.RecordViolation("call %s at %s: status 404 although every configuration contains the route", spec.id, d.name)
		return judge.Refused
	case outcome == "not-run":
		return judge.Refused
	case response.StatusCode == http.StatusServiceUnavailable:
		r.checker.RecordViolation("call %s at %s: status 503 with outcome %q instead of not-run", spec.id, d.name, outcome)
	}
	return judge.Unknown
}
