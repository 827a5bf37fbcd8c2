package deliverer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"bluebellhoist/daemon/courier"
)

// Headers between daemons. Each holds several fields, since every byte of a call between failure domains counts.
const (
	// headerOrder holds service, class, milliseconds until the deadline, milliseconds until the target (empty if there
	// is none), kind, whether the call may run more than once, and whether its caller has come back.
	headerOrder = "Bluebell-Order"
	// headerResult holds outcome, load, whether the upstream was sent the call, and reason.
	headerResult = "Bluebell-Result"

	separator    = ";"
	orderFields  = 7
	resultFields = 4
)

// maxBody bounds the body of a call between daemons in bytes.
const maxBody = 64 << 20

// errHeader reports a call between daemons whose headers cannot be used.
var errHeader = errors.New("invalid header of a daemon")

// Routed reports whether a request of another daemon is a routed call.
func Routed(r *http.Request) bool {
	return r.Header.Get(headerOrder) != ""
}

// Pack returns the order as a request to another daemon.
func (o Order) Pack() *courier.Request {
	request := *o.Request
	request.Header = request.Header.Clone()
	target := ""
	if !o.Target.IsZero() {
		target = millis(time.Until(o.Target))
	}
	request.Header.Set(headerOrder, strings.Join([]string{
		o.Service, o.Class, millis(time.Until(o.Deadline)), target, url.QueryEscape(o.Kind), strconv.FormatBool(o.Repeat), strconv.FormatBool(o.Again),
	}, separator))
	return &request
}

func millis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// unpack returns the order in a request of another daemon.
func unpack(r *http.Request, now time.Time) (Order, error) {
	fields := strings.Split(r.Header.Get(headerOrder), separator)
	if len(fields) != orderFields {
		return Order{}, fmt.Errorf("%w: %d fields", errHeader, len(fields))
	}
	o := Order{
		Request: &courier.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header},
		Service: fields[0],
		Class:   fields[1],
	}
	left, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return Order{}, fmt.Errorf("%w: deadline: %v", errHeader, err)
	}
	o.Deadline = now.Add(time.Duration(left) * time.Millisecond)
	if fields[3] != "" {
		if left, err = strconv.ParseInt(fields[3], 10, 64); err != nil {
			return Order{}, fmt.Errorf("%w: target: %v", errHeader, err)
		}
		o.Target = now.Add(time.Duration(left) * time.Millisecond)
	}
	if o.Kind, err = url.QueryUnescape(fields[4]); err != nil {
		return Order{}, fmt.Errorf("%w: kind: %v", errHeader, err)
	}
	if o.Repeat, err = strconv.ParseBool(fields[5]); err != nil {
		return Order{}, fmt.Errorf("%w: repeat: %v", errHeader, err)
	}
	if o.Again, err = strconv.ParseBool(fields[6]); err != nil {
		return Order{}, fmt.Errorf("%w: again: %v", errHeader, err)
	}
	if o.Request.Body, err = io.ReadAll(io.LimitReader(r.Body, maxBody)); err != nil {
		return Order{}, fmt.Errorf("body: %w", err)
	}
	courier.RemoveHopByHop(r.Header)
	courier.RemoveOwn(r.Header)
	return o, nil
}

// ServeHTTP answers a call of another daemon.
func (d *Deliverer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o, err := unpack(r, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.Deliver(r.Context(), o).write(w)
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
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	h.Set(headerResult, strings.Join([]string{
		string(r.Outcome), strconv.Itoa(r.Load), strconv.FormatBool(r.Arrived), r.Reason,
	}, separator))
	if r.Answer == nil {
		w.WriteHeader(status)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(r.Answer.Body)))
	w.WriteHeader(status)
	_, _ = w.Write(r.Answer.Body) // the other daemon sees a body that is too short
}

// Unpack returns the result in an answer of another daemon, and false if it is none.
func Unpack(a *courier.Answer) (Result, bool) {
	fields := strings.SplitN(a.Header.Get(headerResult), separator, resultFields)
	if len(fields) != resultFields {
		return Result{}, false
	}
	load, err := strconv.Atoi(fields[1])
	if err != nil {
		return Result{}, false
	}
	r := Result{
		Outcome: Outcome(fields[0]), Load: load, Arrived: fields[2] == "true", Reason: fields[3],
	}
	switch r.Outcome {
	case Answered:
		courier.RemoveHopByHop(a.Header)
		courier.RemoveOwn(a.Header)
		r.Answer = &courier.Answer{Status: a.Status, Header: a.Header, Body: a.Body}
	case NotRun, Unknown:
	default:
		return Result{}, false
	}
	return r, true
}
