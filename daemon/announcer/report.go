package announcer

import (
	"errors"
	"time"

	"bluebellhoist/core/wire"
)

// ErrStale reports a report that was overtaken by a later one, or that an earlier process sent.
var ErrStale = errors.New("report is out of date")

// Report is a numbered report of the local upstream about itself.
type Report struct {
	Upstream wire.Upstream
	Seq      uint64 // grows with each report of one process; 0 if not numbered
	Leaving  bool   // the upstream takes no new calls
	Final    bool   // no later report of this process counts
}

// report identifies the last report taken.
type report struct {
	id    string
	start int64
	seq   uint64
	final bool
}

// Report takes a report. Once it has returned, no new call is sent to an upstream that leaves.
func (a *Announcer) Report(r Report) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.heard
	same := last.id == r.Upstream.ID && (last.start == 0 || r.Upstream.Start == 0 || last.start == r.Upstream.Start)
	if same && (last.final || r.Seq != 0 && r.Seq <= last.seq) || !same && r.Upstream.Start != 0 && r.Upstream.Start < last.start {
		return ErrStale
	}
	if same && r.Upstream.Start == 0 {
		r.Upstream.Start = last.start
	}
	a.heard = report{id: r.Upstream.ID, start: r.Upstream.Start, seq: max(r.Seq, 1), final: r.Final}
	if r.Leaving {
		if a.current != nil && a.current.ID == r.Upstream.ID {
			a.log.Info("upstream leaves", "id", r.Upstream.ID, "seq", r.Seq, "final", r.Final)
			a.withdraw()
		}
		return nil
	}
	return a.accept(r.Upstream, time.Now())
}

// Lost withdraws an upstream that refuses connections, until it is announced again.
func (a *Announcer) Lost(u wire.Upstream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && *a.current == u {
		a.log.Warn("upstream refuses connections", "id", u.ID, "address", u.Address)
		a.withdraw()
	}
}
