package forwarder

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"bluebellhoist/daemon/courier"
)

// Headers between daemons, and between daemons and their callers and upstreams.
const (
	HeaderOutcome  = courier.HeaderOutcome
	HeaderDeadline = "Bluebell-Deadline"
	HeaderClass    = "Bluebell-Class"
	HeaderDepth    = "Bluebell-Depth"
	HeaderAttempt  = "Bluebell-Attempt"
	HeaderBatch    = "Bluebell-Batch"
	HeaderOnce     = "Bluebell-Once"
	HeaderLoad     = "Bluebell-Load"
	HeaderReplayed = "Bluebell-Replayed"
	HeaderKey      = "Idempotency-Key"
)

const headerPrefix = "Bluebell-"

// removeHopByHop removes the headers that concern one connection only. Accepting trailers is announced again, since
// trailers are passed on.
func removeHopByHop(h http.Header) {
	trailers := slices.ContainsFunc(h["Te"], func(line string) bool {
		return strings.Contains(strings.ToLower(line), "trailers")
	})
	courier.RemoveHopByHop(h)
	if trailers {
		h.Set("Te", "trailers")
	}
}

// keyHeaders are the headers for which net/http repeats requests on its own, whatever their method.
var keyHeaders = []string{HeaderKey, "X-" + HeaderKey}

// wrapKeys renames the key headers for the way to another daemon, where net/http must not repeat a call.
func wrapKeys(h http.Header) {
	for _, name := range keyHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[headerPrefix+name] = values
		}
	}
}

// unwrapKeys restores the key headers on the ingress side.
func unwrapKeys(h http.Header) {
	for _, name := range keyHeaders {
		delete(h, name)
		if values, ok := h[headerPrefix+name]; ok {
			delete(h, headerPrefix+name)
			h[name] = values
		}
	}
}

// requestHeader returns the header for the next hop.
func requestHeader(r *http.Request) http.Header {
	h := r.Header.Clone()
	removeHopByHop(h)
	h.Del("Expect")
	h.Del("Content-Length")
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // keeps net/http from adding its own
	}
	return h
}

// appendForwarded adds the caller's address to X-Forwarded-For.
func appendForwarded(h http.Header, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	h.Set("X-Forwarded-For", strings.Join(append(h["X-Forwarded-For"], host), ", "))
}
