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

// ErrUnknownService is returned for a report that names a service which the configuration does not have.
var ErrUnknownService = errors.New("service is not in the configuration")

// Report is a status report of the local upstream.
type Report struct {
	Upstream wire.Upstream
	Seq      uint64 // increases with each report of one process; 0 if not numbered
	Leaving  bool   // the upstream takes no new calls
	Final    bool   // further reports of this process are stale
}

// check returns an error if the report is not one that an upstream can send. A final report only names its process. All others
// must be complete: without a start time or a number it would be unknown whether they are newer than a leave.
func (r Report) check() error {
	if err := checkSequence(sequence{r.Upstream.Start, r.Seq}); err != nil || r.Final {
		return err
	}
	if r.Upstream.ID == "" || r.Upstream.Start == 0 || r.Seq == 0 {
		return fmt.Errorf("%w: id %.80q, start %d and seq %d are all required", ErrInvalid, r.Upstream.ID, r.Upstream.Start, r.Seq)
	}
	return checkUpstream(r.Upstream)
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
	if unconfirmed := a.confirmDeparture(ctx, r.Upstream.ID); unconfirmed != nil {
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
		if r.Leaving && r.Upstream.Start != 0 {
			a.departures.add(a.reportIDOf(r).departure()) // the process that is reported has left, if it was not known yet
		}
		return ErrStale
	}
	if err := a.checkService(r); err != nil {
		return err
	}
	if r.Leaving {
		a.applyLeave(r, now)
		return nil
	}
	a.lastReport = a.reportIDOf(r)
	return a.accept(r.Upstream, r.Seq, now)
}

// applyLeave withdraws the upstream and records its departure. The caller holds the lock.
func (a *Announcer) applyLeave(r Report, now time.Time) {
	u, last := r.Upstream, a.lastReport
	if !a.isKnownProcess(r) {
		a.applyUnknownLeave(r, now)
		return
	}
	a.lastReport = a.reportIDOf(r)
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

// isKnownProcess reports whether a leave is that of an upstream on this VM: its process has reported before, or the leave names a
// service that the configuration has. The caller holds the lock.
func (a *Announcer) isKnownProcess(r Report) bool {
	u := r.Upstream
	return a.lastReport.isSameProcess(u) || a.announcedID() == u.ID || !r.Final && a.isConfigured() && a.hasService(u.Service)
}

// applyUnknownLeave records the departure of a process that has not reported before. It makes only its own reports out of date:
// it may not be the upstream on this VM. Without a start time, the processes under the id that have started by now have left.
// The caller holds the lock.
func (a *Announcer) applyUnknownLeave(r Report, now time.Time) {
	gone := a.reportIDOf(r).departure()
	if gone.Start == 0 {
		gone.Start = now.UnixMilli()
	}
	a.log.Warn("leave of an upstream that has not reported", "id", r.Upstream.ID, "start", r.Upstream.Start)
	a.departures.add(gone)
}

// checkService refuses a report for a service that the configuration does not have: it comes from another writer, and must
// neither replace the upstream nor make its reports out of date. A process that was accepted while the configuration had its
// service goes on reporting. Until there is a configuration, all services are accepted. The caller holds the lock.
func (a *Announcer) checkService(r Report) error {
	service := r.Upstream.Service
	if r.Final || !a.isConfigured() || a.hasService(service) {
		return nil
	}
	if last := a.lastReport; last.isSameProcess(r.Upstream) && last.service == service && last.configured {
		return nil
	}
	return fmt.Errorf("%w: %q", ErrUnknownService, service)
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
