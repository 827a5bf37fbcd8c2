package storer_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

var self = wire.Node{Name: "a"}

func entries(term uint64, from, to uint64) (list []wire.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, wire.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "%d/%d", term, i)})
	}
	return list
}

// writeFolder creates a cluster in a new folder and appends the records.
func writeFolder(t *testing.T, records ...wire.Record) string {
	is := is.New(t)
	folder := t.TempDir()
	_, err := storer.InitCluster(folder, self)
	is.NoErr(err)
	s, err := storer.Open(folder, "a")
	is.NoErr(err)
	for _, rec := range records {
		is.NoErr(s.Append(rec))
	}
	is.NoErr(s.Close())
	return folder
}

// reopen returns the state and the number of truncated bytes of a folder.
func reopen(t *testing.T, folder string) (storer.State, int64) {
	is := is.New(t)
	s, err := storer.Open(folder, "a")
	is.NoErr(err)
	defer s.Close()
	return s.State(), s.TornBytes()
}

// TestReopen guards against a node that loses its identity, vote, commit index or entries in a restart, or keeps entries that were
// replaced.
func TestReopen(t *testing.T) {
	is := is.New(t)
	folder := writeFolder(t,
		wire.Record{Term: 2, Vote: "b", Entries: entries(2, 2, 9)},
		wire.Record{Term: 3, Vote: "c", Commit: 4},
		wire.Record{Term: 3, Vote: "c", Entries: entries(3, 5, 6)})
	state, torn := reopen(t, folder)
	is.Equal(torn, int64(0))
	is.Equal(state.Term, uint64(3))
	is.Equal(state.Vote, "c")
	is.Equal(state.Commit, uint64(4))
	is.Equal(len(state.Entries), 6)
	is.Equal(string(state.Entries[3].Data), "2/4")
	is.Equal(string(state.Entries[5].Data), "3/6")
	is.True(state.Entries[0].Nodes[0].Voter) // the bootstrapped node is the only voter

	_, err := storer.InitCluster(folder, self)
	is.True(errors.Is(err, storer.ErrExists))
	_, err = storer.Open(folder, "other")
	is.True(errors.Is(err, storer.ErrName))
	s, err := storer.Open(folder, "a")
	is.NoErr(err)
	_, err = storer.Open(folder, "a")
	is.True(errors.Is(err, storer.ErrLocked))
	is.NoErr(s.Close())
}

// TestTail guards against a node that does not start after a crash during a write, and against one that starts without
// entries that it acknowledged.
func TestTail(t *testing.T) {
	folder := writeFolder(t, wire.Record{Term: 2, Entries: entries(2, 2, 3)}, wire.Record{Term: 3, Entries: entries(3, 4, 5)})
	path := filepath.Join(folder, "log")
	intact, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	state, _ := reopen(t, folder)
	is.New(t).Equal(len(state.Entries), 5)
	lastFrame := strings.LastIndex(string(intact), "3/4")
	cases := []struct {
		name        string
		data        []byte
		wantEntries int // -1 for an error
	}{
		{"partial header", append(intact[:len(intact):len(intact)], 1, 2, 3), 5},
		{"zeros", append(intact[:len(intact):len(intact)], make([]byte, 4096)...), 5},
		{"last byte missing", intact[:len(intact)-1], 3},
		{"bit flipped in the last frame", flipBit(intact, lastFrame), 3},
		{"bit flipped in a middle frame", flipBit(intact, strings.Index(string(intact), "2/2")), -1},
		{"bit flipped in the first length", flipBit(intact, 1), -1},
		{"empty", nil, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.WriteFile(path, c.data, 0o600))
			s, err := storer.Open(folder, "a")
			if c.wantEntries < 0 {
				is.True(errors.Is(err, storer.ErrDamaged))
				return
			}
			is.NoErr(err)
			is.Equal(len(s.State().Entries), c.wantEntries)
			is.NoErr(s.Append(wire.Record{Term: 4, Entries: entries(4, uint64(c.wantEntries)+1, uint64(c.wantEntries)+1)}))
			is.NoErr(s.Close())
			state, torn := reopen(t, folder)
			is.Equal(torn, int64(0)) // the torn tail was truncated by the first open
			is.Equal(len(state.Entries), c.wantEntries+1)
		})
	}
}

func flipBit(data []byte, at int) []byte {
	data = append([]byte(nil), data...)
	data[at] ^= 0x40
	return data
}

// TestCompact guards against a lost or inconsistent log after a crash between the writes of checkpoint and log.
func TestCompact(t *testing.T) {
	cp := wire.Checkpoint{Index: 6, Term: 2, Nodes: []wire.Node{self}, Data: []byte("state")}
	rest := wire.Record{Term: 3, Base: 4, Prior: 2, Entries: entries(2, 5, 9)}
	cases := []struct {
		name        string
		cp          wire.Checkpoint
		oldLog      bool // the crash came before the log was replaced
		wantBase    uint64
		wantEntries int
	}{
		{"complete", cp, false, 4, 5},
		{"log not replaced", cp, true, 0, 9},
		{"checkpoint beyond the log", wire.Checkpoint{Index: 20, Term: 3}, true, 20, 0},
		{"checkpoint with another term", wire.Checkpoint{Index: 6, Term: 3}, true, 6, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			folder := writeFolder(t, wire.Record{Term: 3, Entries: entries(2, 2, 9)})
			path := filepath.Join(folder, "log")
			old, err := os.ReadFile(path)
			is.NoErr(err)
			s, err := storer.Open(folder, "a")
			is.NoErr(err)
			is.NoErr(s.Compact(c.cp, rest))
			is.NoErr(s.Close())
			if c.oldLog {
				is.NoErr(os.WriteFile(path, old, 0o600))
			}
			state, _ := reopen(t, folder)
			is.Equal(string(state.Checkpoint.Data), string(c.cp.Data))
			is.Equal(state.Base, c.wantBase)
			is.Equal(len(state.Entries), c.wantEntries)
			is.Equal(state.Term, uint64(3))

			is.NoErr(os.Remove(filepath.Join(folder, "checkpoint")))
			_, err = storer.Open(folder, "a")
			if c.wantBase > 0 {
				is.True(errors.Is(err, storer.ErrDamaged))
			}
		})
	}
}

// TestMissing guards against a node that starts as a new one, and could vote twice, when only its identity or its log
// is missing.
func TestMissing(t *testing.T) {
	for _, name := range []string{"identity", "log"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			folder := writeFolder(t, wire.Record{Term: 2, Vote: "b"})
			is.NoErr(os.Remove(filepath.Join(folder, name)))
			_, err := storer.Open(folder, "a")
			is.True(errors.Is(err, storer.ErrDamaged))
		})
	}
}
