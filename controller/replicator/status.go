package replicator

import (
	"time"

	"bluebellhoist/core/wire"
)

// Status describes the node at one moment.
type Status struct {
	Cluster  string
	Self     wire.Node // Voter is the membership, not the setting
	Role     string    // leader, follower, candidate, pre-candidate or learner
	Term     uint64
	Leader   wire.Node // empty ID if unknown
	Commit   uint64
	Applied  uint64
	QuorumAt time.Time // a leader had a majority at or after this time; zero if unknown
	// CurrentAt is a time before which every acknowledged command is applied here; zero if unknown.
	CurrentAt time.Time
	Nodes     []wire.Node
}

// Status returns the current status. It may be called from any goroutine.
func (r *Replicator) Status() Status {
	return *r.status.Load()
}

// publishStatus makes the status of the core visible to other goroutines and logs changes of role, term or leader.
func (r *Replicator) publishStatus() {
	c := r.core
	s := Status{
		Cluster: c.cluster, Self: c.self, Role: string(c.role), Term: c.term, Leader: c.lead,
		Commit: c.log.commit, Applied: c.log.applied, Nodes: c.log.nodes,
	}
	s.Self.Voter = c.isVoter(c.self.ID)
	if c.role == follower && !s.Self.Voter {
		s.Role = "learner"
	}
	if c.hasQuorumTick {
		s.QuorumAt = r.started.Add(time.Duration(c.quorumTick-c.startTick) * Tick)
	}
	if c.hasCurrentTick {
		s.CurrentAt = r.started.Add(time.Duration(c.currentTick-c.startTick) * Tick)
	}
	old := r.status.Swap(&s)
	if old != nil && (old.Role != s.Role || old.Term != s.Term || old.Leader.ID != s.Leader.ID) {
		r.log.Info("role changed", "role", s.Role, "term", s.Term, "leader", s.Leader.Name)
	}
	if len(c.lost) > r.loggedLosses {
		r.loggedLosses = len(c.lost)
		r.log.Warn("voters have lost their data folder", "lost", sortedKeys(c.lost), "nodes", s.Nodes)
	}
}
