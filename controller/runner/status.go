package runner

import (
	"time"

	"bluebellhoist/core/presenter"
)

// fresh reports whether the node holds every change that was acknowledged more than maxContactAge ago.
func (r *Runner) fresh() bool {
	return time.Since(r.replicator.Status().CurrentAt) < maxContactAge
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
