package runner

import (
	"time"

	"bluebellhoist/core/presenter"
)

// fresh reports whether the node holds every change that was acknowledged more than maxContactAge ago. It logs when that begins and
// ends; sessions ask at least twice a second.
func (r *Runner) fresh() bool {
	s := r.replicator.Status()
	age := time.Since(s.CurrentAt)
	fresh := age < maxContactAge
	switch {
	case r.wasFresh.Swap(fresh) == fresh:
	case fresh:
		r.log.Info("controller is fresh", "applied", s.Applied, "term", s.Term)
	default:
		r.log.Warn("controller is no longer fresh", "age", age.String(), "applied", s.Applied, "term", s.Term, "leader", s.Leader.Name)
	}
	return fresh
}

// inContact reports whether the node heard from a leader with a majority within maxContactAge. Its view may be behind.
func (r *Runner) inContact() bool {
	return time.Since(r.replicator.Status().QuorumAt) < maxContactAge
}

// status returns the state of the node for operators.
func (r *Runner) status() presenter.Status {
	s := r.replicator.Status()
	status := presenter.Status{
		Name:    r.settings.Name,
		Role:    s.Role,
		Leader:  s.Leader.Name,
		Term:    s.Term,
		Commit:  s.Commit,
		Applied: s.Applied,
		Version: r.registrar.View().Version(),
		Fresh:   r.fresh(),
		Nodes:   []presenter.Node{},
		Daemons: r.distributor.Daemons(),
	}
	for _, n := range s.Nodes {
		status.Nodes = append(status.Nodes, presenter.Node{Name: n.Name, Addr: n.Addr.String(), Voter: n.Voter})
	}
	return status
}
