package compiler

import (
	"fmt"
	"slices"

	"bluebellhoist/core/wire"
)

// hashedRoutes is a list of routes in order of name with their hashes.
type hashedRoutes struct {
	routes []wire.Route
	hashes []uint64
}

func (l *hashedRoutes) add(r wire.Route, hash uint64) {
	l.routes = append(l.routes, r)
	l.hashes = append(l.hashes, hash)
}

// mergeRoutes returns a snapshot that holds only the routes that a delta leads to. Only changed routes are hashed.
func (s *Snapshot) mergeRoutes(delta wire.Delta) (*Snapshot, error) {
	held := s.batch.Routes
	if len(delta.Cut)+len(delta.Routes) == 0 {
		return &Snapshot{batch: wire.Batch{Routes: held}, hashes: s.hashes, routes: s.routes}, nil
	}
	put, err := inOrder(s.batch.Name, delta.Routes)
	if err != nil {
		return nil, err
	}
	cut := make(map[string]bool, len(delta.Cut))
	for _, name := range delta.Cut {
		cut[name] = true
	}
	size := len(held) + len(put)
	merged := hashedRoutes{make([]wire.Route, 0, size), make([]uint64, 0, size)}
	for i, r := range held {
		for len(put) > 0 && put[0].Name < r.Name {
			merged.add(put[0], hashRoute(&put[0]))
			put = put[1:]
		}
		switch {
		case len(put) > 0 && put[0].Name == r.Name:
			merged.add(put[0], hashRoute(&put[0]))
			put = put[1:]
		case !cut[r.Name]:
			merged.add(r, s.hashes[i])
		}
	}
	for _, r := range put {
		merged.add(r, hashRoute(&r))
	}
	return &Snapshot{batch: wire.Batch{Routes: merged.routes}, hashes: merged.hashes, routes: newMatcher(merged.routes)}, nil
}

// inOrder returns a copy of routes in order of name, or an error if one stands twice.
func inOrder(batch string, routes []wire.Route) ([]wire.Route, error) {
	sorted := SortRoutes(slices.Clone(routes))
	for i := 1; i < len(sorted); i++ {
		if sorted[i-1].Name == sorted[i].Name {
			return nil, fmt.Errorf("%w: batch %q: route %q is doubled", ErrInvalid, batch, sorted[i].Name)
		}
	}
	return sorted, nil
}
