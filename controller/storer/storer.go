// Package storer keeps the durable state of one replicator in a data folder: identity, term, vote, log and checkpoint.
//
// A data folder holds the files lock, identity, checkpoint and log. Identity and checkpoint are replaced atomically.
// The log is appended to, one frame for each sync, and replaced atomically when it is compacted.
//
// The first start writes the log and then the identity. A folder without identity has therefore never been in use, and the
// next start repeats the first one, unless the log shows a term or a vote that only a running node can have.
package storer

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/uuid"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/saver"
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
	Commit     uint64 // index up to which the log is known to be committed
	Entries    []wire.Entry
	Checkpoint wire.Checkpoint
}

// Storer writes the durable state of one node. Its methods must be called from one goroutine.
type Storer struct {
	folder    string
	files     saver.Files
	lock      *os.File
	log       *os.File
	size      int64 // size of the log in bytes
	identity  wire.Identity
	state     State // as read when the folder was opened
	tornBytes int64 // bytes of a torn last frame that were truncated when the folder was opened
	writeErr  error // first failed write; fails all later ones
}

// Option configures a Storer.
type Option func(*Storer)

// WithFiles sets the file operations.
func WithFiles(files saver.Files) Option {
	return func(s *Storer) { s.files = files }
}

// Open opens the folder and locks it. In a folder without identity that was never in use it creates a node with a new
// identity.
func Open(folder, name string, opts ...Option) (*Storer, error) {
	s, err := openLocked(folder, opts)
	if err != nil {
		return nil, err
	}
	if err := s.load(name); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
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
		err = s.files.Close(s.log)
	}
	return errors.Join(err, s.files.Close(s.lock))
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
	data, err := s.files.Read(filepath.Join(s.folder, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		if _, err := s.firstLog(); err != nil {
			return err
		}
		return s.initialize("", uuid.NewString(), name, wire.Record{})
	}
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	// The last run may have ended between renaming a file and syncing the folder.
	if err := s.files.SyncFolder(s.folder); err != nil {
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
