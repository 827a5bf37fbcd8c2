package compiler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// Snapshot is the checked configuration of one batch at one version. It never changes.
type Snapshot struct {
	batch    wire.Batch
	sum      uint64
	services map[string]wire.Service
	routes   matcher
}

// Sum returns the checksum of a batch.
func Sum(batch wire.Batch) (uint64, error) {
	// A nil list and an empty one encode differently but mean the same.
	if batch.Services == nil {
		batch.Services = []wire.Service{}
	}
	if len(batch.Routes) == 0 {
		batch.Routes = nil
	}
	batch.Source = nil // daemons do not get it
	data, err := encoder.Marshal(batch)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	return xxhash.Sum64(data), nil
}

// New returns a snapshot of batch, or an error if a check or the checksum fails.
func New(batch wire.Batch, sum uint64) (*Snapshot, error) {
	if err := Check(batch.Name, batch.Services); err != nil {
		return nil, err
	}
	if err := CheckRoutes(batch.Name, batch.Routes, batch.Services); err != nil {
		return nil, err
	}
	got, err := Sum(batch)
	if err != nil {
		return nil, err
	}
	if got != sum {
		return nil, fmt.Errorf("%w: batch %q version %d: checksum %x, want %x", ErrInvalid, batch.Name, batch.Version, got, sum)
	}
	s := &Snapshot{
		batch:    batch,
		sum:      sum,
		services: make(map[string]wire.Service, len(batch.Services)),
		routes:   newMatcher(batch.Routes),
	}
	for _, service := range batch.Services {
		s.services[service.Name] = service
	}
	return s, nil
}

// Merge returns the snapshot that delta leads to. The receiver stays as it is.
func (s *Snapshot) Merge(delta wire.Delta) (*Snapshot, error) {
	if delta.From != s.batch.Version {
		return nil, fmt.Errorf("%w: delta from version %d, held %d", ErrInvalid, delta.From, s.batch.Version)
	}
	services := maps.Clone(s.services)
	for _, name := range delta.Drop {
		delete(services, name)
	}
	for _, service := range delta.Put {
		services[service.Name] = service
	}
	next := wire.Batch{
		Name:     s.batch.Name,
		Version:  delta.Version,
		Until:    delta.Until,
		Lapsed:   delta.Lapsed,
		Services: Sort(slices.Collect(maps.Values(services))),
		Routes:   mergeRoutes(s.batch.Routes, delta),
		Bounds:   delta.Bounds,
		Revision: delta.Revision,
	}
	return New(next, delta.Sum)
}

func mergeRoutes(held []wire.Route, delta wire.Delta) []wire.Route {
	if len(delta.Cut)+len(delta.Routes) == 0 {
		return held
	}
	routes := make(map[string]wire.Route, len(held)+len(delta.Routes))
	for _, r := range held {
		routes[r.Name] = r
	}
	for _, name := range delta.Cut {
		delete(routes, name)
	}
	for _, r := range delta.Routes {
		routes[r.Name] = r
	}
	return SortRoutes(slices.Collect(maps.Values(routes)))
}

// Sort orders services by name in place and returns them.
func Sort(services []wire.Service) []wire.Service {
	slices.SortFunc(services, func(a, b wire.Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

// Batch returns the batch of the snapshot. The caller must not change it.
func (s *Snapshot) Batch() wire.Batch {
	return s.batch
}

// Sum returns the checksum of the snapshot.
func (s *Snapshot) Sum() uint64 {
	return s.sum
}

// Version returns the version of the snapshot.
func (s *Snapshot) Version() uint64 {
	return s.batch.Version
}

// Covers reports whether the contract is in force at now.
func (s *Snapshot) Covers(now time.Time) bool {
	return !s.batch.Lapsed && now.UnixMilli() < s.batch.Until
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (wire.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Route returns the route with the given host whose prefix is the longest that begins path.
func (s *Snapshot) Route(host, path string) (*wire.Route, bool) {
	return s.routes.match(host, path)
}
