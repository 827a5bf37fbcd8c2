// Package saver replaces files atomically: after a crash a file has either its old or its new content.
package saver

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// ErrIO reports a file or folder that was not durably written or could not be read.
var ErrIO = errors.New("file not saved or loaded")

// Load returns the content of the named file in the folder, or nil if there is no such file. It creates the folder if needed,
// and syncs it, since the last run may have ended between renaming the file and syncing the folder.
func Load(folder, name string) ([]byte, error) {
	if err := errors.Join(EnsureFolder(folder), SyncFolder(folder)); err != nil {
		return nil, err
	}
	data, err := os.ReadFile(filepath.Join(folder, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrIO, err)
	}
	return data, nil
}

// Replace atomically and durably replaces the content of the named file in the folder with data.
func Replace(folder, name string, data []byte) error {
	return OS().Replace(folder, name, data)
}

// Replace atomically and durably replaces the content of the named file in the folder with data. After an error the file
// has either content, and after a crash it may change from the new one back to the old one until the folder is synced.
func (f Files) Replace(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	if err := f.writeAndSync(path+".tmp", data); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	if err := f.Rename(path+".tmp", path); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	return f.SyncFolder(folder)
}

func (f Files) writeAndSync(path string, data []byte) error {
	file, err := f.Open(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC)
	if err != nil {
		return err
	}
	err = f.WriteAt(file, data, 0)
	if err == nil {
		err = f.Sync(file)
	}
	return errors.Join(err, f.Close(file))
}
