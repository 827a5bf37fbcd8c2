package storer

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// writeCheckpoint replaces the checkpoint. The state is in a frame of its own, since it may be larger than
// encoder.MaxMessage.
func (s *Storer) writeCheckpoint(cp wire.Checkpoint) error {
	state := cp.Data
	cp.Data = nil
	header, err := encoder.Marshal(cp)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	data := appendFrame(nil, 0, header)
	return s.replace(checkpointFile, appendFrame(data, int64(len(data)), state))
}

func (s *Storer) loadCheckpoint() error {
	data, err := s.files.Read(filepath.Join(s.folder, checkpointFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	payloads, end := scan(data, 0)
	if len(payloads) != 2 || end != int64(len(data)) || encoder.Unmarshal(payloads[0], &s.state.Checkpoint) != nil {
		return fmt.Errorf("%w: %s", ErrDamaged, checkpointFile)
	}
	s.state.Checkpoint.Data = payloads[1]
	return nil
}
