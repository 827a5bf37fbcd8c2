package replicator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

// Tick is the unit of time of the step core.
const Tick = 50 * time.Millisecond

// Durations in ticks.
const (
	heartbeatTicks = 3  // 150 ms
	electionTicks  = 12 // the election timeout is 1 to 2 times this: 0.6-1.2 s
	startTicks     = 2  // the first election timeout after a start is 0.1-0.4 s
	startSpread    = 6  // apart enough that two controllers which start together seldom split the votes
	retryTicks     = 4  // a candidate without enough votes tries again after 0.2-0.6 s: others have no leader either
	retrySpread    = 8
	rivalTicks     = 20  // 1 s until an identity is replaced by another one at its address
	silentTicks    = 200 // 10 s until a lost identity is replaced
	seatTicks      = 50  // 2.5 s until a waiting learner takes the seat of a silent voter
	joinTicks      = 20
	graceTicks     = 10 // 500 ms for the answer of a leader that was replaced
	answerTicks    = 60 // longer than the longest election timeout, after which a cut-off leader has stepped down
)

// Limits of replication.
const (
	batchBytes    = 1 << 20   // data of one append packet
	partBytes     = 256 << 10 // data of one state snapshot part
	windowEntries = 4096      // entries sent ahead of the last answer
	entryOverhead = 32        // estimated encoded size of an entry without its data
	caughtUp      = 1024      // entries that a learner may be behind when it is promoted: about what one sync holds
	compactEvery  = 8192      // entries between checkpoints
	compactBytes  = 512 << 10 // entries applied since the last checkpoint, without compression: they are applied again after a restart
	keepEntries   = 2048      // entries kept before a checkpoint, so that slow followers need no state snapshot
	keepBytes     = 256 << 10 // data of the entries kept
)

type role string

// Roles of a node.
const (
	follower     role = "follower"
	preCandidate role = "pre-candidate"
	candidate    role = "candidate"
	leader       role = "leader"
)

// input is what happened since the last step.
type input struct {
	ticks     uint64
	now       int64 // wall clock in milliseconds since the Unix epoch
	packets   []wire.Packet
	proposals []proposal
	reads     []uint64
	cancels   []uint64
	transfer  bool
}

// output is what the runtime does after a step, in this order: send early, make cluster, install, record durable, send
// late, deliver committed, answer. If there was anything to make durable it then calls persisted.
type output struct {
	early     []outgoing
	cluster   string           // cluster joined
	install   *wire.Checkpoint // state snapshot that replaces log and state
	record    *wire.Record     // whole log if install is set
	late      []outgoing
	committed []committed
	answers   []answer
	ready     []uint64 // reads whose index is delivered
}

// core is the replicated log as a deterministic state machine without clock, I/O or goroutines.
type core struct {
	self    wire.Node // voter tells the settings
	cluster string
	seeds   []netip.AddrPort
	seats   int // most voters; 0 for no limit
	rand    *rand.Rand
	log     *raftLog
	booted  uint64 // tick at start; random, so that clocks of an earlier run are not taken for this one's
	tick    uint64
	now     int64
	fault   error // broken invariant; the node must stop

	role      role
	won       uint64 // elections won since the start
	term      uint64
	vote      string
	hardDirty bool
	lead      wire.Node // empty ID if unknown
	heard     uint64    // tick of the last packet from lead
	deadline  uint64    // tick of the next election
	timeout   uint64    // randomised election timeout
	nextJoin  uint64
	granted   map[string]bool

	peers     map[string]*peer // leader only
	seq       uint64
	rounds    []round
	fresh     uint64 // tick up to which a leader is known to have had a majority
	everFresh bool
	nextBeat  uint64
	stamp     int64
	target    string // node that leadership is transferred to
	targetEnd uint64

	origins  map[uint64]origin // by index, of entries this leader appended
	waiting  map[uint64]*forward
	reads    map[uint64]*read
	leadRead []leaderRead
	parts    partBuffer

	out output
}

func newCore(self wire.Node, cluster string, st storer.State, seeds []netip.AddrPort, source *rand.Rand) *core {
	c := &core{
		self: self, cluster: cluster, seeds: seeds, rand: source, log: newLog(st),
		role: follower, term: st.Term, vote: st.Vote,
		waiting: map[uint64]*forward{}, reads: map[uint64]*read{}, origins: map[uint64]origin{},
	}
	c.booted = source.Uint64() >> 1
	c.tick, c.fresh = c.booted, c.booted
	c.resetElection()
	// After a common restart nobody leads. A node that starts alone does no harm, since pre-votes protect a leader.
	c.deadline = c.tick + startTicks + c.rand.Uint64N(startSpread)
	return c
}

// step handles one batch of events. Packets come before timers, so that a process that was suspended sees the queued
// packets of its leader before it starts an election.
func (c *core) step(in input) output {
	c.tick += in.ticks
	c.now = in.now
	for _, p := range in.packets {
		c.receive(p)
	}
	for _, id := range in.cancels {
		delete(c.waiting, id)
		delete(c.reads, id)
	}
	for _, p := range in.proposals {
		c.propose(p)
	}
	for _, id := range in.reads {
		c.addRead(id)
	}
	if in.transfer {
		c.startTransfer()
	}
	if in.ticks > 0 {
		c.timers()
	}
	return c.flush()
}

// persisted continues after the state of the last output is durable.
func (c *core) persisted() output {
	c.log.durable = c.log.last()
	if c.role == candidate {
		c.granted[c.self.ID] = true
		c.countVotes()
	}
	return c.flush()
}

// flush sends what is due and returns the output of the step.
func (c *core) flush() output {
	if c.role == leader {
		c.advanceCommit()
		c.startRound()
		c.replicate()
	}
	c.deliver()
	out := c.out
	c.out = output{}
	if c.hardDirty || c.log.dirty > 0 || out.install != nil {
		out.record = &wire.Record{Term: c.term, Vote: c.vote}
		if out.install != nil {
			out.record.Base, out.record.Prior, out.record.Entries = c.log.base, c.log.prior, c.log.entries
		} else if c.log.dirty > 0 {
			out.record.Entries = c.log.after(c.log.dirty - 1)
		}
	}
	if c.hardDirty {
		out.late, out.early = append(out.early, out.late...), nil
	}
	c.hardDirty, c.log.dirty = false, 0
	return out
}

// deliver hands committed entries to the state machine and completes reads that they cover.
func (c *core) deliver() {
	l := c.log
	for l.delivered < l.commit {
		e := l.entries[l.delivered-l.base]
		l.delivered = e.Index
		item := committed{Entry: e, origin: c.origins[e.Index]}
		delete(c.origins, e.Index)
		c.out.committed = append(c.out.committed, item)
	}
	c.finishReads()
}

func (c *core) timers() {
	c.retryForwards()
	c.retryReads()
	c.joinIfLost()
	if c.role == leader {
		c.leaderTimers()
		return
	}
	if c.tick < c.deadline {
		return
	}
	c.lead = wire.Node{}
	if c.isVoter(c.self.ID) {
		c.startPreVote()
	} else {
		c.resetElection()
	}
}

func (c *core) leaderTimers() {
	if c.quorum() == 1 {
		c.fresh = c.tick
	}
	if c.tick-c.fresh >= c.timeout {
		// Check-quorum: without a majority for an election timeout there may be another leader.
		c.becomeFollower(c.term, wire.Node{})
		return
	}
	if c.target != "" && c.tick >= c.targetEnd {
		c.target = ""
	}
	if c.tick < c.nextBeat {
		return
	}
	c.nextBeat = c.tick + heartbeatTicks
	c.maintain()
	c.beat()
}

// receive handles one packet.
func (c *core) receive(p wire.Packet) {
	if p.Kind == kindJoin {
		c.onJoin(p)
		return
	}
	if p.To != c.self.ID || p.From.ID == c.self.ID || !c.sameCluster(p) {
		return
	}
	switch p.Kind {
	case kindPreVote:
		c.onPreVote(p)
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

// sameCluster keeps nodes of different clusters apart. A node with a fresh folder adopts the cluster of the first leader
// that replicates to its identity.
func (c *core) sameCluster(p wire.Packet) bool {
	if p.Cluster == c.cluster {
		return p.Cluster != ""
	}
	if c.cluster != "" || p.Kind != kindAppend && p.Kind != kindPart {
		return false
	}
	c.cluster, c.out.cluster = p.Cluster, p.Cluster
	return true
}

// receiveInTerm handles packets that are valid in their own term only.
func (c *core) receiveInTerm(p wire.Packet) {
	fromLeader := p.Kind == kindAppend || p.Kind == kindPart
	if p.Term < c.term {
		c.rejectOldTerm(p)
		return
	}
	if p.Term > c.term {
		c.becomeFollower(p.Term, wire.Node{})
	}
	if fromLeader && c.role == leader {
		c.fail("two leaders in term %d: %s and %s", c.term, c.self.ID, p.From.ID)
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
	case kindPart:
		c.onPart(p)
	case kindPartReply:
		c.onPartReply(p)
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
	case kindAppend, kindPart:
	default:
		return
	}
	reply := c.packet(kind, p.From.ID)
	reply.Reject = true
	c.sendLate(p.From.Addr, reply)
}

// compact makes a checkpoint of the delivered entries and returns it with the record that replaces the durable log.
func (c *core) compact(state []byte) (wire.Checkpoint, wire.Record) {
	c.log.compact(state, keepEntries, keepBytes)
	return c.log.checkpoint, wire.Record{
		Term: c.term, Vote: c.vote, Base: c.log.base, Prior: c.log.prior, Entries: c.log.entries,
	}
}

func (c *core) fail(format string, args ...any) {
	if c.fault == nil {
		c.fault = fmt.Errorf("%w: "+format, append([]any{ErrFault}, args...)...)
	}
}
