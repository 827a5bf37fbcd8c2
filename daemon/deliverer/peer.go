package deliverer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bluebellhoist/daemon/courier"
)

// Headers between daemons.
const (
	headerService = "Bluebell-Service"
	headerClass   = "Bluebell-Class"
	headerLeft    = "Bluebell-Left"        // milliseconds until the deadline
	headerTarget  = "Bluebell-Target-Left" // milliseconds until the target, negative if it has passed; absent if there is none
	headerKind    = "Bluebell-Kind"
	headerRepeat  = "Bluebell-Repeat"
	headerHost    = "Bluebell-Host" // host that the caller named
	headerOutcome = "Bluebell-Outcome"
	headerReason  = "Bluebell-Reason"
	headerLoad    = "Bluebell-Load"
	headerArrived = "Bluebell-Arrived"
	headerTimeout = "Bluebell-Timeout"
)

// Host marks a routed call among the calls of other daemons. No service can have this name.
const Host = "_route"

// maxBody bounds the body of a call between daemons in bytes.
const maxBody = 64 << 20

// errHeader reports a call between daemons whose headers cannot be used.
var errHeader = errors.New("invalid header of a daemon")

// Pack returns the order as a request to another daemon.
func (o Order) Pack() *courier.Request {
	request := *o.Request
	request.Header = request.Header.Clone()
	request.Header.Set(headerService, o.Service)
	request.Header.Set(headerClass, o.Class)
	request.Header.Set(headerLeft, strconv.FormatInt(time.Until(o.Deadline).Milliseconds(), 10))
	if !o.Target.IsZero() {
		request.Header.Set(headerTarget, strconv.FormatInt(time.Until(o.Target).Milliseconds(), 10))
	}
	request.Header.Set(headerKind, o.Kind)
	request.Header.Set(headerRepeat, strconv.FormatBool(o.Repeat))
	request.Header.Set(headerHost, request.Host)
	request.Host = Host
	return &request
}

// unpack returns the order in a request of another daemon.
func unpack(r *http.Request) (Order, error) {
	h := r.Header
	left, err := strconv.ParseInt(h.Get(headerLeft), 10, 64)
	if err != nil {
		return Order{}, fmt.Errorf("%w: %s: %v", errHeader, headerLeft, err)
	}
	repeat, err := strconv.ParseBool(h.Get(headerRepeat))
	if err != nil {
		return Order{}, fmt.Errorf("%w: %s: %v", errHeader, headerRepeat, err)
	}
	o := Order{
		Request:  &courier.Request{Method: r.Method, Target: r.RequestURI, Host: h.Get(headerHost), Header: h},
		Service:  h.Get(headerService),
		Class:    h.Get(headerClass),
		Deadline: time.Now().Add(time.Duration(left) * time.Millisecond),
		Kind:     h.Get(headerKind),
		Repeat:   repeat,
	}
	if text := h.Get(headerTarget); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return Order{}, fmt.Errorf("%w: %s: %v", errHeader, headerTarget, err)
		}
		o.Target = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	o.Request.Body, err = io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return Order{}, fmt.Errorf("body: %w", err)
	}
	courier.RemoveHopByHop(h)
	courier.RemoveOwn(h)
	return o, nil
}

// ServeHTTP answers a call of another daemon.
func (d *Deliverer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o, err := unpack(r)
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
	h.Set(headerOutcome, string(r.Outcome))
	h.Set(headerReason, r.Reason)
	h.Set(headerLoad, strconv.Itoa(r.Load))
	h.Set(headerArrived, strconv.FormatBool(r.Arrived))
	h.Set(headerTimeout, strconv.FormatBool(r.Timeout))
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
	h := a.Header
	load, err := strconv.Atoi(h.Get(headerLoad))
	if err != nil {
		load = -1
	}
	r := Result{
		Outcome: Outcome(h.Get(headerOutcome)), Reason: h.Get(headerReason), Load: load,
		Arrived: h.Get(headerArrived) == "true", Timeout: h.Get(headerTimeout) == "true",
	}
	switch r.Outcome {
	case Answered:
		courier.RemoveHopByHop(h)
		courier.RemoveOwn(h)
		r.Answer = &courier.Answer{Status: a.Status, Header: h, Body: a.Body}
	case NotRun, Unknown:
	default:
		return Result{}, false
	}
	return r, true
}
