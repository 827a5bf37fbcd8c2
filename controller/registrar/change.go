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

// Horizon is how many versions back removals are remembered, so that a proxy can catch up with a delta.
const Horizon = 1024

// change applies all edits of c in one version, or none.
func (r *Registrar) change(c wire.Change) wire.Result {
	digest := digestEdits(c.Edits)
	if stored, ok := r.answers.find(c.ID); ok {
		if stored.Digest != digest {
			return invalid(fmt.Errorf("change id %s was used with another text", c.ID))
		}
		return stored.Result
	}
	result := r.tryChange(c)
	// A refused change is not stored: the operator may correct the cause and send it again.
	if result.Code == "" {
		r.answers.add(wire.Stored{ID: c.ID, Digest: digest, At: r.clock, Result: result})
		r.publish()
	}
	return result
}

func (r *Registrar) tryChange(c wire.Change) wire.Result {
	if c.ID == "" || len(c.Edits) == 0 {
		return invalid(errors.New("a change needs an id and at least one edit"))
	}
	next := r.version + 1
	batches := maps.Clone(r.batches)
	var graves []wire.Grave
	for _, e := range c.Edits {
		old, exists := batches[e.Name]
		if result := r.checkEdit(e, old, exists); result.Code != "" {
			return result
		}
		if exists && old.Version == next {
			return invalid(fmt.Errorf("batch %q is edited twice", e.Name))
		}
		batch := edited(e, old, next)
		graves = append(graves, removals(old, batch)...)
		batches[e.Name] = batch
	}
	if err := checkShared(batches); err != nil {
		return invalid(err)
	}
	r.commit(next, batches, graves)
	return wire.Result{Version: next}
}

func (r *Registrar) checkEdit(e wire.Edit, old wire.Batch, exists bool) wire.Result {
	if e.Drop && (!exists || len(old.Services) == 0 && old.Lapsed) {
		return wire.Result{Code: presenter.CodeMissing, Error: fmt.Sprintf("batch %q does not exist", e.Name)}
	}
	if e.Revision == 0 && old.Revision != 0 && !old.Lapsed {
		return invalid(fmt.Errorf("batch %q is at revision %d and can only be changed with a higher one", e.Name, old.Revision))
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
		return invalid(fmt.Errorf("batch %q: until is not in the future", e.Name))
	}
	if err := compiler.Check(e.Name, e.Services); err != nil {
		return invalid(err)
	}
	if err := compiler.CheckRoutes(e.Name, e.Routes, e.Services); err != nil {
		return invalid(err)
	}
	return wire.Result{}
}

// checkRevision compares the operator's own version numbers. A revision must grow, so that two changes never share one.
func checkRevision(e wire.Edit, old wire.Batch) wire.Result {
	if e.Before != old.Revision {
		return wire.Result{
			Code:    presenter.CodeConflict,
			Version: old.Version,
			Error:   fmt.Sprintf("batch %q is at revision %d, the change is based on %d", e.Name, old.Revision, e.Before),
		}
	}
	if e.Revision <= old.Revision {
		return invalid(fmt.Errorf("batch %q: revision %d is not above %d", e.Name, e.Revision, old.Revision))
	}
	return wire.Result{}
}

// edited returns the batch after e. Services that stay equal keep the version of their last change.
func edited(e wire.Edit, old wire.Batch, version uint64) wire.Batch {
	batch := wire.Batch{
		Name: e.Name, Version: version, Until: e.Until, Services: []wire.Service{},
		Bounds: e.Bounds, Revision: e.Revision, Source: e.Source,
	}
	if e.Drop {
		batch.Lapsed = true
		batch.Until = old.Until
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
	return batch
}

// editedRoutes returns the routes of an edit. Those that stay equal keep the version of their last change.
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

// removals lists the services and routes of old that next lacks.
func removals(old, next wire.Batch) []wire.Grave {
	kept := make(map[string]bool, len(next.Services))
	for _, s := range next.Services {
		kept[s.Name] = true
	}
	var graves []wire.Grave
	for _, s := range old.Services {
		if !kept[s.Name] {
			graves = append(graves, wire.Grave{Batch: old.Name, Service: s.Name, Version: next.Version})
		}
	}
	routes := make(map[string]bool, len(next.Routes))
	for _, r := range next.Routes {
		routes[r.Name] = true
	}
	for _, r := range old.Routes {
		if !routes[r.Name] {
			graves = append(graves, wire.Grave{Batch: old.Name, Route: r.Name, Version: next.Version})
		}
	}
	return graves
}

// checkShared rejects a service whose class or once differs between batches, since
// two proxies would then treat calls to one upstream differently.
func checkShared(batches map[string]wire.Batch) error {
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

func (r *Registrar) commit(version uint64, batches map[string]wire.Batch, graves []wire.Grave) {
	r.version = version
	r.batches = batches
	r.graves = append(r.graves, graves...)
	if version > Horizon {
		oldest := version - Horizon
		r.graves = slices.DeleteFunc(r.graves, func(g wire.Grave) bool { return g.Version < oldest })
	}
}

// expire withdraws the services of every batch whose contract has ended.
func (r *Registrar) expire() wire.Result {
	next := r.version + 1
	batches := maps.Clone(r.batches)
	var graves []wire.Grave
	lapsed := false
	for name, old := range r.batches {
		if old.Lapsed || old.Until > r.clock {
			continue
		}
		lapsed = true
		batch := wire.Batch{Name: name, Version: next, Until: old.Until, Lapsed: true, Services: []wire.Service{}}
		graves = append(graves, removals(old, batch)...)
		batches[name] = batch
	}
	if !lapsed {
		return wire.Result{Version: r.version}
	}
	slices.SortFunc(graves, compareGraves)
	r.commit(next, batches, graves)
	r.publish()
	return wire.Result{Version: next}
}

func invalid(err error) wire.Result {
	return wire.Result{Code: presenter.CodeInvalid, Error: err.Error()}
}
