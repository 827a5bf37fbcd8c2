package storer

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"bluebellhoist/core/saver"
)

// openLocked creates the folder if needed and locks it against other processes. The kernel releases the lock when the
// process ends.
func openLocked(folder string, opts []Option) (*Storer, error) {
	s := &Storer{folder: folder, files: saver.OS()}
	for _, opt := range opts {
		opt(s)
	}
	if err := s.files.EnsureFolder(folder); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrIO, err)
	}
	f, err := s.files.Open(filepath.Join(folder, lockFile), os.O_CREATE|os.O_RDWR)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrIO, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = s.files.Close(f)
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%w: %s", ErrLocked, folder)
		}
		return nil, fmt.Errorf("%w: %v", ErrIO, err)
	}
	s.lock = f
	return s, nil
}

// replace writes a file atomically: after a crash it holds either the old or the new contents.
func (s *Storer) replace(name string, data []byte) error {
	if err := s.files.Replace(s.folder, name, data); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	return nil
}
