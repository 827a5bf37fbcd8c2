package registrar

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// TombstoneVersions is the number of versions for which tombstones of removed services, routes and tenants are kept. A daemon
// that is further behind gets the full batch instead of a delta.
const TombstoneVersions = 1024

// change applies all edits of c in one version, or none. A retry of an accepted change gets the same result.
func (r *Registrar) change(c wire.Change) wire.Result {
	digest := hashEdits(c.Edits)
	if stored, ok := r.changeResults.find(c.ID); ok {
		if stored.Digest != digest {
			return invalidResult(fmt.Errorf("change ID %s was already used with other edits", c.ID))
		}
		return stored.Result
	}
	result := r.applyChange(c)
	// The result of a rejected change is not stored, so that the operator may fix the cause and retry.
	if result.Code == "" {
		r.changeResults.add(wire.ChangeResult{ID: c.ID, Digest: digest, At: r.clock, Result: result})
		r.publishView()
	}
	return result
}

func (r *Registrar) applyChange(c wire.Change) wire.Result {
	if c.ID == "" || len(c.Edits) == 0 {
		return invalidResult(errors.New("a change needs an ID and at least one edit"))
	}
	next := r.version + 1
	batches := maps.Clone(r.batches)
	var tombstones []wire.Tombstone
	for _, e := range c.Edits {
		old, exists := batches[e.Name]
		if result := r.checkEdit(e, old, exists); result.Code != "" {
			return result
		}
		if exists && old.Version == next {
			return invalidResult(fmt.Errorf("batch %q is edited twice", e.Name))
		}
		batch := editedBatch(e, old, next)
		tombstones = append(tombstones, removalTombstones(old, batch)...)
		batches[e.Name] = batch
	}
	if err := checkSharedServices(batches); err != nil {
		return invalidResult(err)
	}
	r.install(next, batches, tombstones)
	return wire.Result{Version: next}
}

func (r *Registrar) checkEdit(e wire.Edit, old wire.Batch, exists bool) wire.Result {
	if e.Drop && (!exists || len(old.Services) == 0 && old.Lapsed) {
		return wire.Result{Code: presenter.CodeMissing, Error: fmt.Sprintf("batch %q does not exist", e.Name)}
	}
	if e.Revision == 0 && old.Revision != 0 && !old.Lapsed {
		return invalidResult(fmt.Errorf("batch %q is at revision %d and can be changed only with a higher revision", e.Name, old.Revision))
	}
	if e.Revision != 0 {
		if result := checkRevision(e, old); result.Code != "" {
			return result
		}
	} else if e.Base != old.Version {
		return wire.Result{
			Code:    presenter.CodeConflict,
			Version: old.Version,
			Error:   fmt.Sprintf("batch %q is at version %d, the change is based on %d", e.Name, old.Version, e.Base),
		}
	}
	if e.Drop {
		return wire.Result{}
	}
	if e.Until <= r.clock {
		return invalidResult(fmt.Errorf("batch %q: until is not in the future", e.Name))
	}
	if err := compiler.CheckServices(e.Name, e.Services); err != nil {
		return invalidResult(err)
	}
	if err := compiler.CheckRoutes(e.Name, e.Routes, e.Services); err != nil {
		return invalidResult(err)
	}
	if err := checkTenants(e, old); err != nil {
		return invalidResult(err)
	}
	return wire.Result{}
}

// checkRevision checks the operator's own version numbers. Each revision must be greater than the last one, so that no
// two changes share a revision.
func checkRevision(e wire.Edit, old wire.Batch) wire.Result {
	if e.Before != old.Revision {
		return wire.Result{
			Code:    presenter.CodeConflict,
			Version: old.Version,
			Error:   fmt.Sprintf("batch %q is at revision %d, the change is based on %d", e.Name, old.Revision, e.Before),
		}
	}
	if e.Revision <= old.Revision {
		return invalidResult(fmt.Errorf("batch %q: revision %d is not above %d", e.Name, e.Revision, old.Revision))
	}
	return wire.Result{}
}

// editedBatch returns the batch after e. Services, routes and tenants that do not change keep the version of their last
// change.
func editedBatch(e wire.Edit, old wire.Batch, version uint64) wire.Batch {
	batch := wire.Batch{
		Name: e.Name, Version: version, Until: e.Until, Services: []wire.Service{},
		Bounds: e.Bounds, Revision: e.Revision, Source: e.Source, Salt: editedSalt(e, old),
	}
	if e.Drop {
		batch.Lapsed = true
		batch.Until = old.Until
		batch.Auth = old.Auth
		return batch
	}
	before := make(map[string]wire.Service, len(old.Services))
	for _, s := range old.Services {
		before[s.Name] = s
	}
	for _, s := range e.Services {
		s.Mod = version
		if b, ok := before[s.Name]; ok && sameService(b, s) {
			s.Mod = b.Mod
		}
		batch.Services = append(batch.Services, s)
	}
	batch.Routes = editedRoutes(e.Routes, old.Routes, version)
	batch.Auth = editedAuth(e, old)
	batch.Tenants = editedTenants(e, old, batch.Salt, version)
	return batch
}

// editedRoutes returns the routes of an edit. Routes that do not change keep the version of their last change.
func editedRoutes(routes, old []wire.Route, version uint64) []wire.Route {
	before := make(map[string]wire.Route, len(old))
	for _, r := range old {
		before[r.Name] = r
	}
	next := make([]wire.Route, 0, len(routes))
	for _, r := range routes {
		r.Mod = version
		if b, ok := before[r.Name]; ok && compiler.SameRoute(b, r) {
			r.Mod = b.Mod
		}
		next = append(next, r)
	}
	return next
}

func sameService(a, b wire.Service) bool {
	return a.Name == b.Name && slices.Equal(a.Needs, b.Needs) && a.Class == b.Class && a.Once == b.Once && a.Limit == b.Limit && a.Conns == b.Conns
}

// removalTombstones returns a tombstone for each service, route and tenant of old that next lacks.
func removalTombstones(old, next wire.Batch) []wire.Tombstone {
	var tombstones []wire.Tombstone
	for _, s := range old.Services {
		if !hasService(next, s.Name) {
			tombstones = append(tombstones, wire.Tombstone{Batch: old.Name, Service: s.Name, Version: next.Version})
		}
	}
	for _, r := range old.Routes {
		if !hasRoute(next, r.Name) {
			tombstones = append(tombstones, wire.Tombstone{Batch: old.Name, Route: r.Name, Version: next.Version})
		}
	}
	for _, t := range old.Tenants {
		if !hasTenant(next, t.Name) {
			tombstones = append(tombstones, wire.Tombstone{Batch: old.Name, Tenant: t.Name, Version: next.Version})
		}
	}
	return tombstones
}

// checkSharedServices rejects a service whose class or once setting differs between batches, since two daemons would
// then treat calls to the same upstream differently.
func checkSharedServices(batches map[string]wire.Batch) error {
	type owner struct {
		batch   string
		service wire.Service
	}
	seen := map[string]owner{}
	for _, b := range sortedBatches(batches) {
		for _, s := range b.Services {
			first, ok := seen[s.Name]
			if !ok {
				seen[s.Name] = owner{b.Name, s}
				continue
			}
			if first.service.Class != s.Class || first.service.Once != s.Once {
				return fmt.Errorf("service %q: class and once differ between batches %q and %q", s.Name, first.batch, b.Name)
			}
		}
	}
	return nil
}

// install makes the batches of a new version current and drops the tombstones of versions that are more than
// TombstoneVersions behind.
func (r *Registrar) install(version uint64, batches map[string]wire.Batch, tombstones []wire.Tombstone) {
	r.version = version
	r.batches = batches
	r.tombstones = append(r.tombstones, tombstones...)
	if version > TombstoneVersions {
		oldest := version - TombstoneVersions
		r.tombstones = slices.DeleteFunc(r.tombstones, func(t wire.Tombstone) bool { return t.Version < oldest })
	}
}

// expire marks every batch whose contract has ended as lapsed and removes its services, routes and tenants.
func (r *Registrar) expire() wire.Result {
	next := r.version + 1
	batches := maps.Clone(r.batches)
	var tombstones []wire.Tombstone
	lapsed := false
	for name, old := range r.batches {
		if old.Lapsed || old.Until > r.clock {
			continue
		}
		lapsed = true
		batch := wire.Batch{Name: name, Version: next, Until: old.Until, Lapsed: true, Services: []wire.Service{}, Salt: old.Salt, Auth: old.Auth}
		tombstones = append(tombstones, removalTombstones(old, batch)...)
		batches[name] = batch
	}
	if !lapsed {
		return wire.Result{Version: r.version}
	}
	slices.SortFunc(tombstones, compareTombstones)
	r.install(next, batches, tombstones)
	r.publishView()
	return wire.Result{Version: next}
}

func invalidResult(err error) wire.Result {
	return wire.Result{Code: presenter.CodeInvalid, Error: err.Error()}
}
