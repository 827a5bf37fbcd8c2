package announcer

import (
	"errors"
	"fmt"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/saver"
	"bluebellhoist/core/wire"
)

// ErrStore reports departures that could not be stored or loaded.
var ErrStore = errors.New("departure store failed")

const storeFile = "departures"

// store keeps departures in a data folder. The zero store keeps none.
type store struct {
	folder string
}

// load returns the stored departures. It creates the folder if needed.
func (s store) load() ([]wire.Departure, error) {
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
	var gone wire.Gone
	if err := encoder.Unmarshal(data, &gone); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStore, err)
	}
	return gone.List, nil
}

// save durably replaces the stored departures.
func (s store) save(all []wire.Departure) error {
	if s.folder == "" {
		return nil
	}
	data, err := encoder.Marshal(wire.Gone{List: all})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	if err := saver.Replace(s.folder, storeFile, data); err != nil {
		return fmt.Errorf("%w: %v", ErrStore, err)
	}
	return nil
}

// loadDepartures takes over the stored departures. Without them, those of the replicated log and of other members are used.
func (a *Announcer) loadDepartures() {
	all, err := a.store.load()
	if err != nil {
		a.log.Error("stored departures cannot be loaded", "error", err)
	}
	for _, d := range all {
		a.departures.add(d)
	}
}
