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
func openLocked(folder string) (*Storer, error) {
	if err := ensureFolder(folder); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrIO, err)
	}
	f, err := os.OpenFile(filepath.Join(folder, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrIO, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%w: %s", ErrLocked, folder)
		}
		return nil, fmt.Errorf("%w: %v", ErrIO, err)
	}
	return &Storer{folder: folder, lock: f}, nil
}

// ensureFolder creates the folder if it does not exist and syncs its parent, so that the new entry is durable.
func ensureFolder(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	return saver.SyncFolder(filepath.Dir(filepath.Clean(folder)))
}

// replace writes a file atomically: after a crash it holds either the old or the new contents.
func (s *Storer) replace(name string, data []byte) error {
	if err := saver.Replace(s.folder, name, data); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	return nil
}
