package courier

import (
	"net/http"
	"net/textproto"
	"strings"
)

// HeaderOutcome tells a caller whether a call that a daemon did not pass on may have run.
const HeaderOutcome = ownPrefix + "Outcome"

// ownPrefix begins the headers that only daemons set.
const ownPrefix = "Bluebell-"

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that concern one connection only.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// RemoveOwn removes the headers that only daemons set.
func RemoveOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
}
