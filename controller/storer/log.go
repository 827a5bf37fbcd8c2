package storer

import (
	"fmt"
	"os"
	"path/filepath"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// maxFrameBytes limits the entry data in one frame. It is well below encoder.MaxMessage.
const maxFrameBytes = 4 << 20

// Append makes the record durable. Its entries replace those in the log from the index of the first one on.
func (s *Storer) Append(rec wire.Record) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	for _, chunk := range splitRecord(rec) {
		payload, err := encoder.Marshal(chunk)
		if err != nil {
			return s.fail(fmt.Errorf("%w: %v", ErrIO, err))
		}
		if err := s.appendSynced(appendFrame(nil, s.size, payload)); err != nil {
			return s.fail(err)
		}
	}
	return nil
}

// Compact makes the checkpoint durable and then replaces the log with the record.
func (s *Storer) Compact(cp wire.Checkpoint, rec wire.Record) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	if err := s.writeCheckpoint(cp); err != nil {
		return s.fail(err)
	}
	if err := s.rewrite(rec); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Storer) appendSynced(data []byte) error {
	if err := s.files.WriteAt(s.log, data, s.size); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	if err := s.files.Sync(s.log); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	s.size += int64(len(data))
	return nil
}

// rewrite replaces the log with one that holds only the record.
func (s *Storer) rewrite(rec wire.Record) error {
	var data []byte
	for _, chunk := range splitRecord(rec) {
		payload, err := encoder.Marshal(chunk)
		if err != nil {
			return fmt.Errorf("%w: %v", ErrIO, err)
		}
		data = appendFrame(data, int64(len(data)), payload)
	}
	if err := s.replace(logFile, data); err != nil {
		return err
	}
	f, err := s.files.Open(filepath.Join(s.folder, logFile), os.O_RDWR)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	if s.log != nil {
		_ = s.files.Close(s.log)
	}
	s.log, s.size = f, int64(len(data))
	return nil
}

// splitRecord splits a record with more than maxFrameBytes of entry data into several, each with at least one entry.
func splitRecord(rec wire.Record) []wire.Record {
	var records []wire.Record
	size, start := 0, 0
	for i, e := range rec.Entries {
		if size > 0 && size+len(e.Data) > maxFrameBytes {
			chunk := rec
			chunk.Entries = rec.Entries[start:i]
			records = append(records, chunk)
			size, start = 0, i
		}
		size += len(e.Data)
	}
	rec.Entries = rec.Entries[start:]
	return append(records, rec)
}

// loadLog reads the log, truncates a torn last frame, and drops the log if the checkpoint has replaced it.
func (s *Storer) loadLog() error {
	path := filepath.Join(s.folder, logFile)
	data, err := s.files.Read(path)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	payloads, end := scan(data, 0)
	if len(payloads) == 0 || hasFrameAfter(data, end) {
		return fmt.Errorf("%w: %s at offset %d", ErrDamaged, logFile, end)
	}
	for i, payload := range payloads {
		if err := s.replayRecord(payload, i == 0); err != nil {
			return err
		}
	}
	if s.log, err = s.files.Open(path, os.O_RDWR); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	s.size, s.tornBytes = end, int64(len(data))-end
	if s.tornBytes > 0 {
		if err := s.files.Truncate(s.log, end); err != nil {
			return fmt.Errorf("%w: %v", ErrIO, err)
		}
	}
	// The last run may have ended between writing a frame and syncing it.
	if err := s.files.Sync(s.log); err != nil {
		return fmt.Errorf("%w: %v", ErrIO, err)
	}
	return s.reconcileCheckpoint()
}

func (s *Storer) replayRecord(payload []byte, first bool) error {
	var rec wire.Record
	if err := encoder.Unmarshal(payload, &rec); err != nil {
		return fmt.Errorf("%w: %s: %v", ErrDamaged, logFile, err)
	}
	st := &s.state
	st.Term, st.Vote, st.Commit = rec.Term, rec.Vote, max(st.Commit, rec.Commit)
	if first {
		st.Base, st.BaseTerm = rec.Base, rec.Prior
	}
	for _, e := range rec.Entries {
		next := st.Base + uint64(len(st.Entries)) + 1
		if e.Index <= st.Base || e.Index > next {
			return fmt.Errorf("%w: %s: entry %d found, expected %d", ErrDamaged, logFile, e.Index, next)
		}
		st.Entries = append(st.Entries[:e.Index-st.Base-1], e)
	}
	return nil
}

// reconcileCheckpoint drops the log if it does not contain the last entry of the checkpoint. That happens after a crash
// between the two writes of Compact.
func (s *Storer) reconcileCheckpoint() error {
	st := &s.state
	cp := st.Checkpoint
	if cp.Index < st.Base {
		return fmt.Errorf("%w: checkpoint ends at entry %d, log starts after entry %d", ErrDamaged, cp.Index, st.Base)
	}
	term, last := st.BaseTerm, st.Base+uint64(len(st.Entries))
	if cp.Index > st.Base && cp.Index <= last {
		term = st.Entries[cp.Index-st.Base-1].Term
	}
	if cp.Index > last || term != cp.Term {
		st.Base, st.BaseTerm, st.Entries = cp.Index, cp.Term, nil
		return s.rewrite(wire.Record{Term: st.Term, Vote: st.Vote, Base: st.Base, Prior: st.BaseTerm})
	}
	return nil
}
