package forwarder

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/courier"
)

// Headers that daemons exchange with each other and with their callers and upstreams.
const (
	HeaderOutcome        = courier.HeaderOutcome
	HeaderDeadline       = "Bluebell-Deadline"
	HeaderClass          = "Bluebell-Class"
	HeaderDepth          = "Bluebell-Depth"
	HeaderAttempt        = "Bluebell-Attempt"
	HeaderBatch          = "Bluebell-Batch"
	HeaderOnce           = "Bluebell-Once"
	HeaderLoad           = "Bluebell-Load"
	HeaderReplayed       = "Bluebell-Replayed"
	HeaderArrival        = budgeter.HeaderArrival
	HeaderOverBudget     = budgeter.HeaderOverBudget
	HeaderIdempotencyKey = "Idempotency-Key"
)

const headerPrefix = "Bluebell-"

// removeHopByHop removes the hop-by-hop headers. It keeps "Te: trailers", because trailers are passed on.
func removeHopByHop(h http.Header) {
	acceptsTrailers := slices.ContainsFunc(h["Te"], func(line string) bool {
		return strings.Contains(strings.ToLower(line), "trailers")
	})
	courier.RemoveHopByHop(h)
	if acceptsTrailers {
		h.Set("Te", "trailers")
	}
}

// idempotencyHeaders are the headers that make net/http repeat requests on its own, whatever their method.
var idempotencyHeaders = []string{HeaderIdempotencyKey, "X-" + HeaderIdempotencyKey}

// hideKeyHeaders adds a prefix to the idempotency headers of a request to another daemon, so that net/http does not
// repeat it.
func hideKeyHeaders(h http.Header) {
	for _, name := range idempotencyHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[headerPrefix+name] = values
		}
	}
}

// restoreKeyHeaders restores the names of the idempotency headers on the ingress side.
func restoreKeyHeaders(h http.Header) {
	for _, name := range idempotencyHeaders {
		delete(h, name)
		if values, ok := h[headerPrefix+name]; ok {
			delete(h, headerPrefix+name)
			h[name] = values
		}
	}
}

// requestHeader returns the headers of a request that are passed to the next hop.
func requestHeader(r *http.Request) http.Header {
	h := r.Header.Clone()
	removeHopByHop(h)
	h.Del("Expect")
	h.Del("Content-Length")
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // prevents net/http from adding its own
	}
	return h
}

// appendForwarded appends the caller's address to X-Forwarded-For.
func appendForwarded(h http.Header, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	h.Set("X-Forwarded-For", strings.Join(append(h["X-Forwarded-For"], host), ", "))
}
