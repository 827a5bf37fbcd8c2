package distributor

import (
	"sync"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/framer"
)

// frames caches encoded updates of one view, so that a storm of
// reconnecting daemons costs one encoding for each held version.
type frames struct {
	mu      sync.Mutex
	view    *registrar.View
	encoded map[frameKey][]byte
}

type frameKey struct {
	batch string
	held  uint64
	full  bool
}

// get returns the encoded update for a daemon at version held, or nil if there is nothing newer.
func (f *frames) get(view *registrar.View, key frameKey) ([]byte, error) {
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
