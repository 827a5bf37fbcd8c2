// Package auditor compares what callers were told with the runs that stand-ins counted.
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

// ErrRuns reports counts of runs that could not be read.
var ErrRuns = errors.New("runs not read")

// Fate is what the caller knows about a key.
type Fate int

// Fates of a key.
const (
	Open    Fate = iota // the outcome is unknown to the caller, or an answer says nothing about runs
	Ran                 // an answer came
	Refused             // every attempt was refused as not run
)

type id struct {
	service string
	key     string
}

type entry struct {
	fate Fate
	once bool
}

// Auditor keeps the fate of each key and the runs counted for it.
type Auditor struct {
	entries map[id]entry
	runs    map[id]int
	once    map[string]bool
	client  *http.Client
}

// New returns an auditor. The once services are those whose calls may run at most once.
func New(once []string) *Auditor {
	a := &Auditor{
		entries: map[id]entry{},
		runs:    map[id]int{},
		once:    map[string]bool{},
		client:  &http.Client{Timeout: 10 * time.Second, CheckRedirect: generator.Stay},
	}
	for _, name := range once {
		a.once[name] = true
	}
	return a
}

// Note keeps what the caller was told about a key.
func (a *Auditor) Note(service, key string, fate Fate) {
	a.entries[id{service, key}] = entry{fate: fate, once: a.once[service]}
}

// Fetch adds the runs that the stand-in at addr counted.
func (a *Auditor) Fetch(ctx context.Context, addr netip.AddrPort) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/runs", nil)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrRuns, err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrRuns, err)
	}
	defer resp.Body.Close()
	var answer struct {
		Service string         `json:"service"`
		Keys    map[string]int `json:"keys"`
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %v: %s", ErrRuns, addr, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return fmt.Errorf("%w: %v: %v", ErrRuns, addr, err)
	}
	for key, count := range answer.Keys {
		a.Add(answer.Service, key, count)
	}
	return nil
}

// Read adds the runs in the file of a stand-in that is gone.
func (a *Auditor) Read(service, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrRuns, err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if key := lines.Text(); key != "" {
			a.Add(service, key, 1)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%w: %v", ErrRuns, err)
	}
	return nil
}

// Add counts runs of a key by one stand-in.
func (a *Auditor) Add(service, key string, count int) {
	a.runs[id{service, key}] += count
}

// Verdict lists the keys whose runs contradict the answers, as "service key".
type Verdict struct {
	Runs    int      `json:"runs"`    // runs of keys of this load
	Doubled []string `json:"doubled"` // ran more than once though the service is once
	Refused []string `json:"refused"` // refused as not run, yet ran
	Missing []string `json:"missing"` // answered, yet no stand-in counted a run
}

// Judge returns the contradictions. Runs of keys that this load did not send are left out,
// but for nested calls, which share the key of their first call.
func (a *Auditor) Judge() Verdict {
	v := Verdict{Doubled: []string{}, Refused: []string{}, Missing: []string{}}
	sent := make(map[string]bool, len(a.entries))
	for at, e := range a.entries {
		sent[at.key] = true
		count := a.runs[at]
		if e.fate == Refused && count > 0 {
			v.Refused = append(v.Refused, at.service+" "+at.key)
		}
		if e.fate == Ran && count == 0 {
			v.Missing = append(v.Missing, at.service+" "+at.key)
		}
	}
	for at, count := range a.runs {
		if !sent[at.key] {
			continue
		}
		v.Runs += count
		if a.once[at.service] && count > 1 {
			v.Doubled = append(v.Doubled, fmt.Sprintf("%s %s %d", at.service, at.key, count))
		}
	}
	return v
}
