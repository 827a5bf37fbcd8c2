package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/echoer"
)

// fakeMesh acts as a daemon and its stand-in. Attempts with the same key are answered by the steps in order;
// the last step repeats. A step with "run" counts a run.
type fakeMesh struct {
	steps    []string
	mu       sync.Mutex
	attempts map[string]int
	runs     map[string]int
}

func (f *fakeMesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/v1/runs" {
		_ = json.NewEncoder(w).Encode(map[string]any{"service": "payout", "keys": f.runs})
		return
	}
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get("Idempotency-Key")
	step := f.steps[min(f.attempts[key], len(f.steps)-1)]
	f.attempts[key]++
	if strings.Contains(step, "run") {
		f.runs[key]++
	}
	request := echoer.New(r.Method, r.URL.RequestURI(), body)
	answer, _ := json.Marshal(echoer.Answer{Method: r.Method, Path: request.Path, Hash: request.Hash, Service: r.Host})
	switch {
	case strings.Contains(step, "lose"):
		panic(http.ErrAbortHandler)
	case strings.Contains(step, "refuse"):
		w.Header().Set("Bluebell-Outcome", "not-run")
		w.WriteHeader(503)
		return
	case strings.Contains(step, "cut"):
		answer = answer[:len(answer)-5]
	case strings.Contains(step, "swap"):
		answer = bytes.Replace(answer, []byte("/load/"), []byte("/other/"), 1)
	}
	_, _ = w.Write(answer)
}

// TestExecute guards against a load that passes although an answer was wrong or truncated or a call ran twice,
// and against retries with a new key or without need.
func TestExecute(t *testing.T) {
	for _, tt := range []struct {
		name     string
		steps    []string
		args     string
		code     int
		attempts int
	}{
		{"correct", []string{"run"}, "--once payout", exitPassed, 1},
		{"lost answer, resent with the same key", []string{"run lose", ""}, "--once payout", exitPassed, 2},
		{"lost answer, not resent", []string{"run lose", "run"}, "", exitPassed, 1},
		{"every answer lost", []string{"run lose", "lose"}, "--once payout --attempts 3", exitPassed, 3},
		{"doubled", []string{"run lose", "run"}, "--once payout", exitFailed, 2},
		{"refused", []string{"refuse"}, "--once payout", exitPassed, 1},
		{"refused yet run", []string{"run refuse"}, "", exitFailed, 1},
		{"lost, then refused", []string{"run lose", "refuse"}, "--once payout", exitPassed, 2},
		{"truncated", []string{"run cut"}, "", exitFailed, 1},
		{"wrong", []string{"run swap"}, "", exitFailed, 1},
		{"target off the loopback interface", []string{"run"}, "--targets 192.0.2.1:80", exitUsage, 0},
		{"stand-in off the loopback interface", []string{"run"}, "--standins 192.0.2.1:80", exitUsage, 0},
		{"duration above the limit", []string{"run"}, "--duration 24h", exitUsage, 0},
		{"stand-in unreachable", []string{"run"}, "--standins 127.0.0.1:1", exitPartial, 1},
		{"direct", []string{"run"}, "--direct payout=ADDR", exitPassed, 1},
		{"direct at-most-once call", []string{"run"}, "--direct payout=ADDR --once payout", exitUsage, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			mesh := &fakeMesh{steps: tt.steps, attempts: map[string]int{}, runs: map[string]int{}}
			server := httptest.NewServer(mesh)
			defer server.Close()
			addr := server.Listener.Addr().String()
			args := "--standins ADDR --mix payout=1 --count 3 --rate 1000 --settle 0s " + tt.args
			if !strings.Contains(args, "--direct") {
				args = "--targets ADDR " + args
			}
			var stdout, stderr bytes.Buffer
			code := execute(t.Context(), strings.Fields(strings.ReplaceAll(args, "ADDR", addr)), &stdout, &stderr)
			t.Log(stdout.String(), stderr.String())
			is.Equal(code, tt.code)
			for _, attempts := range mesh.attempts {
				is.Equal(attempts, tt.attempts)
			}
			is.Equal(len(mesh.attempts) > 0, tt.attempts > 0)
		})
	}
}
