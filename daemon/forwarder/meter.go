package forwarder

import (
	"strconv"
	"time"
)

// countCall records the time of one call on the egress side.
func (f *Forwarder) countCall(batch, class string, took time.Duration) {
	f.set.GetOrCreateHistogram(`bluebell_call_seconds{batch="` + batch + `",class="` + class + `"}`).Update(took.Seconds())
}

// countRefusal records an answer that the daemon gave itself.
func (f *Forwarder) countRefusal(side string, status int) {
	f.set.GetOrCreateCounter(`bluebell_refusals_total{side="` + side + `",status="` + strconv.Itoa(status) + `"}`).Inc()
}

// countRetry records one more attempt of a call, or one that the budget denied.
func (f *Forwarder) countRetry(service string, denied bool) {
	name := "bluebell_retries_total"
	if denied {
		name = "bluebell_retries_denied_total"
	}
	f.set.GetOrCreateCounter(name + `{service="` + service + `"}`).Inc()
}
