package subscriber

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/saver"
	"bluebellhoist/core/wire"
)

const storeFile = "snapshot"

// store keeps the last snapshot in a data folder. The zero store stores nothing.
type store struct {
	folder string
}

// load returns the stored snapshot, or nil if there is none. It creates the folder if needed.
func (s store) load() (*compiler.Snapshot, error) {
	if s.folder == "" {
		return nil, nil
	}
	data, err := saver.Load(s.folder, storeFile)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStore, err)
	}
	if data == nil {
		return nil, nil
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

// save writes the snapshot durably and replaces the stored one.
func (s store) save(snapshot *compiler.Snapshot) error {
	if s.folder == "" {
		return nil
	}
	data, err := encoder.Marshal(wire.Full{Sum: snapshot.Sum(), Batch: snapshot.Batch()})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	if err := saver.Replace(s.folder, storeFile, data); err != nil {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	return nil
}

// remove removes the stored snapshot, so that a restart cannot revert to it.
func (s store) remove() error {
	err := os.Remove(filepath.Join(s.folder, storeFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	if err := saver.SyncFolder(s.folder); err != nil {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	return nil
}
