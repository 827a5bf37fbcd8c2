package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBudget guards against retries beyond the limit that no single VM shows, and against windows that are searched at
// fixed times only.
func TestBudget(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	line := func(at time.Duration, first, retry, caused int) string {
		return fmt.Sprintf(`{"@timestamp":%q,"@message":"arrivals","@module":"d.tallier","service":"a","first":%d,"retry":%d,"caused":%d,"refused":1}`+"\n",
			start.Add(at).Format(time.RFC3339Nano), first, retry, caused)
	}
	logs := []string{
		line(5*time.Second, 100, 0, 0) + line(13*time.Second, 10, 20, 0),
		line(17*time.Second, 10, 5, 10) + line(29*time.Second, 0, 8, 0),
	}
	var paths []string
	for i, text := range logs {
		path := filepath.Join(t.TempDir(), fmt.Sprint(i))
		is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
		paths = append(paths, path)
	}
	for _, c := range []struct {
		name, want string
		args       []string
		code       int
	}{
		{"worst window", "a: 1.17 of the limit from 00:00:12.5000 on: 25 retries and 10 calls of retried runs, allowed 30, 2 refused; 20 first arrivals", append([]string{"--slack", "10"}, paths...), 0},
		{"window of one line", "a: 2.00 of the limit from 00:00:12.5000 on: 20 retries", append([]string{"--slack", "8", "--window", "500ms"}, paths...), 0},
		{"no logs", "", nil, exitUsage},
		{"no arrivals", "", []string{os.DevNull}, exitFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(execute(t.Context(), append([]string{"budget"}, c.args...), &stdout, &stderr), c.code)
			is.True(strings.HasPrefix(stdout.String(), c.want))
		})
	}
}
