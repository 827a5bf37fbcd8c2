package storer

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// writeCheckpoint replaces the checkpoint. The state is a frame of its own, since it may exceed encoder.MaxMessage.
func (s *Storer) writeCheckpoint(cp wire.Checkpoint) error {
	state := cp.Data
	cp.Data = nil
	head, err := encoder.Marshal(cp)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	data := frame(nil, 0, head)
	return s.replace(checkpointFile, frame(data, int64(len(data)), state))
}

func (s *Storer) loadCheckpoint() error {
	data, err := os.ReadFile(filepath.Join(s.folder, checkpointFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	parts, end := scan(data, 0)
	if len(parts) != 2 || end != int64(len(data)) || encoder.Unmarshal(parts[0], &s.state.Checkpoint) != nil {
		return fmt.Errorf("%w: %s", ErrDamaged, checkpointFile)
	}
	s.state.Checkpoint.Data = parts[1]
	return nil
}
