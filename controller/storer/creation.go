package storer

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/uuid"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// firstTerm is the term of the first log of a founder. A node enters a later term before it votes or follows a leader.
const firstTerm = 1

// InitCluster creates a new cluster in a folder that was never in use, with self as its only voter.
func InitCluster(folder string, self wire.Node, opts ...Option) (wire.Identity, error) {
	s, err := openLocked(folder, opts)
	if err != nil {
		return wire.Identity{}, err
	}
	identity, err := s.initCluster(self)
	return identity, errors.Join(err, s.Close())
}

func (s *Storer) initCluster(self wire.Node) (wire.Identity, error) {
	exists, err := s.exists(identityFile)
	if err != nil {
		return wire.Identity{}, err
	}
	if exists {
		return wire.Identity{}, fmt.Errorf("%w: %s", ErrExists, s.folder)
	}
	if _, err := s.firstLog(); err != nil {
		return wire.Identity{}, err
	}
	self.ID, self.Voter = uuid.NewString(), true
	if err := s.initialize(uuid.NewString(), self.ID, self.Name, firstRecord(self)); err != nil {
		return wire.Identity{}, err
	}
	return s.identity, nil
}

// InitFounder creates the folder of one founder of a cluster. It does nothing if the folder already holds a node, or the
// log of a node that was about to join.
//
// All founders must be given the same addresses in any order; each is named after its own address. Identities are
// derived from the addresses, so that all founders write the same first entry without communication. InitFounder must be
// called only on the first start of the cluster, which may be repeated until it is complete: the identity of a founder
// whose disk was lost must never be used again.
func InitFounder(folder string, self netip.AddrPort, founders []netip.AddrPort, opts ...Option) error {
	s, err := openLocked(folder, opts)
	if err != nil {
		return err
	}
	return errors.Join(s.initFounder(self, founders), s.Close())
}

func (s *Storer) initFounder(self netip.AddrPort, founders []netip.AddrPort) error {
	exists, err := s.exists(identityFile)
	if err != nil || exists {
		return err
	}
	rec, err := s.firstLog()
	if err != nil || rec != nil && len(rec.Entries) == 0 {
		return err
	}
	sorted := slices.SortedFunc(slices.Values(founders), netip.AddrPort.Compare)
	var nodes []wire.Node
	names := make([]string, 0, len(sorted))
	for _, addr := range sorted {
		names = append(names, addr.String())
		nodes = append(nodes, wire.Node{ID: founderID(addr), Name: addr.String(), Addr: addr, Voter: true})
	}
	cluster := uuid.NewSHA1(uuid.Nil, []byte(strings.Join(names, " "))).String()
	return s.initialize(cluster, founderID(self), self.String(), firstRecord(nodes...))
}

func founderID(addr netip.AddrPort) string {
	return uuid.NewSHA1(uuid.Nil, []byte("founder "+addr.String())).String()
}

// firstRecord returns the first log of the founders of a cluster.
func firstRecord(founders ...wire.Node) wire.Record {
	return wire.Record{Term: firstTerm, Entries: []wire.Entry{{Index: 1, Term: firstTerm, Nodes: founders}}}
}

// initialize writes the first log and then the identity, which completes the first start.
func (s *Storer) initialize(cluster, id, name string, rec wire.Record) error {
	if err := s.rewrite(rec); err != nil {
		return err
	}
	s.state = State{Term: rec.Term, Entries: rec.Entries}
	return s.writeIdentity(wire.Identity{Cluster: cluster, ID: id, Name: name})
}

// firstLog returns the log that an interrupted first start left in a folder without identity, or nil if there is none. It
// fails if the folder was in use.
func (s *Storer) firstLog() (*wire.Record, error) {
	exists, err := s.exists(checkpointFile)
	if err != nil {
		return nil, err
	}
	if exists {
		return nil, fmt.Errorf("%w: %s without %s", ErrDamaged, checkpointFile, identityFile)
	}
	data, err := s.files.Read(filepath.Join(s.folder, logFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrIO, err)
	}
	var rec wire.Record
	payloads, end := scan(data, 0)
	if len(payloads) != 1 || end != int64(len(data)) || encoder.Unmarshal(payloads[0], &rec) != nil || !isFirst(rec) {
		return nil, fmt.Errorf("%w: %s without %s", ErrDamaged, logFile, identityFile)
	}
	return &rec, nil
}

// isFirst reports whether a record is the first log of a founder or of a joining node. A node that voted, followed a leader
// or compacted its log has a later term.
func isFirst(rec wire.Record) bool {
	if rec.Vote != "" || rec.Base != 0 || rec.Prior != 0 || rec.Term > firstTerm {
		return false
	}
	switch len(rec.Entries) {
	case 0:
		return rec.Term == 0
	case 1:
		e := rec.Entries[0]
		return rec.Term == firstTerm && e.Index == 1 && e.Term == firstTerm && len(e.Nodes) > 0 && len(e.Data) == 0
	}
	return false
}

// exists reports whether the folder holds the file.
func (s *Storer) exists(name string) (bool, error) {
	_, err := s.files.Stat(filepath.Join(s.folder, name))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("%w: %v", ErrIO, err)
	}
	return true, nil
}
