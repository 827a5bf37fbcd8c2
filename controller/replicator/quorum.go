package replicator

import (
	"slices"

	"bluebellhoist/core/wire"
)

// quorumSize returns how many of the voters that still have their disk a decision needs, if lost of the voters have lost it
// for good.
//
// Without lost voters it is a majority. A lost voter never acts again, so a majority of the others suffices to exclude a
// second decision among them. The decision must also meet each one that was made by a majority of all voters, lost ones
// included, in a voter that still has its disk: voters - voters/2 of them do. Without that, the decision could miss entries that
// the lost voters had acknowledged.
func quorumSize(voters, lost int) int {
	return max((voters-lost)/2+1, voters-voters/2)
}

// quorumValue returns the highest value that a quorum has reached. While a change of the voters is uncommitted, it takes a
// quorum of the voters before the change and one of those after it. Otherwise a change from four to three voters could commit
// on two of them, which the other two miss if one of these has lost its disk.
func (c *core) quorumValue(value func(id string) uint64) uint64 {
	reached := c.quorumValueAmong(c.log.nodes, value)
	if previous := c.previousNodes(); hasVoter(previous) {
		reached = min(reached, c.quorumValueAmong(previous, value))
	}
	return reached
}

// quorumValueAmong returns the highest value that a quorum of the voters among nodes has reached, or 0 if there is no quorum.
func (c *core) quorumValueAmong(nodes []wire.Node, value func(id string) uint64) uint64 {
	lost := c.knownLost()
	var values []uint64
	voters := 0
	for _, n := range nodes {
		if !n.Voter {
			continue
		}
		voters++
		if !lost[n.ID] {
			values = append(values, value(n.ID))
		}
	}
	size := quorumSize(voters, voters-len(values))
	if size > len(values) {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-size]
}

// knownLost returns the lost identities that the next decision may leave out. An election and the term that it begins use what was
// known before they began: everyone that answers in this term does so after these identities were lost. Otherwise the answers
// of two lost voters from before their loss could decide two elections in one term, each without the other voter.
func (c *core) knownLost() map[string]bool {
	if c.role == preCandidate {
		return c.lost
	}
	return c.lostBeforeTerm
}

// isQuorum reports whether the nodes for which has returns true are a quorum.
func (c *core) isQuorum(has func(id string) bool) bool {
	return c.quorumValue(func(id string) uint64 {
		if has(id) {
			return 1
		}
		return 0
	}) == 1
}

// previousNodes returns the membership before an uncommitted one, or nil if the latest one is committed.
func (c *core) previousNodes() []wire.Node {
	if c.log.nodesIndex <= c.log.commit {
		return nil
	}
	return c.log.previousNodes
}

// electorate returns the nodes whose votes may decide an election: the members, and those of the membership before an
// uncommitted one.
func (c *core) electorate() []wire.Node {
	nodes := slices.Clone(c.log.nodes)
	for _, n := range c.previousNodes() {
		if i := slices.IndexFunc(nodes, func(m wire.Node) bool { return m.ID == n.ID }); i < 0 {
			nodes = append(nodes, n)
		} else {
			nodes[i].Voter = nodes[i].Voter || n.Voter
		}
	}
	return nodes
}

func hasVoter(nodes []wire.Node) bool {
	return slices.ContainsFunc(nodes, func(n wire.Node) bool { return n.Voter })
}

// sameVoters reports whether two memberships have the same voters.
func sameVoters(a, b []wire.Node) bool {
	return includesVoters(a, b) && includesVoters(b, a)
}

// includesVoters reports whether each voter of b is a voter of a.
func includesVoters(a, b []wire.Node) bool {
	for _, voter := range b {
		if voter.Voter && !slices.ContainsFunc(a, func(n wire.Node) bool { return n.ID == voter.ID && n.Voter }) {
			return false
		}
	}
	return true
}
