// Package saver replaces files atomically: after a crash a file has either its old or its new content.
package saver

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// ErrIO reports a file or folder that was not durably written.
var ErrIO = errors.New("file not saved")

// Replace atomically and durably replaces the content of the named file in the folder with data.
func Replace(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	if err := writeAndSync(path+".tmp", data); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	return SyncFolder(folder)
}

// SyncFolder syncs a folder, which makes the creation and renaming of files in it durable.
func SyncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	if err := errors.Join(dir.Sync(), dir.Close()); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	return nil
}

func writeAndSync(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}
