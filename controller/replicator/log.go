package replicator

import (
	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

// raftLog holds the entries after base, and a checkpoint that covers at least the entries up to base.
type raftLog struct {
	base, baseTerm uint64 // index and term of the entry before the first one
	entries        []wire.Entry
	checkpoint     wire.Checkpoint
	commit         uint64
	durable        uint64 // last index synced to disk
	applied        uint64 // last index passed on to be applied
	firstUnsynced  uint64 // first index to be synced; 0 if none
	storedCommit   uint64 // commit index in the last record

	nodes         []wire.Node // latest membership in the log, committed or not
	nodesIndex    uint64      // index of the entry that set nodes
	previousNodes []wire.Node // membership before nodes
}

func newLog(st storer.State) *raftLog {
	l := &raftLog{base: st.Base, baseTerm: st.BaseTerm, entries: st.Entries, checkpoint: st.Checkpoint}
	l.commit = max(st.Checkpoint.Index, min(st.Commit, l.last()))
	l.applied, l.durable, l.storedCommit = st.Checkpoint.Index, l.last(), l.commit
	l.refreshNodes()
	return l
}

func (l *raftLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// term returns the term of the entry at index, and false if the log does not hold it.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

func (l *raftLog) entriesAfter(index uint64) []wire.Entry {
	return l.entries[index-l.base:]
}

// entriesWithin returns entries after index with up to about limit bytes, and at least one if there is any.
func (l *raftLog) entriesWithin(index uint64, limit int) []wire.Entry {
	rest := l.entriesAfter(index)
	size := 0
	for i, e := range rest {
		size += len(e.Data) + entryOverheadBytes
		if i > 0 && size > limit {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (l *raftLog) append(e wire.Entry) {
	l.entries = append(l.entries, e)
	if l.firstUnsynced == 0 || e.Index < l.firstUnsynced {
		l.firstUnsynced = e.Index
	}
	if len(e.Nodes) > 0 {
		l.nodes, l.nodesIndex, l.previousNodes = e.Nodes, e.Index, l.nodes
	}
}

// truncate removes the entry at index and all that follow. Queued packets may still refer to the removed entries, so
// their memory is not overwritten.
func (l *raftLog) truncate(index uint64) {
	keep := index - l.base - 1
	l.entries = l.entries[:keep:keep]
	l.durable = min(l.durable, index-1)
	if l.nodesIndex >= index {
		l.refreshNodes()
	}
}

// install replaces the log with a checkpoint.
func (l *raftLog) install(cp wire.Checkpoint) {
	l.base, l.baseTerm, l.entries, l.checkpoint = cp.Index, cp.Term, nil, cp
	l.commit, l.applied, l.durable, l.firstUnsynced = cp.Index, cp.Index, cp.Index, 0
	l.refreshNodes()
}

// compact makes state the checkpoint of the applied entries and drops the entries before it, except for the last
// ones: at most maxEntries entries, with at most remainingBytes bytes of data.
func (l *raftLog) compact(state []byte, maxEntries uint64, remainingBytes int) {
	term, _ := l.term(l.applied)
	nodes, _ := l.nodesAt(l.applied)
	l.checkpoint = wire.Checkpoint{Index: l.applied, Term: term, Nodes: nodes, Data: state}
	base := l.applied
	for base > l.base && l.applied-base < maxEntries {
		remainingBytes -= len(l.entries[base-l.base-1].Data)
		if remainingBytes < 0 {
			break
		}
		base--
	}
	if base == l.base {
		return
	}
	baseTerm, _ := l.term(base)
	l.entries = append([]wire.Entry(nil), l.entriesAfter(base)...)
	l.base, l.baseTerm = base, baseTerm
}

// votersCommitted reports whether a change of the voters is committed and no record says so yet. A node that did not know it after a
// restart would need a quorum of the former voters as well.
func (l *raftLog) votersCommitted() bool {
	return l.storedCommit < l.nodesIndex && l.nodesIndex <= l.commit && !sameVoters(l.previousNodes, l.nodes)
}

func (l *raftLog) refreshNodes() {
	l.nodes, l.nodesIndex = l.nodesAt(l.last())
	l.previousNodes = l.nodes
	if l.nodesIndex > l.checkpoint.Index {
		l.previousNodes, _ = l.nodesAt(l.nodesIndex - 1)
	}
}

// nodesAt returns the membership in effect at index, and the index of the entry that set it.
func (l *raftLog) nodesAt(index uint64) ([]wire.Node, uint64) {
	for i := index; i > l.base && i > l.checkpoint.Index; i-- {
		if e := l.entries[i-l.base-1]; len(e.Nodes) > 0 {
			return e.Nodes, e.Index
		}
	}
	return l.checkpoint.Nodes, l.checkpoint.Index
}

// upToDate reports whether a log that ends at index and term holds every entry that this log may have committed.
func (l *raftLog) upToDate(index, term uint64) bool {
	ownTerm := l.lastTerm()
	return term > ownTerm || term == ownTerm && index >= l.last()
}
