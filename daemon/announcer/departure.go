package announcer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bluebellhoist/core/wire"
)

// ErrUnconfirmed reports a leave that took effect here but may be forgotten when the daemon's process ends.
var ErrUnconfirmed = errors.New("leave is not known to other daemons")

// heldUpstream is an announcement that waits until the departure is recovered.
type heldUpstream struct {
	upstream wire.Upstream
	seq      uint64
	at       time.Time // when it was received
}

// undatedLeave is a final leave of an upstream whose start time was unknown. Processes that started later are not affected.
type undatedLeave struct {
	id string
	at int64 // time of receipt, in milliseconds since the Unix epoch
}

// covers reports whether an announcement or report of the upstream is out of date.
func (l undatedLeave) covers(u wire.Upstream) bool {
	return l.id != "" && l.id == u.ID && u.Start <= l.at
}

// Restore takes over a departure that other members remember. It withdraws the upstream if that has left.
func (a *Announcer) Restore(d wire.Departure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !d.After(a.departed) {
		return
	}
	a.departed, a.confirmed = d, d
	if u := a.current; u != nil && d.Covers(u.ID, u.Start, a.currentSeq) {
		a.log.Warn("upstream had left before this daemon started", "id", u.ID, "address", u.Address)
		a.withdraw()
	}
}

// isRecovered reports whether the departure is known if other members remember one.
func (a *Announcer) isRecovered() bool {
	if a.recovered == nil {
		return true
	}
	select {
	case <-a.recovered:
		return true
	default:
		return false
	}
}

// announceHeld applies the announcement that was held back, unless the upstream has left.
func (a *Announcer) announceHeld() {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.held
	a.held = nil
	if h == nil || a.current != nil || a.departed.Covers(h.upstream.ID, h.upstream.Start, h.seq) {
		return
	}
	if err := a.accept(h.upstream, h.seq, h.at); err != nil {
		a.log.Warn("held announcement refused", "id", h.upstream.ID, "error", err)
	}
}

// depart records a departure and passes it on to the other members, unless a later one is known. The caller holds the lock.
func (a *Announcer) depart(d wire.Departure) {
	if !d.After(a.departed) {
		return
	}
	a.departed = d
	a.updateMember(func(m *wire.Member) { m.Gone = d })
}

// announcedID returns the id of the upstream that is announced or held back. The caller holds the lock.
func (a *Announcer) announcedID() string {
	switch {
	case a.current != nil:
		return a.current.ID
	case a.held != nil:
		return a.held.upstream.ID
	}
	return ""
}

// confirmDeparture returns once other members hold the departure.
func (a *Announcer) confirmDeparture(ctx context.Context) error {
	a.mu.Lock()
	d, known := a.departed, a.departed == a.confirmed
	a.mu.Unlock()
	if known {
		return nil
	}
	if err := a.confirm(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if d.After(a.confirmed) {
		a.confirmed = d
	}
	return nil
}
