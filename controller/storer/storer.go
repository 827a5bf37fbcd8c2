// Package storer keeps the durable state of one replicator in a data folder: identity, term, vote, log and checkpoint.
//
// A data folder holds the files lock, identity, checkpoint and log. Identity and checkpoint are replaced atomically.
// The log is appended to, one frame for each sync, and replaced atomically when it is compacted.
package storer

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/uuid"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

const (
	identityFile   = "identity"
	logFile        = "log"
	checkpointFile = "checkpoint"
	lockFile       = "lock"
)

var (
	// ErrDamaged reports durable state that is missing, or that is corrupt other than by a torn last write to the log.
	ErrDamaged = errors.New("data folder is damaged")
	// ErrExists reports a folder that already holds the state of a node.
	ErrExists = errors.New("data folder already holds a node")
	// ErrLocked reports a folder that another process has open.
	ErrLocked = errors.New("data folder is locked by another process")
	// ErrName reports a folder that belongs to a node with another name.
	ErrName = errors.New("data folder belongs to another node")
	// ErrIO reports a failed read, write or encoding.
	ErrIO = errors.New("data folder I/O failed")
)

// State is the durable state of a node as it was when its folder was opened.
type State struct {
	Term       uint64
	Vote       string
	Base       uint64 // index before the first of Entries
	BaseTerm   uint64 // term of the entry at Base
	Entries    []wire.Entry
	Checkpoint wire.Checkpoint
}

// Storer writes the durable state of one node. Its methods must be called from one goroutine.
type Storer struct {
	folder    string
	lock      *os.File
	log       *os.File
	size      int64 // size of the log in bytes
	identity  wire.Identity
	state     State // as read when the folder was opened
	tornBytes int64 // bytes of a torn last frame that were truncated when the folder was opened
	writeErr  error // first failed write; fails all later ones
}

// Open opens the folder and locks it. In an empty folder it creates a node with a new identity.
func Open(folder, name string) (*Storer, error) {
	s, err := openLocked(folder)
	if err != nil {
		return nil, err
	}
	if err := s.load(name); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// InitCluster creates a new cluster in an empty folder, with self as its only voter.
func InitCluster(folder string, self wire.Node) (wire.Identity, error) {
	s, err := openLocked(folder)
	if err != nil {
		return wire.Identity{}, err
	}
	defer s.Close()
	for _, name := range []string{identityFile, logFile, checkpointFile} {
		if _, err := os.Stat(filepath.Join(folder, name)); !errors.Is(err, fs.ErrNotExist) {
			return wire.Identity{}, fmt.Errorf("%w: %s", ErrExists, folder)
		}
	}
	self.ID, self.Voter = uuid.NewString(), true
	first := wire.Entry{Index: 1, Term: 1, Nodes: []wire.Node{self}}
	if err := s.initialize(uuid.NewString(), self.ID, self.Name, wire.Record{Term: 1, Entries: []wire.Entry{first}}); err != nil {
		return wire.Identity{}, err
	}
	return s.identity, nil
}

// InitFounder creates the folder of one founder of a cluster. It does nothing if the folder already holds a node.
//
// All founders must be given the same addresses in any order; each is named after its own address. Identities are
// derived from the addresses, so that all founders write the same first entry without communication. InitFounder must be
// called only on the first start of the cluster: the identity of a founder whose disk was lost must never be used again.
func InitFounder(folder string, self netip.AddrPort, founders []netip.AddrPort) error {
	s, err := openLocked(folder)
	if err != nil {
		return err
	}
	defer s.Close()
	for _, name := range []string{identityFile, logFile, checkpointFile} {
		if _, err := os.Stat(filepath.Join(folder, name)); !errors.Is(err, fs.ErrNotExist) {
			return nil
		}
	}
	sorted := slices.SortedFunc(slices.Values(founders), netip.AddrPort.Compare)
	var nodes []wire.Node
	names := make([]string, 0, len(sorted))
	for _, addr := range sorted {
		names = append(names, addr.String())
		nodes = append(nodes, wire.Node{ID: founderID(addr), Name: addr.String(), Addr: addr, Voter: true})
	}
	first := wire.Entry{Index: 1, Term: 1, Nodes: nodes}
	cluster := uuid.NewSHA1(uuid.Nil, []byte(strings.Join(names, " "))).String()
	return s.initialize(cluster, founderID(self), self.String(), wire.Record{Term: 1, Entries: []wire.Entry{first}})
}

func founderID(addr netip.AddrPort) string {
	return uuid.NewSHA1(uuid.Nil, []byte("founder "+addr.String())).String()
}

// Identity returns the identity of the node.
func (s *Storer) Identity() wire.Identity {
	return s.identity
}

// State returns the state that the folder held when it was opened.
func (s *Storer) State() State {
	return s.state
}

// LogSize returns the size of the log in bytes.
func (s *Storer) LogSize() int64 {
	return s.size
}

// TornBytes returns how many bytes of a torn last frame were truncated when the folder was opened.
func (s *Storer) TornBytes() int64 {
	return s.tornBytes
}

// Close closes the log and unlocks the folder.
func (s *Storer) Close() error {
	var err error
	if s.log != nil {
		err = s.log.Close()
	}
	return errors.Join(err, s.lock.Close())
}

// Join durably stores the cluster that the node belongs to.
func (s *Storer) Join(cluster string) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	next := s.identity
	next.Cluster = cluster
	if err := s.writeIdentity(next); err != nil {
		return s.fail(err)
	}
	return nil
}

// fail makes every later write fail, since the contents of the file are unknown after a failed write or sync.
func (s *Storer) fail(err error) error {
	s.writeErr = err
	return err
}

func (s *Storer) load(name string) error {
	data, err := os.ReadFile(filepath.Join(s.folder, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		if err := s.checkUninitialized(); err != nil {
			return err
		}
		return s.initialize("", uuid.NewString(), name, wire.Record{})
	}
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	payloads, _ := scan(data, 0)
	if len(payloads) != 1 || encoder.Unmarshal(payloads[0], &s.identity) != nil {
		return fmt.Errorf("%w: %s", ErrDamaged, identityFile)
	}
	if s.identity.Name != name {
		return fmt.Errorf("%w: node in the folder is %q, node in the settings is %q", ErrName, s.identity.Name, name)
	}
	if err := s.loadCheckpoint(); err != nil {
		return err
	}
	return s.loadLog()
}

// checkUninitialized accepts a folder without identity only if it holds no vote and no entries. The identity is written
// last, so a folder without it cannot have been in use.
func (s *Storer) checkUninitialized() error {
	if _, err := os.Stat(filepath.Join(s.folder, checkpointFile)); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%w: %s without %s", ErrDamaged, checkpointFile, identityFile)
	}
	if _, err := os.Stat(filepath.Join(s.folder, logFile)); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err := s.loadLog(); err != nil {
		return err
	}
	if s.state.Term != 0 || len(s.state.Entries) > 0 {
		return fmt.Errorf("%w: %s without %s", ErrDamaged, logFile, identityFile)
	}
	return s.log.Close()
}

func (s *Storer) initialize(cluster, id, name string, rec wire.Record) error {
	if err := s.rewrite(rec); err != nil {
		return err
	}
	s.state = State{Term: rec.Term, Entries: rec.Entries}
	return s.writeIdentity(wire.Identity{Cluster: cluster, ID: id, Name: name})
}

func (s *Storer) writeIdentity(identity wire.Identity) error {
	data, err := encoder.Marshal(identity)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	if err := s.replace(identityFile, appendFrame(nil, 0, data)); err != nil {
		return err
	}
	s.identity = identity
	return nil
}
