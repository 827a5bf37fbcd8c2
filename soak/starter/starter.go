// Package starter runs programs as separate processes, sends them signals and reports unexpected exits.
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

// ErrStopTimeout reports that a process did not exit before the stop timeout.
var ErrStopTimeout = errors.New("process did not exit before the stop timeout")

// Process is a program that can be started and stopped repeatedly. Its methods may be called concurrently.
type Process struct {
	name             string
	args             []string
	logPath          string
	onUnexpectedExit func(name string, err error)

	mu           sync.Mutex
	cmd          *exec.Cmd  // nil while the process is not running
	exitExpected bool       // Kill or Stop was called since the last Start
	done         chan error // receives the result of cmd.Wait once
}

// New returns a process that is not running yet. Its output is appended to the file at logPath. onUnexpectedExit is
// called if the process exits without a call to Kill or Stop.
func New(name string, args []string, logPath string, onUnexpectedExit func(name string, err error)) *Process {
	return &Process{name: name, args: args, logPath: logPath, onUnexpectedExit: onUnexpectedExit}
}

// Start starts the process. It does nothing if the process is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	defer func() { _ = out.Close() }() // the child process has its own file descriptor
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.cmd, p.exitExpected, p.done = cmd, false, make(chan error, 1)
	go p.wait(cmd, p.done)
	return nil
}

// wait waits for the process to exit and reports an unexpected exit.
func (p *Process) wait(cmd *exec.Cmd, done chan error) {
	err := cmd.Wait()
	p.mu.Lock()
	p.cmd = nil
	expected := p.exitExpected
	p.mu.Unlock()
	if !expected {
		p.onUnexpectedExit(p.name, err)
	}
	done <- err
}

// Signal sends a signal that does not make the process exit.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(signal) // fails if the process has just exited
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	if done := p.signalExit(syscall.SIGKILL); done != nil {
		<-done
	}
}

// Stop sends SIGTERM, waits for the process to exit and returns its exit error. After the timeout the process is killed
// and the error wraps ErrStopTimeout.
func (p *Process) Stop(timeout time.Duration) error {
	done := p.signalExit(syscall.SIGTERM)
	if done == nil {
		return nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
	}
	p.signalExit(syscall.SIGKILL)
	<-done
	return fmt.Errorf("%s: %w", p.name, ErrStopTimeout)
}

// signalExit sends a signal that makes the process exit. It returns the channel that receives the exit error, or nil if
// the process is not running.
func (p *Process) signalExit(signal syscall.Signal) chan error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.exitExpected = true
	_ = p.cmd.Process.Signal(signal) // fails if the process has just exited
	return p.done
}
