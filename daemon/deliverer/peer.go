package deliverer

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/courier"
)

// Headers between daemons. Each holds several fields to keep calls between failure domains small.
const (
	// headerCall holds service, class, milliseconds until the deadline, milliseconds until the target (empty if there is
	// none), route, whether the call may run more than once, and whether its caller is retrying.
	headerCall = "Bluebell-Order"
	// headerResult holds outcome, load, whether the call was sent to the upstream, and reason.
	headerResult = "Bluebell-Result"
	// headerTenant holds the name of the tenant of a call.
	headerTenant = "Bluebell-Tenant"

	fieldSeparator = ";"
	callFields     = 7
	resultFields   = 4
)

// errPeerHeader is returned for a call from another daemon with invalid headers.
var errPeerHeader = errors.New("invalid header from another daemon")

// IsRoutedCall reports whether a request from another daemon is a routed call.
func IsRoutedCall(r *http.Request) bool {
	return r.Header.Get(headerCall) != ""
}

// Pack returns the call as a request to another daemon.
func (c Call) Pack() *courier.Request {
	request := *c.Request
	request.Header = request.Header.Clone()
	target := ""
	if !c.Target.IsZero() {
		target = millis(time.Until(c.Target))
	}
	request.Header.Set(headerCall, strings.Join([]string{
		c.Service, c.Class, millis(time.Until(c.Deadline)), target, url.QueryEscape(c.Route), strconv.FormatBool(c.Retryable),
		strconv.FormatBool(c.CallerRetry),
	}, fieldSeparator))
	request.Header.Del(headerTenant)
	if c.Tenant != "" {
		request.Header.Set(headerTenant, c.Tenant)
	}
	if arrival := budgeter.EncodeArrival(c.Kind, c.Started, time.Now()); arrival != "" {
		request.Header.Set(budgeter.HeaderArrival, arrival)
	}
	return &request
}

func millis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// unpackCall returns the call in a request from another daemon, without its body.
func unpackCall(r *http.Request, now time.Time) (Call, error) {
	fields := strings.Split(r.Header.Get(headerCall), fieldSeparator)
	if len(fields) != callFields {
		return Call{}, fmt.Errorf("%w: %d fields", errPeerHeader, len(fields))
	}
	c := Call{
		Request: &courier.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header},
		Service: fields[0],
		Class:   fields[1],
		Tenant:  r.Header.Get(headerTenant),
	}
	left, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return Call{}, fmt.Errorf("%w: deadline: %v", errPeerHeader, err)
	}
	c.Deadline = now.Add(time.Duration(left) * time.Millisecond)
	if fields[3] != "" {
		if left, err = strconv.ParseInt(fields[3], 10, 64); err != nil {
			return Call{}, fmt.Errorf("%w: target: %v", errPeerHeader, err)
		}
		c.Target = now.Add(time.Duration(left) * time.Millisecond)
	}
	if c.Route, err = url.QueryUnescape(fields[4]); err != nil {
		return Call{}, fmt.Errorf("%w: route: %v", errPeerHeader, err)
	}
	if c.Retryable, err = strconv.ParseBool(fields[5]); err != nil {
		return Call{}, fmt.Errorf("%w: repeat: %v", errPeerHeader, err)
	}
	if c.CallerRetry, err = strconv.ParseBool(fields[6]); err != nil {
		return Call{}, fmt.Errorf("%w: caller retry: %v", errPeerHeader, err)
	}
	if c.Kind, c.Started, err = budgeter.ParseArrival(r.Header.Get(budgeter.HeaderArrival), now); err != nil {
		return Call{}, fmt.Errorf("%w: %w", errPeerHeader, err)
	}
	courier.RemoveHopByHop(r.Header)
	courier.RemoveDaemonHeaders(r.Header)
	return c, nil
}

func (r Result) write(w http.ResponseWriter) {
	h := w.Header()
	status := http.StatusServiceUnavailable
	if r.Answer != nil {
		status = r.Answer.Status
		for name, values := range r.Answer.Header {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from setting a detected type
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	h.Set(headerResult, strings.Join([]string{
		string(r.Outcome), strconv.Itoa(r.Load), strconv.FormatBool(r.Sent), r.Reason,
	}, fieldSeparator))
	if r.OverBudget {
		h.Set(budgeter.HeaderOverBudget, "true")
	}
	if r.Answer == nil {
		w.WriteHeader(status)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(r.Answer.Body)))
	w.WriteHeader(status)
	_, _ = w.Write(r.Answer.Body) // on an error the other daemon sees a truncated body
}

// UnpackResult returns the result in an answer from another daemon, and false if the answer holds no valid result.
func UnpackResult(answer *courier.Answer) (Result, bool) {
	fields := strings.SplitN(answer.Header.Get(headerResult), fieldSeparator, resultFields)
	if len(fields) != resultFields {
		return Result{}, false
	}
	load, err := strconv.Atoi(fields[1])
	if err != nil {
		return Result{}, false
	}
	r := Result{
		Outcome: Outcome(fields[0]), Load: load, Sent: fields[2] == "true", Reason: fields[3],
		OverBudget: answer.Header.Get(budgeter.HeaderOverBudget) != "",
	}
	switch r.Outcome {
	case Answered:
		courier.RemoveHopByHop(answer.Header)
		courier.RemoveDaemonHeaders(answer.Header)
		r.Answer = &courier.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	case NotRun, Unknown:
	default:
		return Result{}, false
	}
	return r, true
}
