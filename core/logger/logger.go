// Package logger writes log lines without blocking the code that logs.
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
	// queueLength is the maximum number of lines queued for a slow output. Further lines are dropped.
	queueLength = 1024
	// linesPerSecond and burstLines limit the log rate. Otherwise a daemon under load would spend its CPU time on logging.
	linesPerSecond = 200
	burstLines     = 600
	// reportInterval is the interval between reports of the number of dropped lines.
	reportInterval = time.Second
)

// Writer queues lines for an output. Write never blocks and is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte
	now   func() time.Time

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	dropped    uint64
}

// Option configures a Writer.
type Option func(*Writer)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(w *Writer) { w.now = now }
}

// New returns a Writer for out. Queued lines are written while Run is running.
func New(out io.Writer, opts ...Option) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), now: time.Now, tokens: burstLines}
	for _, opt := range opts {
		opt(w)
	}
	w.lastRefill = w.now()
	return w
}

// Start returns a logger that writes JSON lines to standard output, and a function that writes the queued lines and stops
// the logger.
func Start(name string, level hclog.Level) (log hclog.Logger, stop func()) {
	w := New(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- w.Run(ctx) }()
	log = hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: w, JSONFormat: true})
	return log, func() {
		cancel()
		<-runErr
	}
}

// Write queues one line. If the rate limit is exceeded or the queue is full, it drops the line and counts it.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow() {
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.countDropped()
	}
	return len(line), nil
}

// Run writes queued lines until ctx is done, and then the lines that are still queued.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-ticker.C:
			w.reportDropped()
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
			w.writeLine(line)
		default:
			w.reportDropped()
			return
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.countDropped() // the error cannot be reported elsewhere
	}
}

func (w *Writer) reportDropped() {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		w.writeLine([]byte(fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", dropped)))
	}
}

func (w *Writer) allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.tokens = min(burstLines, w.tokens+now.Sub(w.lastRefill).Seconds()*linesPerSecond)
	w.lastRefill = now
	if w.tokens < 1 {
		w.dropped++
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) countDropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}
