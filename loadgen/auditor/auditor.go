// Package auditor compares the answers that callers received with the runs counted by stand-in upstreams.
package auditor

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"bluebellhoist/loadgen/generator"
)

// ErrReadRuns reports that run counts could not be read.
var ErrReadRuns = errors.New("cannot read run counts")

// Outcome is what the caller knows about the runs of a call.
type Outcome int

// Outcomes of a call.
const (
	Unknown  Outcome = iota // no answer came, or the answer does not tell whether the call ran
	Answered                // a successful answer came
	Refused                 // every attempt was refused with the outcome not-run
)

// callID identifies a call. Keys are unique per service only: nested calls reuse the key of their first call.
type callID struct {
	service string
	key     string
}

// callRecord is what the caller knows about one call.
type callRecord struct {
	outcome    Outcome
	atMostOnce bool
}

// Auditor stores the outcome of each call and the runs counted for it.
type Auditor struct {
	calls      map[callID]callRecord
	runs       map[callID]int
	atMostOnce map[string]bool
	client     *http.Client
}

// New returns an auditor. Calls to the services in atMostOnce may run at most once.
func New(atMostOnce []string) *Auditor {
	a := &Auditor{
		calls:      map[callID]callRecord{},
		runs:       map[callID]int{},
		atMostOnce: map[string]bool{},
		client:     &http.Client{Timeout: 10 * time.Second, CheckRedirect: generator.RefuseRedirect},
	}
	for _, name := range atMostOnce {
		a.atMostOnce[name] = true
	}
	return a
}

// RecordOutcome stores the outcome of the call with the given service and key.
func (a *Auditor) RecordOutcome(service, key string, outcome Outcome) {
	a.calls[callID{service, key}] = callRecord{outcome: outcome, atMostOnce: a.atMostOnce[service]}
}

// FetchRuns adds the run counts of the stand-in at addr, read over HTTP.
func (a *Auditor) FetchRuns(ctx context.Context, addr netip.AddrPort) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/runs", nil)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrReadRuns, err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrReadRuns, err)
	}
	defer resp.Body.Close()
	var answer struct {
		Service string         `json:"service"`
		Keys    map[string]int `json:"keys"`
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %v: %s", ErrReadRuns, addr, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return fmt.Errorf("%w: %v: %v", ErrReadRuns, addr, err)
	}
	for key, count := range answer.Keys {
		a.AddRuns(answer.Service, key, count)
	}
	return nil
}

// ReadRuns adds the runs that a stopped stand-in has written to the file at path, one key per line.
func (a *Auditor) ReadRuns(service, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrReadRuns, err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if key := lines.Text(); key != "" {
			a.AddRuns(service, key, 1)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%w: %v", ErrReadRuns, err)
	}
	return nil
}

// AddRuns adds count runs of a key by one stand-in.
func (a *Auditor) AddRuns(service, key string, count int) {
	a.runs[callID{service, key}] += count
}

// Verdict lists the calls whose runs contradict the answers, as "service key"; Doubled adds the number of runs.
type Verdict struct {
	Runs    int      `json:"runs"`    // runs of the keys that this load sent
	Doubled []string `json:"doubled"` // ran more than once although calls to the service may run at most once
	Refused []string `json:"refused"` // refused with the outcome not-run although the call ran
	Missing []string `json:"missing"` // answered although no stand-in counted a run
}

// Check compares outcomes with runs. It ignores runs of keys that this load did not send.
// Nested calls reuse the key of their first call, so their runs are included.
func (a *Auditor) Check() Verdict {
	v := Verdict{Doubled: []string{}, Refused: []string{}, Missing: []string{}}
	sent := make(map[string]bool, len(a.calls))
	for id, call := range a.calls {
		sent[id.key] = true
		count := a.runs[id]
		if call.outcome == Refused && count > 0 {
			v.Refused = append(v.Refused, id.service+" "+id.key)
		}
		if call.outcome == Answered && count == 0 {
			v.Missing = append(v.Missing, id.service+" "+id.key)
		}
	}
	for id, count := range a.runs {
		if !sent[id.key] {
			continue
		}
		v.Runs += count
		if a.atMostOnce[id.service] && count > 1 {
			v.Doubled = append(v.Doubled, fmt.Sprintf("%s %s %d", id.service, id.key, count))
		}
	}
	return v
}
