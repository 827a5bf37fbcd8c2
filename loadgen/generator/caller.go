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

// Outcomes in the Bluebell-Outcome header.
const (
	NotRun  = "not-run"
	Unknown = "unknown"
)

// backoff is the wait before the first resend. It doubles with each.
const backoff = 50 * time.Millisecond

// Result is what became of one call.
type Result struct {
	Call     Call
	Status   int    // of the last answer; 0 if it was lost
	Outcome  string // Bluebell-Outcome of the last answer
	Replayed bool
	Fault    error // set if an answer was wrong or truncated
	Lost     int   // attempts without a whole answer
	Resent   int
	Refused  bool          // every attempt was refused as not run
	Response time.Duration // from the planned time
	Service  time.Duration // from the first send
	Cause    string        // why the last attempt was lost
}

// attempt is the answer to one send of a call.
type attempt struct {
	status   int
	outcome  string
	replayed bool
	fault    error
	lost     error
}

// run sends c, and resends a once call with the same key until its outcome is known or the attempts are used up.
func (g *Generator) run(ctx context.Context, c Call) Result {
	result := Result{Call: c, Refused: true}
	start := time.Now()
	for try := 0; ; try++ {
		a := g.send(ctx, c, c.Targets[try%len(c.Targets)])
		result.Status, result.Outcome, result.Replayed = a.status, a.outcome, a.replayed
		result.Refused = result.Refused && a.outcome == NotRun
		result.Fault = errors.Join(result.Fault, a.fault)
		if a.lost != nil {
			result.Lost++
			result.Cause = a.lost.Error()
		}
		open := a.lost != nil || a.outcome == Unknown
		if !open || !c.Service.Once || try+1 >= g.attempts || !waiter.Slept(ctx, backoff<<try) {
			break
		}
		result.Resent++
	}
	result.Service = time.Since(start)
	result.Response = time.Since(c.Due)
	return result
}

func (g *Generator) send(ctx context.Context, c Call, target netip.AddrPort) attempt {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	req, err := newRequest(ctx, c, target)
	if err != nil {
		return attempt{lost: err}
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return attempt{lost: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		// The break is visible to the caller, so the answer is lost and not truncated.
		return attempt{lost: err}
	}
	return attempt{
		status:   resp.StatusCode,
		outcome:  resp.Header.Get("Bluebell-Outcome"),
		replayed: resp.Header.Get("Bluebell-Replayed") == "true",
		fault:    check(c, resp.StatusCode, body),
	}
}

func newRequest(ctx context.Context, c Call, target netip.AddrPort) (*http.Request, error) {
	// A body without GetBody keeps http.Transport from silently resending the request when a reused connection breaks.
	// A hidden resend would hide a lost answer from the checks.
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

// check reports an answer that is for another request or that looks whole and is not.
func check(c Call, status int, body []byte) error {
	request := echoer.New(c.Method, c.Path, c.Body)
	if status == http.StatusBadGateway {
		return checkNested(request, body)
	}
	if status != http.StatusOK {
		return nil
	}
	if c.Size >= 0 {
		return echoer.CheckSized(request, c.Size, body)
	}
	answer, err := echoer.Check(request, body)
	if err != nil {
		return err
	}
	if answer.Service != c.Service.Name {
		return fmt.Errorf("%w: from service %q, want %q", echoer.ErrWrong, answer.Service, c.Service.Name)
	}
	return nil
}

// checkNested finds a wrong or truncated answer that a stand-in got from the next service of a chain.
func checkNested(request echoer.Request, body []byte) error {
	answer, err := echoer.Check(request, body)
	if err != nil {
		// Daemons send 502 with a body of their own.
		return nil
	}
	for _, fault := range []error{echoer.ErrWrong, echoer.ErrTruncated} {
		if strings.Contains(answer.Error, fault.Error()) {
			return fmt.Errorf("%w: %s", fault, answer.Error)
		}
	}
	return nil
}
