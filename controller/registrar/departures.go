package registrar

import (
	"slices"
	"sync"
	"time"

	"bluebellhoist/core/wire"
)

// DepartureRetention is how long a departure is kept after it was last recorded. Reports that are sent before a leave arrive
// seconds after it, at most after a long partition.
const DepartureRetention = 24 * time.Hour

// departures holds the last departure of each upstream of each VM, ordered by time. It may be read from any goroutine.
type departures struct {
	mu   sync.RWMutex
	list []wire.Leave
}

// record stores a departure unless a later one of the same upstream is known.
func (d *departures) record(l wire.Leave, clock int64) wire.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.IndexFunc(d.list, func(old wire.Leave) bool { return old.Name == l.Name && old.Gone.Upstream == l.Gone.Upstream })
	if i >= 0 {
		if d.list[i].Gone.After(l.Gone) {
			l.Gone = d.list[i].Gone
		}
		d.list = slices.Delete(d.list, i, i+1)
	}
	l.At = clock
	d.list = append(d.list, l)
	return wire.Verdict{State: wire.Recorded}
}

// prune removes the departures whose retention has ended.
func (d *departures) prune(clock int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ended := 0
	for ended < len(d.list) && d.list[ended].At+millis(DepartureRetention) < clock {
		ended++
	}
	d.list = slices.Delete(d.list, 0, ended)
}

// of returns the departures of the upstreams of a VM.
func (d *departures) of(name string) []wire.Departure {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var gone []wire.Departure
	for _, l := range d.list {
		if l.Name == name {
			gone = append(gone, l.Gone)
		}
	}
	return gone
}

// all returns a copy of all departures.
func (d *departures) all() []wire.Leave {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Clone(d.list)
}

// restore replaces all departures.
func (d *departures) restore(list []wire.Leave) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = slices.Clone(list)
}
