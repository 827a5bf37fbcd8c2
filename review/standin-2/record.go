package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, with the seconds since the start of the case.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// now returns the time since the start of the case.
func (r *record) now() time.Duration {
	return time.Since(r.started)
}

// add writes one line and returns the time that it states.
func (r *record) add(format string, args ...any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	fmt.Fprintf(r.out, "%8.3f  %s\n", now.Seconds(), fmt.Sprintf(format, args...))
	return now
}

// say writes one line and prints it.
func (r *record) say(format string, args ...any) time.Duration {
	fmt.Printf(format+"\n", args...)
	return r.add(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
