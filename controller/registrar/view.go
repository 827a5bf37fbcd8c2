package registrar

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
)

// View is an immutable view of the batches at one version.
type View struct {
	version    uint64
	batches    map[string]batchView
	tombstones []wire.Tombstone
	changed    chan struct{}
}

type batchView struct {
	batch wire.Batch // without the source
	// sum returns the checksum of the batch. It is computed on first use, so that replaying the log does not compute
	// one for each change.
	sum func() uint64
	// source is the operator's own configuration text, compressed.
	source []byte
}

func newView(r *Registrar, old *View) *View {
	v := &View{
		version:    r.version,
		batches:    make(map[string]batchView, len(r.batches)),
		tombstones: slices.Clone(r.tombstones),
		changed:    make(chan struct{}),
	}
	for name, batch := range r.batches {
		if old != nil && old.batches[name].batch.Version == batch.Version {
			v.batches[name] = old.batches[name]
			continue
		}
		source := batch.Source
		batch.Source = nil
		v.batches[name] = batchView{batch, sync.OnceValue(func() uint64 {
			// Checksum fails only on types that cannot be encoded, and a batch has none.
			sum, _ := compiler.Checksum(batch)
			return sum
		}), source}
	}
	return v
}

// Version returns the version of the last change.
func (v *View) Version() uint64 {
	return v.version
}

// Changed returns a channel that is closed when a newer view is available.
func (v *View) Changed() <-chan struct{} {
	return v.changed
}

// Batch returns the batch with the given name.
func (v *View) Batch(name string) (wire.Batch, bool) {
	b, ok := v.batches[name]
	return b.batch, ok
}

// Source returns the operator's own configuration text of a batch as given in the edit, or nil.
func (v *View) Source(name string) []byte {
	return v.batches[name].source
}

// Batches returns all batches, sorted by name.
func (v *View) Batches() []wire.Batch {
	all := make([]wire.Batch, 0, len(v.batches))
	for _, b := range v.batches {
		all = append(all, b.batch)
	}
	slices.SortFunc(all, compareBatches)
	return all
}

// Since returns the frame that brings a daemon from version held up to date: a delta, or the whole batch if full is set
// or held is too old. It returns false if there is nothing newer.
func (v *View) Since(name string, held uint64, full bool) (wire.Frame, bool) {
	b, ok := v.batches[name]
	if !ok || held >= b.batch.Version {
		return wire.Frame{}, false
	}
	if full || held == 0 || held+TombstoneVersions < v.version {
		return wire.Frame{Full: &wire.Full{Sum: b.sum(), Batch: b.batch}}, true
	}
	delta := &wire.Delta{From: held, Version: b.batch.Version, Sum: b.sum(), Until: b.batch.Until, Lapsed: b.batch.Lapsed,
		Bounds: b.batch.Bounds, Revision: b.batch.Revision, Salt: b.batch.Salt, Auth: b.batch.Auth}
	for _, s := range b.batch.Services {
		if s.Mod > held {
			delta.ChangedServices = append(delta.ChangedServices, s)
		}
	}
	for _, r := range b.batch.Routes {
		if r.Mod > held {
			delta.ChangedRoutes = append(delta.ChangedRoutes, r)
		}
	}
	for _, t := range b.batch.Tenants {
		if t.Mod > held {
			delta.ChangedTenants = append(delta.ChangedTenants, t)
		}
	}
	for _, t := range v.tombstones {
		switch {
		case t.Batch != name || t.Version <= held:
		case t.Tenant != "":
			if !hasTenant(b.batch, t.Tenant) {
				delta.RemovedTenants = append(delta.RemovedTenants, t.Tenant)
			}
		case t.Route != "" && !hasRoute(b.batch, t.Route):
			delta.RemovedRoutes = append(delta.RemovedRoutes, t.Route)
		case t.Route == "" && !hasService(b.batch, t.Service):
			delta.RemovedServices = append(delta.RemovedServices, t.Service)
		}
	}
	slices.Sort(delta.RemovedServices)
	delta.RemovedServices = slices.Compact(delta.RemovedServices)
	slices.Sort(delta.RemovedRoutes)
	delta.RemovedRoutes = slices.Compact(delta.RemovedRoutes)
	slices.Sort(delta.RemovedTenants)
	delta.RemovedTenants = slices.Compact(delta.RemovedTenants)
	return wire.Frame{Delta: delta}, true
}

// NextExpiry returns the earliest time at which a batch expires, and false if no batch is in force.
func (v *View) NextExpiry() (time.Time, bool) {
	earliest := int64(0)
	for _, b := range v.batches {
		if !b.batch.Lapsed && (earliest == 0 || b.batch.Until < earliest) {
			earliest = b.batch.Until
		}
	}
	return time.UnixMilli(earliest), earliest != 0
}

func hasService(batch wire.Batch, service string) bool {
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

func hasTenant(batch wire.Batch, tenant string) bool {
	_, found := slices.BinarySearchFunc(batch.Tenants, tenant, func(t wire.Tenant, name string) int {
		return cmp.Compare(t.Name, name)
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

func compareTombstones(a, b wire.Tombstone) int {
	return cmp.Or(cmp.Compare(a.Batch, b.Batch), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Tenant, b.Tenant))
}
