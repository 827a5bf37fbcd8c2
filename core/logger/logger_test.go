package logger_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/logger"
)

// blockedWriter is an output whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockedWriter) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestBlocked guards against a process that blocks because its log output is not read, and against dropped lines that are
// not reported.
func TestBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		w := logger.New(out)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		for range 5000 {
			_, err := w.Write([]byte("line\n"))
			is.NoErr(err)
		}
		close(out.release)
		time.Sleep(2 * time.Second)
		is.Equal(strings.Count(out.String(), "line\n"), 600)
		is.True(strings.Contains(out.String(), `"count":4400`))
		_, err := w.Write([]byte("later\n")) // the token bucket has been refilled
		is.NoErr(err)
		cancel()
		<-done
		is.True(strings.Contains(out.String(), "later\n"))
	})
}
