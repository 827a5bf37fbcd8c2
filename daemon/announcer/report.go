package announcer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bluebellhoist/core/wire"
)

// ErrStale is returned for an announcement or report that arrives after a later one, or that an earlier process sent.
var ErrStale = errors.New("message is out of date")

// ErrUnknownService is returned for a report that names a service which the configuration does not have, while an upstream
// of another service is announced.
var ErrUnknownService = errors.New("service is not in the configuration")

// Report is a status report of the local upstream.
type Report struct {
	Upstream wire.Upstream
	Seq      uint64 // increases with each report of one process; 0 if not numbered
	Leaving  bool   // the upstream takes no new calls
	Final    bool   // further reports of this process are stale
}

// check returns an error if the report is not one that an upstream can send. A final report only names its process.
func (r Report) check() error {
	if err := checkSequence(sequence{r.Upstream.Start, r.Seq}); err != nil || r.Final {
		return err
	}
	return checkUpstream(r.Upstream)
}

// reportID identifies a report and orders it among the reports of the upstream.
type reportID struct {
	id      string
	start   int64
	seq     uint64
	leaving bool // the upstream is leaving
	final   bool // all other reports of the same process are out of date
}

func newReportID(r Report) reportID {
	return reportID{id: r.Upstream.ID, start: r.Upstream.Start, seq: max(r.Seq, 1), leaving: r.Leaving, final: r.Final}
}

// isSameProcess reports whether an upstream is the one that sent the report. An unknown start time equals any other.
func (n reportID) isSameProcess(u wire.Upstream) bool {
	return n.id == u.ID && (n.start == 0 || u.Start == 0 || n.start == u.Start)
}

// departure returns the departure that a leave with this id stands for.
func (n reportID) departure() wire.Departure {
	d := wire.Departure{Upstream: wire.HashUpstream(n.id), Start: n.start, Seq: n.seq}
	if n.final {
		d.Seq = wire.FinalSeq
	}
	return d
}

// Report applies a status report. After it returns without an error, no new call is sent to an upstream that reported its
// leave, even if the daemon is restarted.
func (a *Announcer) Report(ctx context.Context, r Report) error {
	if err := r.check(); err != nil {
		return err
	}
	err := a.apply(r, time.Now())
	if !r.Leaving || err != nil && !errors.Is(err, ErrStale) {
		return err
	}
	// A repeated leave is stale, but the first one may not have been confirmed.
	if unconfirmed := a.confirmDeparture(ctx); unconfirmed != nil {
		return unconfirmed
	}
	return err
}

// apply applies a status report to the state of this daemon.
func (a *Announcer) apply(r Report, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Upstream.Start == 0 {
		r.Upstream.Start = a.startOf(r.Upstream.ID)
	}
	if a.isStale(r) {
		return ErrStale
	}
	if r.Leaving {
		a.applyLeave(r, now)
		return nil
	}
	if err := a.checkService(r.Upstream.Service); err != nil {
		return err
	}
	a.lastReport = newReportID(r)
	return a.accept(r.Upstream, r.Seq, now)
}

// startOf returns the start time of an upstream that a report does not state, or 0 if it is unknown.
func (a *Announcer) startOf(id string) int64 {
	switch {
	case a.lastReport.id == id && a.lastReport.start != 0:
		return a.lastReport.start
	case a.current != nil && a.current.ID == id && a.current.Start != 0:
		return a.current.Start
	case a.departed.Upstream == wire.HashUpstream(id):
		return a.departed.Start
	}
	return 0
}

// isStale reports whether a report was sent before one that has been applied, or before a leave.
func (a *Announcer) isStale(r Report) bool {
	u, last := r.Upstream, a.lastReport
	seq := r.Seq
	if r.Final {
		seq = wire.FinalSeq
	}
	if a.departed.Covers(u.ID, u.Start, seq) || a.undated.covers(u) {
		return true
	}
	if last.isSameProcess(u) {
		return last.final || r.Seq != 0 && r.Seq <= last.seq
	}
	return u.Start != 0 && u.Start < last.start
}

// applyLeave withdraws the upstream and records its departure. The caller holds the lock.
func (a *Announcer) applyLeave(r Report, now time.Time) {
	u, last := r.Upstream, a.lastReport
	if u.Start == 0 && last.id != u.ID && a.announcedID() != u.ID {
		// Which process has left is unknown. Only those that have started by now can be the one.
		a.log.Warn("leave of an unknown upstream without a start time", "id", u.ID)
		a.undated = undatedLeave{u.ID, now.UnixMilli()}
		return
	}
	a.lastReport = newReportID(r)
	if a.held != nil && a.held.upstream.ID == u.ID {
		a.held = nil
	}
	if a.current != nil && a.current.ID == u.ID {
		a.log.Info("upstream leaves", "id", u.ID, "seq", r.Seq, "final", r.Final)
		a.withdraw()
	}
	// A leave that directly follows another one makes no further reports out of date.
	if last.leaving && last.isSameProcess(u) && r.Seq == last.seq+1 && !r.Final {
		return
	}
	a.depart(a.lastReport.departure())
}

// checkService refuses a report for a service that the configuration does not have if it would replace the announced upstream
// of another service. The caller holds the lock.
func (a *Announcer) checkService(service string) error {
	current := ""
	switch {
	case a.current != nil:
		current = a.current.Service
	case a.held != nil:
		current = a.held.upstream.Service
	}
	if current == "" || current == service || a.hasService(service) {
		return nil
	}
	return fmt.Errorf("%w: %q, while %q is announced", ErrUnknownService, service, current)
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
