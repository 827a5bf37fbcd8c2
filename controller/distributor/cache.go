package distributor

import (
	"sync"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/framer"
)

// frameCache caches the encoded updates of one view, so that when many daemons reconnect at once, each update is encoded
// only once per version that they hold.
type frameCache struct {
	mu      sync.Mutex
	view    *registrar.View
	encoded map[frameKey][]byte
}

// frameKey identifies an update by its batch, the version it starts from, and whether it is a full snapshot.
type frameKey struct {
	batch string
	held  uint64
	full  bool
}

// get returns the encoded update for a daemon at version key.held, or nil if the view has nothing newer.
func (f *frameCache) get(view *registrar.View, key frameKey) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view != view {
		f.view, f.encoded = view, map[frameKey][]byte{}
	}
	if data, ok := f.encoded[key]; ok {
		return data, nil
	}
	frame, ok := view.Since(key.batch, key.held, key.full)
	if !ok {
		return nil, nil
	}
	data, err := framer.Encode(frame)
	if err != nil {
		return nil, err
	}
	f.encoded[key] = data
	return data, nil
}
