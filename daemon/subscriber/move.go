package subscriber

import (
	"context"
	"sync"
)

// mover carries the decision to move to another controller from the watch to the goroutine that runs the sessions.
type mover struct {
	mu       sync.Mutex
	target   *Controller             // controller to move to next; nil if none
	attempt  Controller              // controller of the attempt in progress
	cancel   context.CancelCauseFunc // ends that attempt; nil between attempts
	wakeable chan struct{}           // signals a new target; capacity 1
}

func newMover() *mover {
	return &mover{wakeable: make(chan struct{}, 1)}
}

// begin records an attempt, which is a session from its dial on. The attempt ends at once if there is another target.
func (m *mover) begin(c Controller, cancel context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempt, m.cancel = c, cancel
	switch {
	case m.target == nil:
	case m.target.Addr == c.Addr:
		m.target = nil
	default:
		cancel(errBehind)
	}
}

// end records that no attempt is in progress.
func (m *mover) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancel = nil
}

// request makes to the target and ends the attempt in progress, unless it is for that controller already.
func (m *mover) request(to Controller) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancel != nil && m.attempt.Addr == to.Addr {
		return
	}
	m.target = &to
	if m.cancel != nil {
		m.cancel(errBehind)
	}
	select {
	case m.wakeable <- struct{}{}:
	default:
	}
}

// current returns the target, or else the controller of the attempt in progress, or false if there is neither.
func (m *mover) current() (Controller, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target != nil {
		return *m.target, true
	}
	return m.attempt, m.cancel != nil
}

// take returns the target and removes it, or returns false if there is none.
func (m *mover) take() (Controller, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target == nil {
		return Controller{}, false
	}
	to := *m.target
	m.target = nil
	return to, true
}
