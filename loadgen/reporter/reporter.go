// Package reporter aggregates the results of a load into a report.
package reporter

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bluebellhoist/core/echoer"
	"bluebellhoist/loadgen/auditor"
	"bluebellhoist/loadgen/generator"
)

// maxExamples is the maximum number of answer errors, of causes of lost answers, and of lines per kind in the text report.
const maxExamples = 20

// Reporter aggregates results.
type Reporter struct {
	groups     map[groupKey]*counts
	answerErrs []string // first wrong or truncated answers
	causes     []string // first errors that lost an answer
}

// groupKey identifies the calls to one service, either through the mesh or direct.
type groupKey struct {
	way     string
	service string
}

// counts aggregates the results of one group.
type counts struct {
	calls, ok, replayed, lost, retries int
	wrong, truncated                   int
	statuses, outcomes                 map[string]int
	responseTime, serviceTime          *hdrhistogram.Histogram
}

// New returns a reporter.
func New() *Reporter {
	return &Reporter{groups: map[groupKey]*counts{}}
}

// Add counts one result.
func (r *Reporter) Add(result generator.Result) {
	key := groupKey{result.Call.Way, result.Call.Service.Name}
	c := r.groups[key]
	if c == nil {
		c = &counts{statuses: map[string]int{}, outcomes: map[string]int{}, responseTime: newHistogram(), serviceTime: newHistogram()}
		r.groups[key] = c
	}
	c.add(result)
	if result.AnswerErr != nil && len(r.answerErrs) < maxExamples {
		r.answerErrs = append(r.answerErrs, fmt.Sprintf("%s %s: %v", key.service, result.Call.Path, result.AnswerErr))
	}
	if result.LossReason != "" && len(r.causes) < maxExamples {
		r.causes = append(r.causes, fmt.Sprintf("%s %s: %s", key.service, result.Call.Path, result.LossReason))
	}
}

// newHistogram returns a histogram of 1 us to 10 min with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

func (c *counts) add(r generator.Result) {
	c.calls++
	c.lost += r.Lost
	c.retries += r.Retries
	status := "lost"
	if r.Status > 0 {
		status = strconv.Itoa(r.Status)
	}
	c.statuses[status]++
	if r.Outcome != "" {
		c.outcomes[r.Outcome]++
	}
	if r.Replayed {
		c.replayed++
	}
	if errors.Is(r.AnswerErr, echoer.ErrTruncated) {
		c.truncated++
	} else if r.AnswerErr != nil {
		c.wrong++
	}
	if r.Status != 200 || r.AnswerErr != nil {
		return
	}
	c.ok++
	// Only correct answers count towards latency, since fast refusals would lower it.
	recordLatency(c.responseTime, r.ResponseTime)
	recordLatency(c.serviceTime, r.ServiceTime)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range are clamped, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue()))
}

// Report is the result of a load.
type Report struct {
	Seed       uint64          `json:"seed"`
	Rate       float64         `json:"rate"`
	Seconds    float64         `json:"seconds"`
	Sent       int             `json:"sent"`
	Skipped    int             `json:"skipped"`
	Groups     []Group         `json:"groups"`
	Added      []AddedLatency  `json:"added"`
	Audit      auditor.Verdict `json:"audit"`
	Unread     []string        `json:"unread"`
	AnswerErrs []string        `json:"faults"`
	Causes     []string        `json:"causes"`
	Passed     bool            `json:"passed"`
}

// Group is the result of the calls to one service, either through the mesh or direct.
type Group struct {
	Way          string         `json:"way"`
	Service      string         `json:"service"`
	Calls        int            `json:"calls"`
	OK           int            `json:"ok"`
	Replayed     int            `json:"replayed"`
	Lost         int            `json:"lost"`
	Retries      int            `json:"resent"`
	Wrong        int            `json:"wrong"`
	Truncated    int            `json:"truncated"`
	Statuses     map[string]int `json:"statuses"`
	Outcomes     map[string]int `json:"outcomes"`
	ResponseTime Quantiles      `json:"response"` // from the planned start
	ServiceTime  Quantiles      `json:"time"`     // from the first attempt
}

// Quantiles are latencies in microseconds.
type Quantiles struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

// AddedLatency is the latency of calls through the mesh minus that of direct calls to the same service, in microseconds.
// Latencies are measured from the first attempt.
type AddedLatency struct {
	Service string `json:"service"`
	P50     int64  `json:"p50"`
	P90     int64  `json:"p90"`
	P99     int64  `json:"p99"`
	P999    int64  `json:"p999"`
}

// Report returns the report on all added results.
func (r *Reporter) Report(verdict auditor.Verdict) Report {
	report := Report{Audit: verdict, AnswerErrs: slices.Clone(r.answerErrs), Causes: slices.Clone(r.causes), Passed: len(verdict.Doubled)+len(verdict.Refused) == 0}
	direct := map[string]Quantiles{}
	for key, c := range r.groups {
		g := Group{
			Way: key.way, Service: key.service, Calls: c.calls, OK: c.ok, Replayed: c.replayed, Lost: c.lost, Retries: c.retries,
			Wrong: c.wrong, Truncated: c.truncated, Statuses: c.statuses, Outcomes: c.outcomes,
			ResponseTime: quantiles(c.responseTime), ServiceTime: quantiles(c.serviceTime),
		}
		report.Sent += c.calls
		report.Groups = append(report.Groups, g)
		report.Passed = report.Passed && c.wrong+c.truncated == 0
		if key.way == generator.Direct {
			direct[key.service] = g.ServiceTime
		}
	}
	slices.SortFunc(report.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Way, b.Way))
	})
	for _, g := range report.Groups {
		if d, ok := direct[g.Service]; ok && g.Way == generator.Mesh {
			t := g.ServiceTime
			report.Added = append(report.Added, AddedLatency{g.Service, t.P50 - d.P50, t.P90 - d.P90, t.P99 - d.P99, t.P999 - d.P999})
		}
	}
	return report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50:  h.ValueAtQuantile(50),
		P90:  h.ValueAtQuantile(90),
		P99:  h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9),
		Max:  h.Max(),
	}
}
