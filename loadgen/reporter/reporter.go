// Package reporter collects the results of a load and writes them as JSON and as text.
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

// maxExamples is how many faults and causes are listed in full.
const maxExamples = 20

// Reporter collects results.
type Reporter struct {
	groups map[group]*counts
	faults []string
	causes []string
}

type group struct {
	way     string
	service string
}

type counts struct {
	calls, ok, replayed, lost, resent int
	wrong, truncated                  int
	statuses, outcomes                map[string]int
	response, service                 *hdrhistogram.Histogram
}

// New returns a reporter.
func New() *Reporter {
	return &Reporter{groups: map[group]*counts{}}
}

// Add counts one result.
func (r *Reporter) Add(result generator.Result) {
	at := group{result.Call.Way, result.Call.Service.Name}
	c := r.groups[at]
	if c == nil {
		c = &counts{statuses: map[string]int{}, outcomes: map[string]int{}, response: newHistogram(), service: newHistogram()}
		r.groups[at] = c
	}
	c.add(result)
	if result.Fault != nil && len(r.faults) < maxExamples {
		r.faults = append(r.faults, fmt.Sprintf("%s %s: %v", at.service, result.Call.Path, result.Fault))
	}
	if result.Cause != "" && len(r.causes) < maxExamples {
		r.causes = append(r.causes, fmt.Sprintf("%s %s: %s", at.service, result.Call.Path, result.Cause))
	}
}

// newHistogram covers 1 us to 10 min with three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

func (c *counts) add(r generator.Result) {
	c.calls++
	c.lost += r.Lost
	c.resent += r.Resent
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
	if errors.Is(r.Fault, echoer.ErrTruncated) {
		c.truncated++
	} else if r.Fault != nil {
		c.wrong++
	}
	if r.Status != 200 || r.Fault != nil {
		return
	}
	c.ok++
	// Only correct answers count towards latency, so that quick refusals do not improve it.
	record(c.response, r.Response)
	record(c.service, r.Service)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range are clamped, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue()))
}

// Report is the outcome of a load.
type Report struct {
	Seed    uint64          `json:"seed"`
	Rate    float64         `json:"rate"`
	Seconds float64         `json:"seconds"`
	Sent    int             `json:"sent"`
	Skipped int             `json:"skipped"`
	Groups  []Group         `json:"groups"`
	Added   []Added         `json:"added"`
	Audit   auditor.Verdict `json:"audit"`
	Unread  []string        `json:"unread"`
	Faults  []string        `json:"faults"`
	Causes  []string        `json:"causes"`
	Passed  bool            `json:"passed"`
}

// Group is the outcome of the calls to one service on one way.
type Group struct {
	Way       string         `json:"way"`
	Service   string         `json:"service"`
	Calls     int            `json:"calls"`
	OK        int            `json:"ok"`
	Replayed  int            `json:"replayed"`
	Lost      int            `json:"lost"`
	Resent    int            `json:"resent"`
	Wrong     int            `json:"wrong"`
	Truncated int            `json:"truncated"`
	Statuses  map[string]int `json:"statuses"`
	Outcomes  map[string]int `json:"outcomes"`
	Response  Quantiles      `json:"response"` // from the planned time
	Time      Quantiles      `json:"time"`     // from the send
}

// Quantiles are latencies in microseconds.
type Quantiles struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

// Added is the latency of the mesh minus that of direct calls to the same service, from the send.
type Added struct {
	Service string `json:"service"`
	P50     int64  `json:"p50"`
	P90     int64  `json:"p90"`
	P99     int64  `json:"p99"`
	P999    int64  `json:"p999"`
}

// Report returns the report of all results added.
func (r *Reporter) Report(verdict auditor.Verdict) Report {
	out := Report{Audit: verdict, Faults: slices.Clone(r.faults), Causes: slices.Clone(r.causes), Passed: len(verdict.Doubled)+len(verdict.Refused) == 0}
	direct := map[string]Quantiles{}
	for at, c := range r.groups {
		g := Group{
			Way: at.way, Service: at.service, Calls: c.calls, OK: c.ok, Replayed: c.replayed, Lost: c.lost, Resent: c.resent,
			Wrong: c.wrong, Truncated: c.truncated, Statuses: c.statuses, Outcomes: c.outcomes,
			Response: quantiles(c.response), Time: quantiles(c.service),
		}
		out.Sent += c.calls
		out.Groups = append(out.Groups, g)
		out.Passed = out.Passed && c.wrong+c.truncated == 0
		if at.way == generator.Direct {
			direct[at.service] = g.Time
		}
	}
	slices.SortFunc(out.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Way, b.Way))
	})
	for _, g := range out.Groups {
		if d, ok := direct[g.Service]; ok && g.Way == generator.Mesh {
			t := g.Time
			out.Added = append(out.Added, Added{g.Service, t.P50 - d.P50, t.P90 - d.P90, t.P99 - d.P99, t.P999 - d.P999})
		}
	}
	return out
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
