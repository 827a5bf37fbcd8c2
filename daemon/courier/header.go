package courier

import (
	"net/http"
	"net/textproto"
	"strings"
)

// HeaderOutcome tells a caller whether a call that got no response from an upstream may have run.
const HeaderOutcome = daemonHeaderPrefix + "Outcome"

// daemonHeaderPrefix is the prefix of the headers that only daemons set.
const daemonHeaderPrefix = "Bluebell-"

// hopByHop lists the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that apply to one connection only, including those that Connection names.
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

// RemoveDaemonHeaders removes the headers that only daemons set.
func RemoveDaemonHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, daemonHeaderPrefix) {
			delete(h, name)
		}
	}
}
