package dispatcher

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/deliverer"
)

// measure counts the end of a call and its time, by class and service.
func (c *call) measure(status int, took time.Duration) {
	name := fmt.Sprintf(`bluebell_route_seconds{class=%q,service=%q}`, c.class(), c.service)
	metrics.GetOrCreateHistogram(name).Update(took.Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_route_answers_total{service=%q,status="%d"}`, c.service, status)).Inc()
}

// measureAttempt counts one attempt by what is known about it, and by whether it left the failure domain.
func (c *call) measureAttempt(member wire.Member, r deliverer.Result) {
	domain := "other"
	if member.Domain == c.d.domain {
		domain = "own"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_route_attempts_total{service=%q,outcome=%q,arrived="%t",domain=%q}`,
		c.service, string(r.Outcome), r.Arrived, domain)).Inc()
	if r.Answer != nil {
		metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_route_bytes_total{service=%q,domain=%q}`, c.service, domain)).
			Add(len(r.Answer.Body))
	}
}

// measureAgain counts a call that was not sent again, by reason.
func (c *call) measureAgain() {
	if c.again != "" {
		metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_route_not_repeated_total{service=%q,reason=%q}`, c.service, c.again)).Inc()
	}
}
