// Package watcher follows a settings file while a process runs.
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

// Interval is the time between two looks at the file, which may change without a hangup signal.
const Interval = 2 * time.Second

// Watcher reads a file after a hangup signal and from time to time, and passes it on when it has changed.
type Watcher struct {
	path    string
	read    func(path string) ([]byte, error)
	hangups func() (signals <-chan os.Signal, stop func())
	changed func(data []byte) error
	log     hclog.Logger
}

// Option sets up a Watcher.
type Option func(*Watcher)

// WithChanged sets the function that takes the changed file.
func WithChanged(changed func(data []byte) error) Option {
	return func(w *Watcher) { w.changed = changed }
}

// WithRead sets the function that reads the file.
func WithRead(read func(path string) ([]byte, error)) Option {
	return func(w *Watcher) { w.read = read }
}

// WithHangups sets the source of hangup signals.
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

// processHangups returns the hangup signals of the process, which would otherwise end it.
func processHangups() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}

// Run watches the file until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	signals, stop := w.hangups()
	defer stop()
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	last, err := w.read(w.path)
	if err != nil {
		w.log.Warn("settings not read", "error", err)
	}
	for {
		select {
		case <-signals:
			w.log.Info("told to reload the settings")
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		last = w.look(last)
	}
}

// look reads the file, passes it on if it differs from last, and returns it.
func (w *Watcher) look(last []byte) []byte {
	data, err := w.read(w.path)
	if err != nil {
		w.log.Warn("settings not read", "error", err)
		return last
	}
	if bytes.Equal(data, last) {
		return last
	}
	if err := w.changed(data); err != nil {
		w.log.Error("changed settings not used", "error", err)
	}
	return data
}
