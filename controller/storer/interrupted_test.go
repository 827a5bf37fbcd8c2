package storer_test

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/saver"
	"bluebellhoist/core/wire"
)

// Every start takes more than minOperations file operations, which the tests check, and fewer than maxOperations.
const (
	minOperations = 10
	maxOperations = 200
)

var errInjected = errors.New("injected")

// faults counts file operations and makes one of them fail.
type faults struct {
	at    int  // operation that fails, counted from 1; 0 for none
	stop  bool // whether all later operations fail too, as after a kill
	torn  bool // whether a failing write leaves half of its data
	wrote bool // whether a write failed and left half of its data
	count int
}

// step counts an operation and returns an error if it must fail.
func (f *faults) step() error {
	f.count++
	if f.count == f.at || f.stop && f.at > 0 && f.count > f.at {
		return errInjected
	}
	return nil
}

// files returns operations that fail as f says. Close always closes, as the end of a process does.
func (f *faults) files() saver.Files {
	system := saver.OS()
	return saver.Files{
		Stat: func(path string) (fs.FileInfo, error) {
			if err := f.step(); err != nil {
				return nil, err
			}
			return system.Stat(path)
		},
		Read: func(path string) ([]byte, error) {
			if err := f.step(); err != nil {
				return nil, err
			}
			return system.Read(path)
		},
		Open: func(path string, flag int) (*os.File, error) {
			if err := f.step(); err != nil {
				return nil, err
			}
			return system.Open(path, flag)
		},
		WriteAt: func(file *os.File, data []byte, offset int64) error {
			err := f.step()
			switch {
			case err == nil:
				return system.WriteAt(file, data, offset)
			case f.torn && f.count == f.at:
				f.wrote = true
				return errors.Join(err, system.WriteAt(file, data[:len(data)/2], offset))
			}
			return err
		},
		Sync: func(file *os.File) error { return errors.Join(f.step(), system.Sync(file)) },
		Truncate: func(file *os.File, size int64) error {
			return f.orDo(func() error { return system.Truncate(file, size) })
		},
		Close:  func(file *os.File) error { return errors.Join(f.step(), system.Close(file)) },
		Rename: func(from, to string) error { return f.orDo(func() error { return system.Rename(from, to) }) },
		Mkdir:  func(path string) error { return f.orDo(func() error { return system.Mkdir(path) }) },
	}
}

// orDo fails as step does, or else runs the operation.
func (f *faults) orDo(operation func() error) error {
	if err := f.step(); err != nil {
		return err
	}
	return operation()
}

var foundersOfThree = []netip.AddrPort{
	netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7"), netip.MustParseAddrPort("10.0.0.3:7"),
}

// startFounder starts a founder as the runner does.
func startFounder(folder string, opts ...storer.Option) (*storer.Storer, error) {
	if err := storer.InitFounder(folder, foundersOfThree[0], foundersOfThree, opts...); err != nil {
		return nil, err
	}
	return startJoining(folder, opts...)
}

// startJoining starts a node without founders, for example one that replaces a founder.
func startJoining(folder string, opts ...storer.Option) (*storer.Storer, error) {
	return storer.Open(folder, foundersOfThree[0].String(), opts...)
}

// startInitialized creates a cluster and starts its node.
func startInitialized(folder string, opts ...storer.Option) (*storer.Storer, error) {
	if _, err := storer.InitCluster(folder, wire.Node{Name: foundersOfThree[0].String()}, opts...); err != nil && !errors.Is(err, storer.ErrExists) {
		return nil, err
	}
	return startJoining(folder, opts...)
}

type starter func(folder string, opts ...storer.Option) (*storer.Storer, error)

// eachFault runs check with a fault at each file operation of a start in turn, in each way in which one may fail.
func eachFault(t *testing.T, start starter, check func(is *is.I, folder string)) {
	for _, mode := range []faults{{}, {torn: true}, {stop: true}, {stop: true, torn: true}} {
		t.Run(fmt.Sprintf("stop=%t,torn=%t", mode.stop, mode.torn), func(t *testing.T) {
			for at := 1; ; at++ {
				if at > maxOperations {
					t.Fatal("start does not end")
				}
				f := mode
				f.at = at
				folder := filepath.Join(t.TempDir(), "missing", "data")
				s, err := start(folder, storer.WithFiles(f.files()))
				if err == nil {
					_ = s.Close()
				}
				if f.count < at { // the start has no such operation
					is.New(t).True(at > minOperations)
					return
				}
				if f.torn && !f.wrote {
					continue // same as without torn
				}
				t.Run(fmt.Sprint("operation ", at), func(t *testing.T) { check(is.New(t), folder) })
			}
		})
	}
}

// TestInterruptedStart guards against a node that never starts again after a crash, a full disk or an I/O error during
// its first start.
func TestInterruptedStart(t *testing.T) {
	cases := []struct {
		name        string
		start       starter
		wantEntries int
		wantCluster bool
	}{
		{"founder", startFounder, 1, true},
		{"joining", startJoining, 0, false},
		{"initialized", startInitialized, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			eachFault(t, c.start, func(is *is.I, folder string) {
				is.Helper()
				s, err := c.start(folder)
				is.NoErr(err)
				is.Equal(len(s.State().Entries), c.wantEntries)
				is.Equal(s.Identity().Cluster != "", c.wantCluster)
				is.NoErr(s.Append(wire.Record{Term: 2, Vote: "b", Entries: entries(2, uint64(c.wantEntries)+1, 5)}))
				id := s.Identity()
				is.NoErr(s.Close())
				again, err := c.start(folder)
				is.NoErr(err)
				is.Equal(again.Identity(), id)
				is.Equal(again.State().Vote, "b")
				is.Equal(len(again.State().Entries), 5)
				is.NoErr(again.Close())
			})
		})
	}
}

// TestInterruptedStartReplaced guards against a node that starts under the identity of a founder when it was to join, in a
// folder in which the first start of the founder was interrupted, or the other way around.
func TestInterruptedStartReplaced(t *testing.T) {
	reference, err := startFounder(filepath.Join(t.TempDir(), "reference"))
	is.New(t).NoErr(err)
	founder := reference.Identity()
	is.New(t).NoErr(reference.Close())
	t.Run("founder, then joining", func(t *testing.T) {
		eachFault(t, startFounder, func(is *is.I, folder string) {
			is.Helper()
			_, statErr := os.Stat(filepath.Join(folder, "identity"))
			s, err := startJoining(folder)
			is.NoErr(err)
			is.Equal(s.Identity().ID == founder.ID, statErr == nil) // a new identity, unless the first start was complete
			is.NoErr(s.Close())
		})
	})
	t.Run("joining, then founder", func(t *testing.T) {
		eachFault(t, startJoining, func(is *is.I, folder string) {
			is.Helper()
			_, statErr := os.Stat(filepath.Join(folder, "log"))
			s, err := startFounder(folder)
			is.NoErr(err)
			is.Equal(s.Identity().ID == founder.ID, statErr != nil) // a folder with a log belongs to the joining node
			is.NoErr(s.Close())
		})
	})
}

// TestInterruptedWrite guards against a node that does not start again, loses its vote or starts under a new identity after
// a crash, a full disk or an I/O error in a later write or restart.
func TestInterruptedWrite(t *testing.T) {
	var id string
	run := func(folder string, opts ...storer.Option) (*storer.Storer, error) {
		s, err := startJoining(folder)
		if err != nil {
			return nil, err
		}
		id = s.Identity().ID
		if err := errors.Join(s.Append(wire.Record{Term: 2, Vote: "b", Entries: entries(2, 1, 9)}), s.Close()); err != nil {
			return nil, err
		}
		if err := appendTorn(filepath.Join(folder, "log")); err != nil {
			return nil, err
		}
		if s, err = startJoining(folder, opts...); err != nil {
			return nil, err
		}
		err = errors.Join(s.Join("cluster"), s.Append(wire.Record{Term: 2, Vote: "b", Entries: entries(2, 10, 12)}),
			s.Compact(wire.Checkpoint{Index: 7, Term: 2, Data: []byte("state")}, wire.Record{Term: 2, Vote: "b", Base: 5, Prior: 2, Entries: entries(2, 6, 12)}))
		if err != nil {
			return nil, errors.Join(err, s.Close())
		}
		return s, nil
	}
	eachFault(t, run, func(is *is.I, folder string) {
		is.Helper()
		s, err := startJoining(folder)
		is.NoErr(err)
		is.Equal(s.Identity().ID, id)
		is.Equal(s.State().Vote, "b")
		is.True(s.State().Base+uint64(len(s.State().Entries)) >= 9)
		is.NoErr(s.Close())
	})
}

// appendTorn appends the start of a frame to a log.
func appendTorn(path string) error {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = f.Write([]byte{1, 2, 3})
	return errors.Join(err, f.Close())
}

// TestStartSyncs guards against a node that uses files whose renaming or whose last write was never synced, because the
// sync of the run before it failed: they may vanish when the machine fails.
func TestStartSyncs(t *testing.T) {
	is := is.New(t)
	folder := writeFolder(t, wire.Record{Term: 2, Vote: "b"})
	synced := map[string]bool{}
	files := saver.OS()
	files.Sync = func(f *os.File) error {
		synced[f.Name()] = true
		return f.Sync()
	}
	s, err := storer.Open(folder, "a", storer.WithFiles(files))
	is.NoErr(err)
	is.NoErr(s.Close())
	is.True(synced[filepath.Join(folder, "log")])
	is.True(synced[folder])
}
