// Package saver replaces files so that a crash leaves the old content or the new one.
package saver

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// ErrIO reports a file that was not replaced durably.
var ErrIO = errors.New("file not saved")

// Replace makes data the durable content of the named file in the folder.
func Replace(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	if err := writeSynced(path+".tmp", data); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	return SyncFolder(folder)
}

// SyncFolder makes the names of the files in the folder durable.
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

func writeSynced(path string, data []byte) error {
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
