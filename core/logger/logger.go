// Package logger writes log lines without ever blocking the code that logs.
package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// queueLength is how many lines may wait for a slow output; more are dropped.
	queueLength = 1024
	// perSecond and burst bound the volume: a daemon under load would otherwise spend its processor on logs.
	perSecond = 200
	burst     = 600
	// reportInterval is the time between two lines that tell how many were dropped.
	reportInterval = time.Second
)

// Writer queues lines for an output. Write may be called concurrently and never blocks.
type Writer struct {
	out   io.Writer
	lines chan []byte
	now   func() time.Time

	mu      sync.Mutex
	tokens  float64
	last    time.Time
	dropped uint64
}

// Option sets up a Writer.
type Option func(*Writer)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(w *Writer) { w.now = now }
}

// New returns a writer to out. Lines are written while Run runs.
func New(out io.Writer, opts ...Option) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), now: time.Now, tokens: burst}
	for _, opt := range opts {
		opt(w)
	}
	w.last = w.now()
	return w
}

// Start returns a logger that writes JSON lines to standard output, and a function that writes what is queued and ends it.
func Start(name string, level hclog.Level) (log hclog.Logger, end func()) {
	w := New(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	log = hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: w, JSONFormat: true})
	return log, func() {
		cancel()
		<-ended
	}
}

// Write queues one line, or drops and counts it.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.admit() {
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.drop()
	}
	return len(line), nil
}

// Run writes queued lines until ctx ends, and what is queued then.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-ticker.C:
			w.report()
		case <-ctx.Done():
			w.flush()
			return ctx.Err()
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			w.report()
			return
		}
	}
}

func (w *Writer) put(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.drop() // there is no other place to tell it
	}
}

func (w *Writer) report() {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		w.put([]byte(fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped)))
	}
}

func (w *Writer) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.tokens = min(burst, w.tokens+now.Sub(w.last).Seconds()*perSecond)
	w.last = now
	if w.tokens < 1 {
		w.dropped++
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}
