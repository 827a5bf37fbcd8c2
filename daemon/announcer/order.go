package announcer

import "bluebellhoist/core/wire"

// reportID identifies a report and orders it among the reports of the upstream.
type reportID struct {
	id         string
	start      int64
	seq        uint64
	service    string
	configured bool // the configuration had the service when a report of the process was accepted
	leaving    bool // the upstream is leaving
	final      bool // all other reports of the same process are out of date
}

// reportIDOf returns the id of a report that is being accepted. A final report does not name the service of its process.
// The caller holds the lock.
func (a *Announcer) reportIDOf(r Report) reportID {
	u, last := r.Upstream, a.lastReport
	n := reportID{id: u.ID, start: u.Start, seq: max(r.Seq, 1), service: u.Service, leaving: r.Leaving, final: r.Final}
	if last.isSameProcess(u) && (r.Final || last.service == u.Service) {
		n.service, n.configured = last.service, last.configured
	}
	n.configured = n.configured || a.isConfigured() && a.hasService(n.service)
	return n
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

// startOf returns the start time of an upstream that a report does not state, or 0 if it is unknown.
func (a *Announcer) startOf(id string) int64 {
	switch {
	case a.lastReport.id == id && a.lastReport.start != 0:
		return a.lastReport.start
	case a.current != nil && a.current.ID == id && a.current.Start != 0:
		return a.current.Start
	}
	gone, _ := a.departures.of(id)
	return gone.Start
}

// isStale reports whether a report was sent before one that has been applied, or before a leave.
func (a *Announcer) isStale(r Report) bool {
	u, last := r.Upstream, a.lastReport
	seq := r.Seq
	if r.Final {
		seq = wire.FinalSeq
	}
	if a.isDeparted(u.ID, u.Start, seq) {
		return true
	}
	if last.isSameProcess(u) {
		return last.final || r.Seq != 0 && r.Seq <= last.seq
	}
	return u.Start != 0 && u.Start < last.start && a.outranks(last, u)
}

// outranks reports whether a report of a later process shows that the process of u has ended. A report that was accepted before
// there was a configuration may come from another writer; it outranks only processes of the same service, unless the
// configuration turned out to have its service. The caller holds the lock.
func (a *Announcer) outranks(later reportID, u wire.Upstream) bool {
	return later.service == u.Service || later.configured || a.isConfigured() && a.hasService(later.service)
}
