package compiler

import (
	"fmt"
	"slices"

	"bluebellhoist/core/wire"
)

// hashedRoutes is a list of routes, sorted by name, with their hashes.
type hashedRoutes struct {
	routes []wire.Route
	hashes []uint64
}

func (l *hashedRoutes) add(r wire.Route, hash uint64) {
	l.routes = append(l.routes, r)
	l.hashes = append(l.hashes, hash)
}

// mergeRoutes returns a partial snapshot with the routes after delta is applied. Only changed routes are hashed.
func (s *Snapshot) mergeRoutes(delta wire.Delta) (*Snapshot, error) {
	current := s.batch.Routes
	if len(delta.RemovedRoutes)+len(delta.ChangedRoutes) == 0 {
		return &Snapshot{batch: wire.Batch{Routes: current}, hashes: s.hashes, routes: s.routes}, nil
	}
	changed, err := sortUnique(s.batch.Name, delta.ChangedRoutes)
	if err != nil {
		return nil, err
	}
	removed := make(map[string]bool, len(delta.RemovedRoutes))
	for _, name := range delta.RemovedRoutes {
		removed[name] = true
	}
	size := len(current) + len(changed)
	merged := hashedRoutes{make([]wire.Route, 0, size), make([]uint64, 0, size)}
	for i, r := range current {
		for len(changed) > 0 && changed[0].Name < r.Name {
			merged.add(changed[0], hashRoute(&changed[0]))
			changed = changed[1:]
		}
		switch {
		case len(changed) > 0 && changed[0].Name == r.Name:
			merged.add(changed[0], hashRoute(&changed[0]))
			changed = changed[1:]
		case !removed[r.Name]:
			merged.add(r, s.hashes[i])
		}
	}
	for _, r := range changed {
		merged.add(r, hashRoute(&r))
	}
	return &Snapshot{batch: wire.Batch{Routes: merged.routes}, hashes: merged.hashes, routes: newMatcher(merged.routes)}, nil
}

// sortUnique returns a copy of routes sorted by name, or an error if a name occurs twice.
func sortUnique(batch string, routes []wire.Route) ([]wire.Route, error) {
	sorted := SortRoutes(slices.Clone(routes))
	for i := 1; i < len(sorted); i++ {
		if sorted[i-1].Name == sorted[i].Name {
			return nil, fmt.Errorf("%w: batch %q: route %q is duplicated", ErrInvalid, batch, sorted[i].Name)
		}
	}
	return sorted, nil
}
