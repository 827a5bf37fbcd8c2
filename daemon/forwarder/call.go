package forwarder

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/budgeter"
)

// egressCall is a validated call on the egress side.
type egressCall struct {
	batch    string
	service  wire.Service
	class    string
	depth    int
	key      string // canonical idempotency key; set only if the service runs each call at most once
	deadline time.Time
	started  time.Time
	kind     budgeter.Kind // kind of the first arrival at an upstream
}

// admitEgress validates a call that arrived at the given time, before anything is sent.
func (f *Forwarder) admitEgress(r *http.Request, now time.Time) (*egressCall, *answer) {
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no chunked encoding, so the caller could not detect that a long response was truncated.
		return nil, errorResponse(http.StatusHTTPVersionNotSupported, OutcomeNotRun, "%s is not supported", r.Proto)
	}
	if r.Method == http.MethodConnect {
		return nil, errorResponse(http.StatusMethodNotAllowed, OutcomeNotRun, "method CONNECT is not supported")
	}
	c, errAnswer := f.route(r.Host)
	if errAnswer != nil {
		return nil, errAnswer
	}
	c.started = now
	if errAnswer := c.readHeader(r.Header, now); errAnswer != nil {
		return nil, errAnswer
	}
	if f.outlastsStop(c.deadline, r.Header) {
		return nil, errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "the daemon is stopping")
	}
	if !c.service.Once {
		return c, nil
	}
	if r.ContentLength > maxOnceBodyBytes {
		return nil, errorResponse(http.StatusRequestEntityTooLarge, OutcomeNotRun, "body has %d bytes, limit %d", r.ContentLength, maxOnceBodyBytes)
	}
	id, errAnswer := parseKey(r.Header)
	if errAnswer != nil {
		return nil, errAnswer
	}
	c.key = id.String()
	return c, checkKeyAge(id, now)
}

// startCall counts a call that a run makes, going by the headers that its upstream passes on from the call that it runs.
func (f *Forwarder) startCall(c *egressCall, h http.Header) *answer {
	parentID := h.Get(HeaderAttempt)
	if parentID == "" {
		return nil
	}
	parentKind, _, err := budgeter.ParseArrival(h.Get(HeaderArrival), c.started)
	if err != nil {
		return errorResponse(http.StatusBadRequest, OutcomeNotRun, "%v", err)
	}
	if c.kind, err = f.budget.StartNestedCall(parentID, parentKind.IsRetry(), c.service.Name); err != nil {
		return errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "service %q: %v", c.service.Name, err)
	}
	return nil
}

// route looks up the service that the host names.
func (f *Forwarder) route(host string) (*egressCall, *answer) {
	name := serviceName(host)
	snapshot := f.snapshot()
	if snapshot == nil {
		return nil, errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "no configuration yet")
	}
	batch := snapshot.Batch().Name
	if !snapshot.InForce(time.Now()) {
		return nil, errorResponse(http.StatusGone, OutcomeNotRun, "batch %q has expired", batch)
	}
	service, ok := snapshot.Service(name)
	if !ok {
		return nil, errorResponse(http.StatusNotFound, OutcomeNotRun, "service %q is not in batch %q", name, batch)
	}
	return &egressCall{batch: batch, service: service, class: service.Class}, nil
}

// serviceName returns the service that a host names: the host without its port and without the suffix .mesh.
func serviceName(host string) string {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	return strings.TrimSuffix(strings.ToLower(host), ".mesh")
}

// readHeader applies the deadline, class and depth that the caller passes on from the call it is serving.
func (c *egressCall) readHeader(h http.Header, now time.Time) *answer {
	remaining, errAnswer := readDeadline(h, c.service.Limit)
	if errAnswer != nil {
		return errAnswer
	}
	c.deadline = now.Add(remaining)
	if class := h.Get(HeaderClass); class != "" {
		if !slices.Contains(compiler.Classes(), class) {
			return errorResponse(http.StatusBadRequest, OutcomeNotRun, "%s: %q is not urgent, normal or bulk", HeaderClass, class)
		}
		c.class = lowerPriority(c.class, class)
	}
	return c.readDepth(h)
}

// readDeadline returns the time remaining for a call according to HeaderDeadline, at most limit.
func readDeadline(h http.Header, limit time.Duration) (time.Duration, *answer) {
	value := h.Get(HeaderDeadline)
	if value == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, errorResponse(http.StatusBadRequest, OutcomeNotRun, "%s: %q is not a number of milliseconds", HeaderDeadline, value)
	}
	if ms <= 0 {
		return 0, errorResponse(http.StatusGatewayTimeout, OutcomeNotRun, "the deadline has passed")
	}
	if ms > limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (c *egressCall) readDepth(h http.Header) *answer {
	value := h.Get(HeaderDepth)
	if value == "" {
		c.depth = 1
		return nil
	}
	depth, err := strconv.Atoi(value)
	if err != nil || depth < 0 {
		return errorResponse(http.StatusBadRequest, OutcomeNotRun, "%s: %q is not a valid call depth", HeaderDepth, value)
	}
	if depth >= maxDepth {
		return errorResponse(http.StatusLoopDetected, OutcomeNotRun, "the call depth exceeds %d", maxDepth)
	}
	c.depth = depth + 1
	return nil
}

// lowerPriority returns the class with the lower priority.
func lowerPriority(a, b string) string {
	classes := compiler.Classes()
	return classes[max(slices.Index(classes, a), slices.Index(classes, b))]
}

// retryable reports whether a call may be sent again although an earlier attempt may have run. A call that needs a
// claim may be, because the claim is granted to only one attempt.
func (c *egressCall) retryable(method string) bool {
	return c.service.Once || isIdempotent(method)
}

func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
