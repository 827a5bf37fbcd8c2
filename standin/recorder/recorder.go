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

// ErrFile reports an error reading or writing the runs file.
var ErrFile = errors.New("cannot use the runs file")

// Recorder counts runs. Its methods are safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	runsByKey map[string]int
	lastRun   uint64
	path      string
	file      *os.File
}

// Option configures a Recorder.
type Option func(*Recorder)

// WithFile sets the path of the runs file. New reads earlier runs from it, and each run with a key is appended as a line.
func WithFile(path string) Option {
	return func(r *Recorder) { r.path = path }
}

// New returns a recorder. With a runs file, it counts the runs in it.
func New(opts ...Option) (*Recorder, error) {
	r := &Recorder{
		runsByKey: map[string]int{},
		// Run numbers start at the Unix time in microseconds, so that none repeats after a restart.
		lastRun: uint64(time.Now().UnixMicro()),
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.path == "" {
		return r, nil
	}
	return r, r.open()
}

// open reads the runs file and opens it for appending.
func (r *Recorder) open() error {
	data, err := os.ReadFile(r.path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%w: %v", ErrFile, err)
	}
	// A last line without a newline was written only in part, so its run never began.
	complete := data[:bytes.LastIndexByte(data, '\n')+1]
	for line := range bytes.Lines(complete) {
		if key := string(bytes.TrimSpace(line)); key != "" {
			r.runsByKey[key]++
		}
	}
	r.file, err = os.OpenFile(r.path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrFile, err)
	}
	if err := r.file.Truncate(int64(len(complete))); err != nil {
		return fmt.Errorf("%w: %v", ErrFile, err)
	}
	return nil
}

// Record counts a run that is about to begin, and returns its number. A run with an empty key gets a number but is not
// counted.
func (r *Recorder) Record(key string) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if key != "" && r.file != nil {
		if _, err := r.file.WriteString(key + "\n"); err != nil {
			return 0, fmt.Errorf("%w: %v", ErrFile, err)
		}
	}
	if key != "" {
		r.runsByKey[key]++
	}
	r.lastRun++
	return r.lastRun, nil
}

// Runs returns the number of runs per key.
func (r *Recorder) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runsByKey)
}

// Close closes the runs file, if any.
func (r *Recorder) Close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}
