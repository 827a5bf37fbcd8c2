package forwarder

import (
	"strconv"
	"time"
)

// observeCall records the duration of a call on the egress side.
func (f *Forwarder) observeCall(batch, class string, took time.Duration) {
	f.metrics.GetOrCreateHistogram(`bluebell_call_seconds{batch="` + batch + `",class="` + class + `"}`).Update(took.Seconds())
}

// countErrorResponse counts an error response that the daemon generated itself.
func (f *Forwarder) countErrorResponse(side string, status int) {
	f.metrics.GetOrCreateCounter(`bluebell_refusals_total{side="` + side + `",status="` + strconv.Itoa(status) + `"}`).Inc()
}

// countRetry counts a retry of a call, or a retry that the budget denied.
func (f *Forwarder) countRetry(service string, denied bool) {
	name := "bluebell_retries_total"
	if denied {
		name = "bluebell_retries_denied_total"
	}
	f.metrics.GetOrCreateCounter(name + `{service="` + service + `"}`).Inc()
}
