package generator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"bluebellhoist/core/echoer"
	"bluebellhoist/core/waiter"
)

// Values of the Bluebell-Outcome header.
const (
	NotRun  = "not-run"
	Unknown = "unknown"
)

// initialBackoff is the delay before the first retry. It doubles with each further retry.
const initialBackoff = 50 * time.Millisecond

// Result is the outcome of one call.
type Result struct {
	Call         Call
	Status       int           // of the last attempt; 0 if its answer was lost
	Outcome      string        // Bluebell-Outcome header of the last attempt
	Replayed     bool          // Bluebell-Replayed header of the last attempt
	AnswerErr    error         // wrong or truncated answers of all attempts; nil if none
	Lost         int           // attempts without a complete answer
	Retries      int           // number of retries
	Refused      bool          // every attempt was refused with the outcome not-run
	ResponseTime time.Duration // from the planned start
	ServiceTime  time.Duration // from the first attempt
	LossReason   string        // error of the last attempt without a complete answer
}

// attempt is the result of sending a call once.
type attempt struct {
	status    int
	outcome   string
	replayed  bool
	answerErr error // the answer is wrong or truncated
	err       error // no complete answer was received
}

// callWithRetries sends c. It retries an at-most-once call with the same key until the outcome is known or no attempts
// are left.
func (g *Generator) callWithRetries(ctx context.Context, c Call) Result {
	result := Result{Call: c, Refused: true}
	start := time.Now()
	for attemptIndex := 0; ; attemptIndex++ {
		a := g.send(ctx, c, c.Targets[attemptIndex%len(c.Targets)])
		result.Status, result.Outcome, result.Replayed = a.status, a.outcome, a.replayed
		result.Refused = result.Refused && a.outcome == NotRun
		result.AnswerErr = errors.Join(result.AnswerErr, a.answerErr)
		if a.err != nil {
			result.Lost++
			result.LossReason = a.err.Error()
		}
		outcomeUnknown := a.err != nil || a.outcome == Unknown
		if !outcomeUnknown || !c.Service.AtMostOnce || attemptIndex+1 >= g.maxAttempts || !waiter.SleepCompleted(ctx, initialBackoff<<attemptIndex) {
			break
		}
		result.Retries++
	}
	result.ServiceTime = time.Since(start)
	result.ResponseTime = time.Since(c.Due)
	return result
}

// send makes one attempt at c.
func (g *Generator) send(ctx context.Context, c Call, target netip.AddrPort) attempt {
	ctx, cancel := context.WithTimeout(ctx, g.attemptTimeout)
	defer cancel()
	req, err := newRequest(ctx, c, target)
	if err != nil {
		return attempt{err: err}
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return attempt{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		// The caller sees the broken connection, so the answer counts as lost, not as truncated.
		return attempt{err: err}
	}
	return attempt{
		status:    resp.StatusCode,
		outcome:   resp.Header.Get("Bluebell-Outcome"),
		replayed:  resp.Header.Get("Bluebell-Replayed") == "true",
		answerErr: checkAnswer(c, resp.StatusCode, body),
	}
}

func newRequest(ctx context.Context, c Call, target netip.AddrPort) (*http.Request, error) {
	// Without GetBody, http.Transport cannot retry the request by itself when a reused connection breaks. Such a retry
	// would hide a lost answer from the checks.
	body := io.NopCloser(bytes.NewReader(c.Body))
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+target.String()+c.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body))
	req.Host = c.Service.Name
	req.Header.Set("Idempotency-Key", c.Key)
	return req, nil
}

// checkAnswer returns an error if the answer belongs to another request, or is truncated although no read error
// occurred.
func checkAnswer(c Call, status int, body []byte) error {
	request := echoer.New(c.Method, c.Path, c.Body)
	if status == http.StatusBadGateway {
		return checkNested(request, body)
	}
	if status != http.StatusOK {
		return nil
	}
	if c.AnswerSize >= 0 {
		return echoer.CheckSized(request, c.AnswerSize, body)
	}
	answer, err := echoer.Check(request, body)
	if err != nil {
		return err
	}
	if answer.Service != c.Service.Name {
		return fmt.Errorf("%w: answered by service %q, want %q", echoer.ErrWrong, answer.Service, c.Service.Name)
	}
	return nil
}

// checkNested returns an error if a stand-in reports a wrong or truncated answer from the next service of the chain.
func checkNested(request echoer.Request, body []byte) error {
	answer, err := echoer.Check(request, body)
	if err != nil {
		// The 502 comes from a daemon, whose body is no stand-in answer.
		return nil
	}
	for _, known := range []error{echoer.ErrWrong, echoer.ErrTruncated} {
		if strings.Contains(answer.Error, known.Error()) {
			return fmt.Errorf("%w: %s", known, answer.Error)
		}
	}
	return nil
}
