package announcer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// ErrUnconfirmed reports a leave that took effect here but may be forgotten when the daemon's process ends.
var ErrUnconfirmed = errors.New("leave is not recorded")

// heldUpstream is an announcement that waits until the departure is recovered.
type heldUpstream struct {
	upstream wire.Upstream
	seq      uint64
	at       time.Time // when it was received
}

// departures holds the last departure of each upstream, by the hash of its id.
type departures struct {
	last     map[uint64]wire.Departure
	recorded map[uint64]wire.Departure // those that outlast this process
}

func newDepartures() departures {
	return departures{last: map[uint64]wire.Departure{}, recorded: map[uint64]wire.Departure{}}
}

// add keeps a departure unless a later one of the same upstream is known.
func (d departures) add(gone wire.Departure) {
	if gone.After(d.last[gone.Upstream]) {
		d.last[gone.Upstream] = gone
	}
}

// markRecorded records that a departure outlasts this process.
func (d departures) markRecorded(gone wire.Departure) {
	if gone.After(d.recorded[gone.Upstream]) {
		d.recorded[gone.Upstream] = gone
	}
}

// of returns the last departure of an upstream, and whether it outlasts this process.
func (d departures) of(id string) (gone wire.Departure, recorded bool) {
	hash := wire.HashUpstream(id)
	gone = d.last[hash]
	return gone, !gone.After(d.recorded[hash])
}

// all returns the departures in a fixed order.
func (d departures) all() []wire.Departure {
	return slices.SortedFunc(maps.Values(d.last), func(a, b wire.Departure) int { return cmp.Compare(a.Upstream, b.Upstream) })
}

// isDeparted reports whether an announcement or report is out of date because of a leave. The caller holds the lock.
func (a *Announcer) isDeparted(id string, start int64, seq uint64) bool {
	gone, _ := a.departures.of(id)
	return a.departed.Covers(id, start, seq) || gone.Covers(id, start, seq)
}

// Restore takes over a departure that other members remember. It withdraws the upstream if that has left.
func (a *Announcer) Restore(d wire.Departure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !d.After(a.departed) {
		return
	}
	a.departed = d
	a.departures.add(d)
	a.withdrawDeparted()
}

// RestoreAll takes over the departures that the replicated log holds. It withdraws the upstream if that has left.
func (a *Announcer) RestoreAll(all []wire.Departure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, d := range all {
		a.departures.add(d)
		a.departures.markRecorded(d)
	}
	a.withdrawDeparted()
}

// withdrawDeparted withdraws the announced upstream if it had left. The caller holds the lock.
func (a *Announcer) withdrawDeparted() {
	if u := a.current; u != nil && a.isDeparted(u.ID, u.Start, a.currentSeq) {
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
	if h == nil || a.current != nil || a.isDeparted(h.upstream.ID, h.upstream.Start, h.seq) {
		return
	}
	if err := a.accept(h.upstream, h.seq, h.at); err != nil {
		a.log.Warn("held announcement refused", "id", h.upstream.ID, "error", err)
	}
}

// depart records a departure and passes it on to the other members, unless a later one is known. The caller holds the lock.
func (a *Announcer) depart(d wire.Departure) {
	a.departures.add(d)
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

// confirmDeparture returns once the last departure of an upstream outlasts this process and all others: it is in the replicated
// log, other members hold it, and it is in the data folder if there is one.
func (a *Announcer) confirmDeparture(ctx context.Context, id string) error {
	a.mu.Lock()
	gone, recorded := a.departures.of(id)
	all := a.departures.all()
	a.mu.Unlock()
	if recorded {
		return nil
	}
	confirmed := make(chan error, 1)
	go func() { confirmed <- a.confirm(ctx) }()
	if err := errors.Join(a.record(ctx, gone), a.store.save(all), <-confirmed); err != nil {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.departures.markRecorded(gone)
	return nil
}
