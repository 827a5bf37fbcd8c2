package registrar

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
)

// View is the batches at one version. It never changes.
type View struct {
	version uint64
	batches map[string]viewed
	graves  []wire.Grave
	changed chan struct{}
}

type viewed struct {
	batch wire.Batch // without the source
	// sum returns the checksum of the batch. It is computed when a daemon needs it, not for each change of a replay.
	sum func() uint64
	// source is the operator's own text, compressed.
	source []byte
}

func newView(r *Registrar, old *View) *View {
	v := &View{
		version: r.version,
		batches: make(map[string]viewed, len(r.batches)),
		graves:  slices.Clone(r.graves),
		changed: make(chan struct{}),
	}
	for name, batch := range r.batches {
		if old != nil && old.batches[name].batch.Version == batch.Version {
			v.batches[name] = old.batches[name]
			continue
		}
		source := batch.Source
		batch.Source = nil
		v.batches[name] = viewed{batch, sync.OnceValue(func() uint64 {
			// Sum fails only on types that cannot be encoded, and a batch has none.
			sum, _ := compiler.Sum(batch)
			return sum
		}), source}
	}
	return v
}

// Version returns the version of the last change.
func (v *View) Version() uint64 {
	return v.version
}

// Changed returns a channel that is closed once a newer view exists.
func (v *View) Changed() <-chan struct{} {
	return v.changed
}

// Batch returns the batch with the given name.
func (v *View) Batch(name string) (wire.Batch, bool) {
	b, ok := v.batches[name]
	return b.batch, ok
}

// Source returns the operator's own text of a batch as it was given with the edit, or nil.
func (v *View) Source(name string) []byte {
	return v.batches[name].source
}

// Batches returns all batches in order of name.
func (v *View) Batches() []wire.Batch {
	all := make([]wire.Batch, 0, len(v.batches))
	for _, b := range v.batches {
		all = append(all, b.batch)
	}
	slices.SortFunc(all, compareBatches)
	return all
}

// Since returns the message that brings a proxy at version held up to date, and false if there is nothing newer.
func (v *View) Since(name string, held uint64, full bool) (wire.Frame, bool) {
	b, ok := v.batches[name]
	if !ok || held >= b.batch.Version {
		return wire.Frame{}, false
	}
	if full || held == 0 || held+Horizon < v.version {
		return wire.Frame{Full: &wire.Full{Sum: b.sum(), Batch: b.batch}}, true
	}
	delta := &wire.Delta{From: held, Version: b.batch.Version, Sum: b.sum(), Until: b.batch.Until, Lapsed: b.batch.Lapsed,
		Bounds: b.batch.Bounds, Revision: b.batch.Revision}
	for _, s := range b.batch.Services {
		if s.Mod > held {
			delta.Put = append(delta.Put, s)
		}
	}
	for _, r := range b.batch.Routes {
		if r.Mod > held {
			delta.Routes = append(delta.Routes, r)
		}
	}
	for _, g := range v.graves {
		switch {
		case g.Batch != name || g.Version <= held:
		case g.Route != "" && !hasRoute(b.batch, g.Route):
			delta.Cut = append(delta.Cut, g.Route)
		case g.Route == "" && !has(b.batch, g.Service):
			delta.Drop = append(delta.Drop, g.Service)
		}
	}
	slices.Sort(delta.Drop)
	delta.Drop = slices.Compact(delta.Drop)
	slices.Sort(delta.Cut)
	delta.Cut = slices.Compact(delta.Cut)
	return wire.Frame{Delta: delta}, true
}

// NextExpiry returns the earliest expiry of a batch in force, and false if there is none.
func (v *View) NextExpiry() (time.Time, bool) {
	earliest := int64(0)
	for _, b := range v.batches {
		if !b.batch.Lapsed && (earliest == 0 || b.batch.Until < earliest) {
			earliest = b.batch.Until
		}
	}
	return time.UnixMilli(earliest), earliest != 0
}

func has(batch wire.Batch, service string) bool {
	_, found := slices.BinarySearchFunc(batch.Services, service, func(s wire.Service, name string) int {
		return cmp.Compare(s.Name, name)
	})
	return found
}

func hasRoute(batch wire.Batch, route string) bool {
	_, found := slices.BinarySearchFunc(batch.Routes, route, func(r wire.Route, name string) int {
		return cmp.Compare(r.Name, name)
	})
	return found
}

func sortedBatches(batches map[string]wire.Batch) []wire.Batch {
	all := make([]wire.Batch, 0, len(batches))
	for _, b := range batches {
		all = append(all, b)
	}
	slices.SortFunc(all, compareBatches)
	return all
}

func compareBatches(a, b wire.Batch) int {
	return cmp.Compare(a.Name, b.Name)
}

func compareGraves(a, b wire.Grave) int {
	return cmp.Or(cmp.Compare(a.Batch, b.Batch), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route))
}
