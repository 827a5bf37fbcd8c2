package subscriber

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

const storeFile = "snapshot"

// store keeps the last snapshot in a data folder. The zero store keeps nothing.
type store struct {
	folder string
}

// load returns the stored snapshot, or nil if there is none.
func (s store) load() (*compiler.Snapshot, error) {
	if s.folder == "" {
		return nil, nil
	}
	data, err := os.ReadFile(filepath.Join(s.folder, storeFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStore, err)
	}
	var full wire.Full
	if err := encoder.Unmarshal(data, &full); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStore, err)
	}
	snapshot, err := compiler.New(full.Batch, full.Sum)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStore, err)
	}
	return snapshot, nil
}

// save makes the snapshot durable.
func (s store) save(snapshot *compiler.Snapshot) error {
	if s.folder == "" {
		return nil
	}
	data, err := encoder.Marshal(wire.Full{Sum: snapshot.Sum(), Batch: snapshot.Batch()})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	path := filepath.Join(s.folder, storeFile)
	if err := writeSynced(path+".new", data); err != nil {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	if err := syncFolder(s.folder); err != nil {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	return nil
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func syncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return err
	}
	if err := dir.Sync(); err != nil {
		_ = dir.Close()
		return err
	}
	return dir.Close()
}
