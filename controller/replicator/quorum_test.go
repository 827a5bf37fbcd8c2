package replicator

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

// majority returns the size of a majority, with which entries are acknowledged as long as no voter is known to be lost.
func majority(voters int) int {
	return quorumSize(voters, 0)
}

// TestQuorumSize guards against two decisions without a common voter: one that knows that some voters are lost, and one that
// knows fewer or other lost voters and counts what they answered before.
func TestQuorumSize(t *testing.T) {
	const maxVoters = 12
	for voters := range maxVoters + 1 {
		is := is.New(t)
		is.Equal(majority(voters), voters/2+1)
		for lost := range voters + 1 {
			for laterLost := range voters - lost + 1 {
				// The first decision may contain voters that are lost when the second one is made, but not the reverse.
				is.True(quorumSize(voters, lost)-laterLost+quorumSize(voters, lost+laterLost) > voters-lost-laterLost)
				is.True(quorumSize(voters, lost)-laterLost+quorumSize(voters, laterLost) > voters-lost-laterLost)
			}
		}
	}
}

// TestLossBound guards against a number of voters that does not bear the promised losses: one removal without notice while a
// successor votes, and the tolerated number of lost disks.
func TestLossBound(t *testing.T) {
	for tolerance := 1; tolerance <= 4; tolerance++ {
		for spares := 1; spares <= 2; spares++ {
			t.Run(fmt.Sprintf("%d disks, %d spares", tolerance, spares), func(t *testing.T) {
				is := is.New(t)
				voters := 2*tolerance + 1 + spares
				losses := 1 + tolerance
				is.True(majority(voters) > losses)                             // a copy of each acknowledged entry remains
				is.True(voters-losses >= quorumSize(voters, tolerance))        // a leader can be elected
				is.True(majority(voters-1) > tolerance)                        // the same after the removed voter has lost its vote
				is.True(voters-1-tolerance >= quorumSize(voters-1, tolerance)) // without a further removal
			})
		}
	}
}

// newVoter returns node 0 of a cluster in which nodes 0 to count-1 vote.
func newVoter(count int) *core {
	return newCore(voters(count)[0], "c", storer.State{
		Term: 1, Entries: []wire.Entry{{Index: 1, Term: 1, Nodes: voters(count)}}, Commit: 1,
	}, nil, rand.New(rand.NewPCG(1, 1)))
}

// voters returns nodes 0 to count-1.
func voters(count int) (nodes []wire.Node) {
	for i := range count {
		nodes = append(nodes, wire.Node{ID: fmt.Sprint("id", i), Name: fmt.Sprint("n", i), Addr: simAddr(i), Voter: true})
	}
	return nodes
}

// lostReply returns the packet in which node i, which has a new identity, says that it has lost its first one.
func lostReply(c *core, i int) wire.Packet {
	from := voters(i + 1)[i]
	lost := from.ID
	from.ID = "new"
	return wire.Packet{Kind: kindIdentityLost, Cluster: "c", From: from, To: c.self.ID, Nodes: []wire.Node{{ID: lost}}}
}

// TestLostIdentity guards against a voter that is left out of the quorum although it has its disk, and against one that is not left
// out although its disk is gone.
func TestLostIdentity(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(p *wire.Packet)
		lost   bool
	}{
		{"another identity at the name and address", func(*wire.Packet) {}, true},
		{"another name", func(p *wire.Packet) { p.From.Name = "n9" }, false},
		{"another address", func(p *wire.Packet) { p.From.Addr = simAddr(9) }, false},
		{"the same identity", func(p *wire.Packet) { p.From.ID = "id2" }, false},
		{"an unknown identity", func(p *wire.Packet) { p.Nodes[0].ID = "id9" }, false},
		{"another cluster", func(p *wire.Packet) { p.Cluster = "d" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			asking := newVoter(4)
			p := lostReply(asking, 2)
			c.change(&p)
			asking.step(input{packets: []wire.Packet{p}})
			is.New(t).Equal(asking.lost["id2"], c.lost)
		})
	}
	t.Run("the new identity answers", func(t *testing.T) {
		is := is.New(t)
		fresh := newCore(wire.Node{ID: "new", Name: "n2", Addr: simAddr(2)}, "", storer.State{}, nil, rand.New(rand.NewPCG(1, 1)))
		asked := wire.Packet{Kind: kindPreVote, Cluster: "c", From: voters(1)[0], To: "id2", Term: 2}
		out := fresh.step(input{packets: []wire.Packet{asked}})
		is.Equal(len(out.afterSync), 1)
		asking := newVoter(4)
		asking.step(input{packets: []wire.Packet{out.afterSync[0].Packet}})
		is.True(asking.lost["id2"])
	})
}

// TestLossKnownDuringElection guards against an election that counts what voters answered before a loss that becomes known only
// afterwards.
func TestLossKnownDuringElection(t *testing.T) {
	is := is.New(t)
	c := newVoter(4)
	c.startElection()
	c.flush()
	c.persisted()
	c.step(input{packets: []wire.Packet{{Kind: kindVoteReply, Cluster: "c", From: voters(2)[1], To: "id0", Term: c.term}}})
	c.step(input{packets: []wire.Packet{lostReply(c, 2)}})
	is.Equal(c.role, candidate) // two of four
	c.startElection()
	c.flush()
	c.persisted()
	c.step(input{packets: []wire.Packet{{Kind: kindVoteReply, Cluster: "c", From: voters(2)[1], To: "id0", Term: c.term}}})
	is.Equal(c.role, leader) // the loss was known before this election
}

// TestChangeOfVoters guards against a change from four to three voters that two nodes commit alone: the others could elect a leader
// without it after one of these has lost its disk.
func TestChangeOfVoters(t *testing.T) {
	answered := func(ids ...string) func(id string) bool {
		return func(id string) bool {
			for _, other := range ids {
				if id == other {
					return true
				}
			}
			return false
		}
	}
	is := is.New(t)
	c := newVoter(4)
	c.role, c.term = leader, 2
	c.syncPeers()
	c.appendEntry(wire.Entry{Nodes: voters(3)})
	is.True(!c.isQuorum(answered("id0", "id1")))
	is.True(c.isQuorum(answered("id0", "id1", "id3")))
	is.True(!c.isQuorum(answered("id0", "id3", "id4")))
	c.log.commit = c.log.nodesIndex
	is.True(c.isQuorum(answered("id0", "id1")))
}
