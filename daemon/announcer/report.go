package announcer

import (
	"errors"
	"time"

	"bluebellhoist/core/wire"
)

// ErrStale is returned for an announcement or report that arrives after a later one, or that an earlier process sent.
var ErrStale = errors.New("message is out of date")

// Report is a status report of the local upstream.
type Report struct {
	Upstream wire.Upstream
	Seq      uint64 // increases with each report of one process; 0 if not numbered
	Leaving  bool   // the upstream takes no new calls
	Final    bool   // further reports of this process are stale
}

// reportID identifies a report and orders it among the reports of the upstream.
type reportID struct {
	id    string
	start int64
	seq   uint64
	final bool
}

// Report applies a status report. After it returns, no new call is sent to an upstream that reported its leave.
func (a *Announcer) Report(r Report) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.lastReport
	same := last.id == r.Upstream.ID && (last.start == 0 || r.Upstream.Start == 0 || last.start == r.Upstream.Start)
	if same && (last.final || r.Seq != 0 && r.Seq <= last.seq) || !same && r.Upstream.Start != 0 && r.Upstream.Start < last.start {
		return ErrStale
	}
	if same && r.Upstream.Start == 0 {
		r.Upstream.Start = last.start
	}
	a.lastReport = reportID{id: r.Upstream.ID, start: r.Upstream.Start, seq: max(r.Seq, 1), final: r.Final}
	if r.Leaving {
		if a.current != nil && a.current.ID == r.Upstream.ID {
			a.log.Info("upstream leaves", "id", r.Upstream.ID, "seq", r.Seq, "final", r.Final)
			a.withdraw()
		}
		return nil
	}
	return a.accept(r.Upstream, time.Now())
}

// MarkUnreachable withdraws an upstream that refuses connections until it is announced again.
func (a *Announcer) MarkUnreachable(u wire.Upstream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && *a.current == u {
		a.log.Warn("upstream refuses connections", "id", u.ID, "address", u.Address)
		a.withdraw()
	}
}
