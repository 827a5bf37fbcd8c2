// Package tallier records the arrivals of calls at the local upstream, in metrics and in one log line per interval, so that
// the retries of all daemons can be counted afterwards in any window.
package tallier

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"bluebellhoist/daemon/budgeter"
)

// Interval is the time that one log line covers.
const Interval = 500 * time.Millisecond

// Message is the message of the log lines. `bluebellctl budget` reads them.
const Message = "arrivals"

// Tallier counts arrivals. Its methods may be called concurrently.
type Tallier struct {
	log hclog.Logger
	set *metrics.Set

	mu       sync.Mutex
	services map[string]*tally // the arrivals since the last log line
}

// tally holds the arrivals at the upstream of one service.
type tally struct {
	arrived [budgeter.Caused + 1]int // by kind
	refused int                      // retries and nested calls that the retry budget kept from the upstream
}

// Option configures a Tallier.
type Option func(*Tallier)

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(t *Tallier) { t.log = log }
}

// WithMetrics sets the metrics set. The default is the global set.
func WithMetrics(set *metrics.Set) Option {
	return func(t *Tallier) { t.set = set }
}

// New returns a tallier.
func New(opts ...Option) *Tallier {
	t := &Tallier{log: hclog.NewNullLogger(), set: metrics.GetDefaultSet(), services: map[string]*tally{}}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Count records that a call is sent to the upstream, or that the retry budget refuses it.
func (t *Tallier) Count(service string, kind budgeter.Kind, admitted bool) {
	name := fmt.Sprintf(`bluebell_arrivals_total{service=%q,kind=%q,admitted="%t"}`, service, kind, admitted)
	t.set.GetOrCreateCounter(name).Inc()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		s = &tally{}
		t.services[service] = s
	}
	if admitted {
		s.arrived[kind]++
	} else {
		s.refused++
	}
}

// Run logs the arrivals of each interval until ctx ends.
func (t *Tallier) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.report()
		case <-ctx.Done():
			t.report()
			return ctx.Err()
		}
	}
}

// report logs the arrivals since the last report.
func (t *Tallier) report() {
	t.mu.Lock()
	services := t.services
	t.services = map[string]*tally{}
	t.mu.Unlock()
	for service, s := range services {
		t.log.Info(Message, "service", service, "first", s.arrived[budgeter.First]+s.arrived[budgeter.Nested],
			"retry", s.arrived[budgeter.Retry], "caused", s.arrived[budgeter.Caused], "refused", s.refused)
	}
}
