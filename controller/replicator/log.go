package replicator

import (
	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

// raftLog holds the entries after base, and the checkpoint that covers at least those up to base.
type raftLog struct {
	base, prior uint64 // index before the first entry, and its term
	entries     []wire.Entry
	checkpoint  wire.Checkpoint
	commit      uint64
	durable     uint64 // last index that is synced
	delivered   uint64 // last index given to the state machine
	dirty       uint64 // first index to be synced; 0 if none

	nodes      []wire.Node // membership of the last entry that holds one, committed or not
	nodesIndex uint64
}

func newLog(st storer.State) *raftLog {
	l := &raftLog{base: st.Base, prior: st.Prior, entries: st.Entries, checkpoint: st.Checkpoint}
	l.commit, l.delivered, l.durable = st.Checkpoint.Index, st.Checkpoint.Index, l.last()
	l.findNodes()
	return l
}

func (l *raftLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// term returns the term of the entry at index, and false if the log does not hold it.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.prior, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

func (l *raftLog) after(index uint64) []wire.Entry {
	return l.entries[index-l.base:]
}

// batch returns entries after index up to about limit bytes, and at least one if there is any.
func (l *raftLog) batch(index uint64, limit int) []wire.Entry {
	rest := l.after(index)
	size := 0
	for i, e := range rest {
		size += len(e.Data) + entryOverhead
		if i > 0 && size > limit {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (l *raftLog) append(e wire.Entry) {
	l.entries = append(l.entries, e)
	if l.dirty == 0 || e.Index < l.dirty {
		l.dirty = e.Index
	}
	if len(e.Nodes) > 0 {
		l.nodes, l.nodesIndex = e.Nodes, e.Index
	}
}

// truncate removes the entry at index and all that follow. Packets may still hold the removed entries, so the space is
// not written again.
func (l *raftLog) truncate(index uint64) {
	keep := index - l.base - 1
	l.entries = l.entries[:keep:keep]
	l.durable = min(l.durable, index-1)
	if l.nodesIndex >= index {
		l.findNodes()
	}
}

// install replaces the log by a checkpoint.
func (l *raftLog) install(cp wire.Checkpoint) {
	l.base, l.prior, l.entries, l.checkpoint = cp.Index, cp.Term, nil, cp
	l.commit, l.delivered, l.durable, l.dirty = cp.Index, cp.Index, cp.Index, 0
	l.findNodes()
}

// compact makes a checkpoint of the delivered entries and drops all but the last keep of them.
// compact makes state the checkpoint of the delivered entries and drops those before it, but for the last ones: at most
// keep entries with at most bytes of data.
func (l *raftLog) compact(state []byte, keep uint64, bytes int) {
	term, _ := l.term(l.delivered)
	nodes, _ := l.nodesAt(l.delivered)
	l.checkpoint = wire.Checkpoint{Index: l.delivered, Term: term, Nodes: nodes, Data: state}
	base := l.delivered
	for base > l.base && l.delivered-base < keep {
		bytes -= len(l.entries[base-l.base-1].Data)
		if bytes < 0 {
			break
		}
		base--
	}
	if base == l.base {
		return
	}
	prior, _ := l.term(base)
	l.entries = append([]wire.Entry(nil), l.after(base)...)
	l.base, l.prior = base, prior
}

func (l *raftLog) findNodes() {
	l.nodes, l.nodesIndex = l.nodesAt(l.last())
}

// nodesAt returns the membership in effect at index and the index that set it.
func (l *raftLog) nodesAt(index uint64) ([]wire.Node, uint64) {
	for i := index; i > l.base && i > l.checkpoint.Index; i-- {
		if e := l.entries[i-l.base-1]; len(e.Nodes) > 0 {
			return e.Nodes, e.Index
		}
	}
	return l.checkpoint.Nodes, l.checkpoint.Index
}

// upToDate reports whether a log that ends at index and term holds every entry this log may have committed.
func (l *raftLog) upToDate(index, term uint64) bool {
	mine := l.lastTerm()
	return term > mine || term == mine && index >= l.last()
}
