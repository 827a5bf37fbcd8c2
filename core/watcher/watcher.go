// Package watcher watches a settings file for changes.
package watcher

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Interval is the polling interval, since the file may change without a SIGHUP.
const Interval = 2 * time.Second

// Watcher reads a file on SIGHUP and periodically, and calls a function with its content when it has changed.
type Watcher struct {
	path     string
	read     func(path string) ([]byte, error)
	hangups  func() (signals <-chan os.Signal, stop func())
	onChange func(data []byte) error
	log      hclog.Logger
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithChanged sets the function that is called with the content of the changed file.
func WithChanged(onChange func(data []byte) error) Option {
	return func(w *Watcher) { w.onChange = onChange }
}

// Parsed returns a function for WithChanged that passes on what parse makes of the content.
func Parsed[T any](parse func(data []byte) (T, error), onChange func(T) error) func(data []byte) error {
	return func(data []byte) error {
		value, err := parse(data)
		if err != nil {
			return err
		}
		return onChange(value)
	}
}

// WithRead sets the function that reads the file.
func WithRead(read func(path string) ([]byte, error)) Option {
	return func(w *Watcher) { w.read = read }
}

// WithHangups sets the source of SIGHUP signals.
func WithHangups(hangups func() (signals <-chan os.Signal, stop func())) Option {
	return func(w *Watcher) { w.hangups = hangups }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(w *Watcher) { w.log = log }
}

// New returns a watcher of the file at path. WithChanged is required.
func New(path string, opts ...Option) *Watcher {
	w := &Watcher{path: path, read: os.ReadFile, hangups: processHangups, log: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// processHangups returns the SIGHUP signals of the process, which would otherwise terminate it.
func processHangups() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}

// Run watches the file until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	signals, stop := w.hangups()
	defer stop()
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	last, err := w.read(w.path)
	if err != nil {
		w.log.Warn("cannot read settings", "error", err)
	}
	for {
		select {
		case <-signals:
			w.log.Info("reloading settings after SIGHUP")
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		last = w.reload(last)
	}
}

// reload reads the file, calls onChange if its content differs from last, and returns the content. If the file cannot be
// read, it returns last.
func (w *Watcher) reload(last []byte) []byte {
	data, err := w.read(w.path)
	if err != nil {
		w.log.Warn("cannot read settings", "error", err)
		return last
	}
	if bytes.Equal(data, last) {
		return last
	}
	if err := w.onChange(data); err != nil {
		w.log.Error("cannot apply changed settings", "error", err)
	}
	return data
}
