package replicator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

// Tick is the time unit of the core.
const Tick = 50 * time.Millisecond

// Durations in ticks.
const (
	heartbeatTicks           = 3  // 150 ms
	electionTicks            = 12 // 600 ms; the election timeout is 1 to 2 times this, 0.6-1.2 s
	startElectionTicks       = 2  // the first election timeout after a start is 0.1-0.4 s
	startElectionSpreadTicks = 6  // wide enough that nodes which start together seldom split the vote
	retryElectionTicks       = 4  // a candidate retries after 0.2-0.6 s, since the other nodes have no leader either
	retryElectionSpreadTicks = 8
	sameAddrReplaceTicks     = 20   // 1 s of silence until a node is replaced by a new identity at its address
	replaceTicks             = 200  // 10 s of silence until a node is replaced by a new identity at another address
	replaceVoterTicks        = 50   // 2.5 s of silence until a learner replaces a voter
	joinRetryTicks           = 20   // 1 s between join requests
	removeLearnerTicks       = 1200 // 1 min of silence until a learner is removed; it joins again when it is back
	leaveRetryTicks          = 2    // 100 ms between requests of a voter that leaves
	leaveRequestTicks        = 20   // 1 s for which a leader honours such a request, so that it lapses if the node restarts
	formerLeaderTicks        = 10   // 500 ms to wait for the reply of a leader that was replaced
	replyTimeoutTicks        = 60   // 3 s: longer than any election timeout, so a partitioned leader has stepped down
)

// Limits of replication.
const (
	maxAppendBytes     = 1 << 20   // entry data in one append packet
	maxPartBytes       = 256 << 10 // data in one part of a checkpoint
	maxInFlightEntries = 4096      // entries sent to a peer beyond the last one it acknowledged
	entryOverheadBytes = 32        // estimated encoded size of an entry without its data
	maxPromotionLag    = 1024      // entries that a learner may lag behind when promoted; about as many share one sync
	compactEntries     = 8192      // entries between checkpoints
	compactBytes       = 512 << 10 // uncompressed data applied since the last checkpoint; a restart applies it again
	retainedEntries    = 2048      // entries kept before a checkpoint, so that slow followers need not receive the checkpoint
	retainedBytes      = 256 << 10 // data of the retained entries
)

// role is the role of a node in its term.
type role string

const (
	follower     role = "follower"
	preCandidate role = "pre-candidate"
	candidate    role = "candidate"
	leader       role = "leader"
)

// input holds what happened since the last step.
type input struct {
	ticks     uint64
	now       int64 // wall clock in milliseconds since the Unix epoch
	packets   []wire.Packet
	proposals []proposal
	reads     []uint64 // request IDs
	cancelled []uint64 // IDs of proposals and reads whose callers no longer wait
	leave     bool     // the node stops as planned and hands over the leadership and its vote
}

// output is what the runtime does after a step, in this order: send beforeSync, store joinedCluster, persist install
// and record, send afterSync, restore the state machine from install, apply committed, deliver responses and
// readyReads. If record is set, the runtime then calls persisted.
type output struct {
	beforeSync    []outgoing
	joinedCluster string           // cluster that the node has just joined; empty if none
	install       *wire.Checkpoint // checkpoint that replaces the log and the state
	record        *wire.Record     // record to persist; holds the whole log if install is set
	afterSync     []outgoing
	committed     []committedEntry
	responses     []response
	readyReads    []uint64 // reads whose index has been applied
}

// core is the replicated log as a deterministic state machine without clock, I/O or goroutines.
type core struct {
	self         wire.Node // Voter is the setting, not the membership
	cluster      string
	seeds        []netip.AddrPort
	maxVoters    int // 0 for no limit
	minVoters    int // a silent voter loses its vote only if this many remain; 0 for maxVoters
	rand         *rand.Rand
	log          *raftLog
	startTick    uint64 // random, so that a tick from before a restart is not mistaken for one of this run
	tick         uint64
	now          int64 // wall clock in milliseconds since the Unix epoch
	invariantErr error // violated invariant; the node must stop

	role             role
	electionsWon     uint64 // since the start
	term             uint64
	vote             string
	hardStateDirty   bool      // term or vote has changed since the last record
	lead             wire.Node // empty ID if unknown
	lastContact      uint64    // tick of the last packet from lead
	electionDeadline uint64    // tick of the next election
	electionTimeout  uint64    // randomized, in ticks
	nextJoin         uint64
	grantedVotes     map[string]bool // by voter
	lost             map[string]bool // by node ID: identities whose data folder is lost
	lostBeforeTerm   map[string]bool // lost as it was when this node began its last election

	leave leaveState

	peers            map[string]*peer // by node ID; leader only
	lastRound        uint64           // number of the last heartbeat round
	pendingRounds    []heartbeatRound // rounds that no majority has acknowledged yet
	quorumTick       uint64           // latest tick at which a leader is known to have had a majority
	hasQuorumTick    bool
	currentTick      uint64 // every entry acknowledged before this tick is committed here
	hasCurrentTick   bool
	nextHeartbeat    uint64
	lastCommandTime  int64  // never goes back; same unit as now
	transferTarget   string // ID of the node that leadership is transferred to; empty if none
	transferDeadline uint64

	origins            map[uint64]origin           // by index, of the entries that this leader appended
	pendingProposals   map[uint64]*pendingProposal // by request ID
	reads              map[uint64]*read            // by request ID
	leaderReads        []leaderRead
	incomingCheckpoint checkpointBuffer

	out output
}

func newCore(self wire.Node, cluster string, st storer.State, seeds []netip.AddrPort, random *rand.Rand) *core {
	c := &core{
		self: self, cluster: cluster, seeds: seeds, rand: random, log: newLog(st),
		role: follower, term: st.Term, vote: st.Vote,
		pendingProposals: map[uint64]*pendingProposal{}, reads: map[uint64]*read{}, origins: map[uint64]origin{},
		lost: map[string]bool{},
	}
	c.startTick = random.Uint64() >> 1
	c.tick, c.quorumTick = c.startTick, c.startTick
	c.resetElectionTimer()
	// The first election starts early, since no node leads after all have restarted together. A node that restarts
	// alone does not disrupt the leader, because of the pre-vote.
	c.electionDeadline = c.tick + startElectionTicks + c.rand.Uint64N(startElectionSpreadTicks)
	return c
}

// step processes the events since the last step. Packets are handled before timers, so that a process that was
// suspended sees the queued packets of its leader before it starts an election.
func (c *core) step(in input) output {
	c.tick += in.ticks
	c.now = in.now
	for _, p := range in.packets {
		c.receive(p)
	}
	for _, id := range in.cancelled {
		delete(c.pendingProposals, id)
		delete(c.reads, id)
	}
	for _, p := range in.proposals {
		c.propose(p)
	}
	for _, id := range in.reads {
		c.addRead(id)
	}
	if in.leave {
		c.startLeave()
	}
	if in.ticks > 0 {
		c.runTimers()
	}
	return c.flush()
}

// persisted continues once the record of the last output is durable: only now do the entries and the vote of this node
// count.
func (c *core) persisted() output {
	c.log.durable = c.log.last()
	if c.role == candidate {
		c.grantedVotes[c.self.ID] = true
		c.countVotes()
	}
	return c.flush()
}

// flush commits and replicates on the leader, emits committed entries and returns the collected output.
func (c *core) flush() output {
	if c.role == leader {
		c.advanceCommit()
		c.recordOwnCurrentTick()
		c.startReadRound()
		c.replicate()
	}
	c.emitCommitted()
	out := c.out
	c.out = output{}
	if c.hardStateDirty || c.log.firstUnsynced > 0 || out.install != nil || c.log.votersCommitted() {
		out.record = &wire.Record{Term: c.term, Vote: c.vote, Commit: c.log.commit}
		c.log.storedCommit = c.log.commit
		if out.install != nil {
			out.record.Base, out.record.Prior, out.record.Entries = c.log.base, c.log.baseTerm, c.log.entries
		} else if c.log.firstUnsynced > 0 {
			out.record.Entries = c.log.entriesAfter(c.log.firstUnsynced - 1)
		}
	}
	if c.hardStateDirty {
		out.afterSync, out.beforeSync = append(out.beforeSync, out.afterSync...), nil
	}
	c.hardStateDirty, c.log.firstUnsynced = false, 0
	return out
}

// emitCommitted adds committed entries to the output, for the state machine, and completes the reads that they cover.
func (c *core) emitCommitted() {
	log := c.log
	for log.applied < log.commit {
		e := log.entries[log.applied-log.base]
		log.applied = e.Index
		item := committedEntry{Entry: e, origin: c.origins[e.Index]}
		delete(c.origins, e.Index)
		c.out.committed = append(c.out.committed, item)
	}
	c.completeReads()
}

func (c *core) runTimers() {
	c.resendProposals()
	c.resendReads()
	c.joinIfLeaderless()
	if c.role == leader {
		c.runLeaderTimers()
		return
	}
	c.continueLeave()
	if c.tick < c.electionDeadline {
		return
	}
	c.lead = wire.Node{}
	if c.isVoter(c.self.ID) {
		c.startPreVote()
	} else {
		c.resetElectionTimer()
	}
}

func (c *core) runLeaderTimers() {
	if c.isQuorum(func(id string) bool { return id == c.self.ID }) {
		c.quorumTick = c.tick
	}
	if c.tick-c.quorumTick >= c.electionTimeout {
		// Check-quorum: after an election timeout without a majority another node may have been elected.
		c.becomeFollower(c.term, wire.Node{})
		return
	}
	if c.transferTarget != "" && c.tick >= c.transferDeadline {
		c.transferTarget = ""
	}
	c.continueLeave()
	if c.tick < c.nextHeartbeat {
		return
	}
	c.nextHeartbeat = c.tick + heartbeatTicks
	c.maintainMembership()
	c.broadcastHeartbeat()
}

// receive handles one packet. Join requests are exempt from the checks, since their sender does not know the receiver's
// ID and may belong to no cluster yet.
func (c *core) receive(p wire.Packet) {
	if p.Kind == kindJoin {
		c.onJoin(p)
		return
	}
	if p.To != c.self.ID {
		c.onMisdirected(p)
		return
	}
	if p.From.ID == c.self.ID || !c.sameCluster(p) {
		return
	}
	switch p.Kind {
	case kindPreVote:
		c.onPreVote(p)
	case kindLeave:
		c.onLeave(p)
	case kindIdentityLost:
		c.onIdentityLost(p)
	case kindLeaveReply:
		c.onLeaveReply(p)
	case kindPropose:
		c.onPropose(p)
	case kindProposeReply:
		c.onProposeReply(p)
	case kindRead:
		c.onRead(p)
	case kindReadReply:
		c.onReadReply(p)
	case kindPreVoteReply:
		c.onPreVoteReply(p)
	default:
		c.receiveInTerm(p)
	}
}

// sameCluster reports whether a packet belongs to the cluster of this node. A node with an empty data folder joins the
// cluster of the first leader that replicates to its identity.
func (c *core) sameCluster(p wire.Packet) bool {
	if p.Cluster == c.cluster {
		return p.Cluster != ""
	}
	if c.cluster != "" || p.Kind != kindAppend && p.Kind != kindCheckpointPart {
		return false
	}
	c.cluster, c.out.joinedCluster = p.Cluster, p.Cluster
	return true
}

// receiveInTerm handles packets that are valid only in their own term.
func (c *core) receiveInTerm(p wire.Packet) {
	fromLeader := p.Kind == kindAppend || p.Kind == kindCheckpointPart
	if p.Term < c.term {
		c.rejectOldTerm(p)
		return
	}
	if p.Term > c.term {
		c.becomeFollower(p.Term, wire.Node{})
	}
	if fromLeader && c.role == leader {
		c.failInvariant("two leaders in term %d: %s and %s", c.term, c.self.ID, p.From.ID)
		return
	}
	switch p.Kind {
	case kindVote:
		c.onVote(p)
	case kindVoteReply:
		c.onVoteReply(p)
	case kindAppend:
		c.onAppend(p)
	case kindAppendReply:
		c.onAppendReply(p)
	case kindCheckpointPart:
		c.onCheckpointPart(p)
	case kindCheckpointPartReply:
		c.onCheckpointPartReply(p)
	case kindTransfer:
		c.onTransfer(p)
	}
}

// rejectOldTerm tells a leader or candidate of an older term about the current one, so that it steps down.
func (c *core) rejectOldTerm(p wire.Packet) {
	kind := kindAppendReply
	switch p.Kind {
	case kindVote:
		kind = kindVoteReply
	case kindAppend, kindCheckpointPart:
	default:
		return
	}
	reply := c.packet(kind, p.From.ID)
	reply.Reject = true
	c.sendAfterSync(p.From.Addr, reply)
}

// compact makes a checkpoint of the applied entries from state and returns it with the record that replaces the
// durable log.
func (c *core) compact(state []byte) (wire.Checkpoint, wire.Record) {
	c.log.compact(state, retainedEntries, retainedBytes)
	c.log.storedCommit = c.log.commit
	return c.log.checkpoint, wire.Record{
		Term: c.term, Vote: c.vote, Base: c.log.base, Prior: c.log.baseTerm, Commit: c.log.commit, Entries: c.log.entries,
	}
}

// failInvariant records the first violated invariant.
func (c *core) failInvariant(format string, args ...any) {
	if c.invariantErr == nil {
		c.invariantErr = fmt.Errorf("%w: "+format, append([]any{ErrInvariant}, args...)...)
	}
}
