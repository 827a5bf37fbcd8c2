package accountant

import (
	"context"
	"time"
)

// Holder is a caller that occupies memory of an Account.
type Holder struct {
	account *Account
	caller  string
	onShed  func()
	since   time.Time
	shed    chan struct{} // closed when the holder is shed

	// The fields below are guarded by account.mu.

	bytes   int64
	running bool // the call may be running
	isShed  bool
	closed  bool
}

// largePart returns the part of a size that exceeds smallBytes.
func largePart(bytes int64) int64 {
	return max(bytes-smallBytes, 0)
}

// rank orders holders by how soon they are shed; higher ranks go first. The account's mu must be held.
func (h *Holder) rank(size int64) int {
	switch {
	case size <= smallBytes:
		return 0
	case h.running:
		return 1
	}
	return 2
}

// add changes the size of the holder. The account's mu must be held.
func (h *Holder) add(bytes int64) {
	h.account.used += bytes
	h.account.large += largePart(h.bytes+bytes) - largePart(h.bytes)
	h.bytes += bytes
	if bytes < 0 {
		h.account.notify()
	}
}

// Grow occupies more memory. If the account is full, it sheds holders and waits until they have released their memory.
// It returns ErrShed if this holder is or was shed itself, or if the memory is not released in time.
func (h *Holder) Grow(ctx context.Context, bytes int64) error {
	var timeout <-chan time.Time
	for {
		wait, err := h.tryGrow(bytes)
		if wait == nil || err != nil {
			return err
		}
		if timeout == nil {
			timer := time.NewTimer(maxWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-wait:
		case <-h.shed:
			return ErrShed
		case <-timeout:
			return ErrShed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryGrow occupies memory if there is room. Otherwise it sheds a holder if necessary, and returns a channel that is closed
// when memory is released.
func (h *Holder) tryGrow(bytes int64) (wait <-chan struct{}, err error) {
	a := h.account
	a.mu.Lock()
	switch {
	case h.isShed:
		a.mu.Unlock()
		return nil, ErrShed
	case largePart(h.bytes+bytes) > a.largeSize:
		a.mu.Unlock()
		return nil, ErrTooLarge
	case a.fits(h, bytes, 0, 0):
		h.add(bytes)
		a.mu.Unlock()
		return nil, nil
	}
	wait = a.released
	var victim *Holder
	if releasing, releasingLarge := a.releasing(); !a.fits(h, bytes, releasing, releasingLarge) {
		victim = a.victim(h, bytes)
		a.markShed(victim)
	}
	a.mu.Unlock()
	if victim == h {
		return nil, ErrShed
	}
	if victim != nil {
		victim.onShed()
	}
	return wait, nil
}

// Replace sets the memory that the holder occupies without waiting. If the account is then overdrawn, it sheds holders,
// which may include this one.
func (h *Holder) Replace(bytes int64) {
	a := h.account
	a.mu.Lock()
	var victims []*Holder
	if !h.closed {
		h.add(bytes - h.bytes)
		victims = a.shedOverdraft()
	}
	a.mu.Unlock()
	for _, victim := range victims {
		victim.onShed()
	}
}

// SetRunning records whether the call of the holder may be running, so that it can no longer be refused as not run.
func (h *Holder) SetRunning(running bool) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.running = running
}

// IsShed reports whether the holder has to give up its memory.
func (h *Holder) IsShed() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.isShed
}

// Close releases the memory of the holder. It may be called more than once.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	h.add(-h.bytes)
	delete(a.holders, h)
}
