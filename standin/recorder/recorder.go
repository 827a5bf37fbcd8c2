// Package recorder counts the runs of a stand-in upstream per idempotency key.
package recorder

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"sync"
	"time"
)

// ErrFile reports a file of runs that cannot be used.
var ErrFile = errors.New("runs file")

// Recorder counts runs. Its methods are safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	keys map[string]int
	next uint64
	path string
	file *os.File
}

// Option changes a setting of New.
type Option func(*Recorder)

// WithFile appends each run with a key as a line to the file at path, and reads earlier runs from it.
func WithFile(path string) Option {
	return func(r *Recorder) { r.path = path }
}

// New returns a recorder.
func New(opts ...Option) (*Recorder, error) {
	r := &Recorder{
		keys: map[string]int{},
		// Run numbers start at the time in microseconds, so that they differ after a restart.
		next: uint64(time.Now().UnixMicro()),
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.path == "" {
		return r, nil
	}
	return r, r.open()
}

func (r *Recorder) open() error {
	data, err := os.ReadFile(r.path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%w: %v", ErrFile, err)
	}
	// A line without an end was not written whole. Its run had not begun.
	whole := data[:bytes.LastIndexByte(data, '\n')+1]
	for line := range bytes.Lines(whole) {
		if key := string(bytes.TrimSpace(line)); key != "" {
			r.keys[key]++
		}
	}
	r.file, err = os.OpenFile(r.path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrFile, err)
	}
	if err := r.file.Truncate(int64(len(whole))); err != nil {
		return fmt.Errorf("%w: %v", ErrFile, err)
	}
	return nil
}

// Record counts a run that is about to begin and returns its number.
// An empty key counts towards no key.
func (r *Recorder) Record(key string) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if key != "" && r.file != nil {
		if _, err := r.file.WriteString(key + "\n"); err != nil {
			return 0, fmt.Errorf("%w: %v", ErrFile, err)
		}
	}
	if key != "" {
		r.keys[key]++
	}
	r.next++
	return r.next, nil
}

// Runs returns the number of runs per key.
func (r *Recorder) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.keys)
}

// Close closes the file of runs.
func (r *Recorder) Close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}
