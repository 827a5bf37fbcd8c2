// Package starter runs programs as separate processes, sends them signals and notices when one ends by itself.
package starter

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// ErrRunning reports a process that did not end in time.
var ErrRunning = errors.New("process did not end in time")

// Process is a program that can be started again and again. Its methods may be called concurrently.
type Process struct {
	name string
	args []string
	log  string
	ends func(name string, err error)

	mu       sync.Mutex
	cmd      *exec.Cmd // nil while it does not run
	expected bool      // the present run is meant to end
	done     chan error
}

// New returns a process that does not run yet. Its output is appended to the file log; ends is called if it ends without
// being told to.
func New(name string, args []string, log string, ends func(name string, err error)) *Process {
	return &Process{name: name, args: args, log: log, ends: ends}
}

// Start starts the process. It does nothing if that runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.cmd, p.expected, p.done = cmd, false, make(chan error, 1)
	go p.wait(cmd, p.done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan error) {
	err := cmd.Wait()
	p.mu.Lock()
	p.cmd = nil
	expected := p.expected
	p.mu.Unlock()
	if !expected {
		p.ends(p.name, err)
	}
	done <- err
}

// Signal sends a signal that does not end the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(signal) // it may be ending
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	if done := p.end(syscall.SIGKILL); done != nil {
		<-done
	}
}

// Stop tells the process to end and returns its error. After the limit it is killed and the error wraps ErrRunning.
func (p *Process) Stop(limit time.Duration) error {
	done := p.end(syscall.SIGTERM)
	if done == nil {
		return nil
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
	}
	p.end(syscall.SIGKILL)
	<-done
	return fmt.Errorf("%s: %w", p.name, ErrRunning)
}

// end sends a signal that ends the process, and returns where its end is told, or nil if it does not run.
func (p *Process) end(signal syscall.Signal) chan error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.expected = true
	_ = p.cmd.Process.Signal(signal) // it may be ending
	return p.done
}
