package dispatcher

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/deliverer"
)

// recordCall records the duration of a call by class and service, and its status by service.
func (c *call) recordCall(status int, took time.Duration) {
	name := fmt.Sprintf(`bluebell_route_seconds{class=%q,service=%q}`, c.class(), c.service)
	metrics.GetOrCreateHistogram(name).Update(took.Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_route_answers_total{service=%q,status="%d"}`, c.service, status)).Inc()
}

// recordAttempt counts an attempt and the bytes of its answer, by outcome and by whether it left the failure domain.
func (c *call) recordAttempt(member wire.Member, r deliverer.Result) {
	domain := "other"
	if member.Domain == c.d.domain {
		domain = "own"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_route_attempts_total{service=%q,outcome=%q,arrived="%t",domain=%q}`,
		c.service, string(r.Outcome), r.Sent, domain)).Inc()
	if r.Answer != nil {
		metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_route_bytes_total{service=%q,domain=%q}`, c.service, domain)).
			Add(len(r.Answer.Body))
	}
}

// recordNoRetry counts a call that was not retried, by reason.
func (c *call) recordNoRetry() {
	if c.noRetryReason != "" {
		metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_route_not_repeated_total{service=%q,reason=%q}`, c.service, c.noRetryReason)).Inc()
	}
}
