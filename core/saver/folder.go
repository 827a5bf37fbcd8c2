package saver

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// EnsureFolder durably creates the folder and its parents if they do not exist.
func EnsureFolder(folder string) error {
	return OS().EnsureFolder(folder)
}

// SyncFolder syncs a folder, which makes the creation and renaming of files in it durable.
func SyncFolder(folder string) error {
	return OS().SyncFolder(folder)
}

// EnsureFolder durably creates the folder and its parents if they do not exist. It syncs the parent of an existing folder
// too, since the process that created it may have ended before the sync.
func (f Files) EnsureFolder(folder string) error {
	folder = filepath.Clean(folder)
	parent := filepath.Dir(folder)
	_, err := f.Stat(folder)
	if err == nil {
		err := f.SyncFolder(parent)
		if errors.Is(err, fs.ErrPermission) {
			return nil // the folder was created by another user
		}
		return err
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	if err := f.EnsureFolder(parent); err != nil {
		return err
	}
	if err := f.Mkdir(folder); err != nil && !errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	return f.SyncFolder(parent)
}

// SyncFolder syncs a folder, which makes the creation and renaming of files in it durable.
func (f Files) SyncFolder(folder string) error {
	dir, err := f.Open(folder, os.O_RDONLY)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrIO, err)
	}
	if err := errors.Join(f.Sync(dir), f.Close(dir)); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	return nil
}
