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
)

// call is one call on the egress side.
type call struct {
	batch    string
	service  wire.Service
	class    string
	depth    int
	key      string // canonical idempotency key of a once call
	deadline time.Time
}

// admit checks a call before anything is sent.
func (f *Forwarder) admit(r *http.Request, now time.Time) (*call, *answer) {
	if !r.ProtoAtLeast(1, 1) {
		// Without chunks, HTTP/1.0 cannot show that a long answer broke off.
		return nil, refusal(http.StatusHTTPVersionNotSupported, NotRun, "%s is not supported", r.Proto)
	}
	if r.Method == http.MethodConnect {
		return nil, refusal(http.StatusMethodNotAllowed, NotRun, "method CONNECT is not supported")
	}
	c, refused := f.route(r.Host, now)
	if refused != nil {
		return nil, refused
	}
	if refused := c.readHeader(r.Header, now); refused != nil {
		return nil, refused
	}
	if !c.service.Once {
		return c, nil
	}
	if r.ContentLength > maxOnceBody {
		return nil, refusal(http.StatusRequestEntityTooLarge, NotRun, "body has %d bytes, limit %d", r.ContentLength, maxOnceBody)
	}
	id, refused := parseKey(r.Header)
	if refused != nil {
		return nil, refused
	}
	c.key = id.String()
	return c, checkKeyAge(id, now)
}

// route looks up the service that the host names.
func (f *Forwarder) route(host string, now time.Time) (*call, *answer) {
	name := serviceName(host)
	snapshot := f.snapshot()
	if snapshot == nil {
		return nil, refusal(http.StatusServiceUnavailable, NotRun, "no configuration yet")
	}
	batch := snapshot.Batch().Name
	if !snapshot.Covers(now) {
		return nil, refusal(http.StatusGone, NotRun, "batch %q has expired", batch)
	}
	service, ok := snapshot.Service(name)
	if !ok {
		return nil, refusal(http.StatusNotFound, NotRun, "service %q is not in batch %q", name, batch)
	}
	return &call{batch: batch, service: service, class: service.Class}, nil
}

// serviceName returns the service that a host names: without a port and the suffix .mesh.
func serviceName(host string) string {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	return strings.TrimSuffix(strings.ToLower(host), ".mesh")
}

// readHeader applies the deadline, class and depth that the caller got with its own call.
func (c *call) readHeader(h http.Header, now time.Time) *answer {
	left, refused := readDeadline(h, c.service.Limit)
	if refused != nil {
		return refused
	}
	c.deadline = now.Add(left)
	if class := h.Get(HeaderClass); class != "" {
		if !slices.Contains(compiler.Classes(), class) {
			return refusal(http.StatusBadRequest, NotRun, "%s: %q is not urgent, normal or bulk", HeaderClass, class)
		}
		c.class = lowerClass(c.class, class)
	}
	return c.readDepth(h)
}

// readDeadline returns the time left for a call, at most limit.
func readDeadline(h http.Header, limit time.Duration) (time.Duration, *answer) {
	value := h.Get(HeaderDeadline)
	if value == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, refusal(http.StatusBadRequest, NotRun, "%s: %q is not a number of milliseconds", HeaderDeadline, value)
	}
	if ms <= 0 {
		return 0, refusal(http.StatusGatewayTimeout, NotRun, "the deadline has passed")
	}
	if ms > limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (c *call) readDepth(h http.Header) *answer {
	value := h.Get(HeaderDepth)
	if value == "" {
		c.depth = 1
		return nil
	}
	depth, err := strconv.Atoi(value)
	if err != nil || depth < 0 {
		return refusal(http.StatusBadRequest, NotRun, "%s: %q is not a depth", HeaderDepth, value)
	}
	if depth >= maxDepth {
		return refusal(http.StatusLoopDetected, NotRun, "the chain of calls is longer than %d", maxDepth)
	}
	c.depth = depth + 1
	return nil
}

// lowerClass returns the class of lower priority.
func lowerClass(a, b string) string {
	classes := compiler.Classes()
	return classes[max(slices.Index(classes, a), slices.Index(classes, b))]
}

// repeatable reports whether a call may be sent again although an earlier attempt may have run. A once call may, since
// its claim is granted to one attempt only.
func (c *call) repeatable(method string) bool {
	return c.service.Once || idempotent(method)
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
