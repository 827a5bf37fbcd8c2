package compiler

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// Snapshot is the validated configuration of one batch at one version. It is immutable.
type Snapshot struct {
	batch        wire.Batch
	sum          uint64
	routeHashes  []uint64 // hashes of batch.Routes, in the same order
	tenantHashes []uint64 // hashes of batch.Tenants, in the same order
	services     map[string]wire.Service
	routes       matcher
	tenants      tenantIndex
	public       map[string]bool // services that a public route leads to
}

// New returns a snapshot of batch, or an error if batch is invalid or its checksum is not sum.
func New(batch wire.Batch, sum uint64) (*Snapshot, error) {
	if err := CheckServices(batch.Name, batch.Services); err != nil {
		return nil, err
	}
	if err := CheckRoutes(batch.Name, batch.Routes, batch.Services); err != nil {
		return nil, err
	}
	if err := CheckTenants(batch.Name, batch.Tenants); err != nil {
		return nil, err
	}
	if err := checkSalt(batch); err != nil {
		return nil, err
	}
	s := &Snapshot{
		batch:        batch,
		routeHashes:  routeKind.hashList(batch.Routes).hashes,
		tenantHashes: tenantKind.hashList(batch.Tenants).hashes,
		routes:       newMatcher(batch.Routes),
		tenants:      newTenantIndex(batch.Tenants),
		public:       publicServices(batch.Routes),
	}
	return s.verifyAndIndex(sum)
}

// verifyAndIndex returns an error if the checksum of the snapshot is not sum. Otherwise it stores sum, indexes the services
// by name and returns s.
func (s *Snapshot) verifyAndIndex(sum uint64) (*Snapshot, error) {
	got, err := sumWithHashes(s.batch, s.routeHashes, s.tenantHashes)
	if err != nil {
		return nil, err
	}
	if got != sum {
		return nil, fmt.Errorf("%w: batch %q version %d: checksum %x, want %x", ErrInvalid, s.batch.Name, s.batch.Version, got, sum)
	}
	s.sum = sum
	s.services = make(map[string]wire.Service, len(s.batch.Services))
	for _, service := range s.batch.Services {
		s.services[service.Name] = service
	}
	return s, nil
}

// Merge returns the snapshot that results from applying delta. It does not change s.
func (s *Snapshot) Merge(delta wire.Delta) (*Snapshot, error) {
	if delta.From != s.batch.Version {
		return nil, fmt.Errorf("%w: delta starts from version %d, current version is %d", ErrInvalid, delta.From, s.batch.Version)
	}
	routes, err := routeKind.merge(s.batch.Name, hashedList[wire.Route]{s.batch.Routes, s.routeHashes}, delta.ChangedRoutes, delta.RemovedRoutes)
	if err != nil {
		return nil, err
	}
	tenants, err := tenantKind.merge(s.batch.Name, hashedList[wire.Tenant]{s.batch.Tenants, s.tenantHashes}, delta.ChangedTenants, delta.RemovedTenants)
	if err != nil {
		return nil, err
	}
	services := maps.Clone(s.services)
	for _, name := range delta.RemovedServices {
		delete(services, name)
	}
	for _, service := range delta.ChangedServices {
		services[service.Name] = service
	}
	next := &Snapshot{routeHashes: routes.hashes, tenantHashes: tenants.hashes, routes: s.routes, tenants: s.tenants, public: s.public}
	next.batch = wire.Batch{
		Name:     s.batch.Name,
		Version:  delta.Version,
		Until:    delta.Until,
		Lapsed:   delta.Lapsed,
		Services: SortServices(slices.Collect(maps.Values(services))),
		Routes:   routes.records,
		Bounds:   delta.Bounds,
		Revision: delta.Revision,
		Tenants:  tenants.records,
		Salt:     delta.Salt,
		Auth:     delta.Auth,
	}
	if len(delta.ChangedServices)+len(delta.RemovedServices) > 0 {
		// Unchanged routes may refer to a service that the delta removes, so all routes are checked.
		err = errors.Join(CheckServices(next.batch.Name, next.batch.Services), CheckRoutes(next.batch.Name, next.batch.Routes, next.batch.Services))
	} else {
		err = checkChangedRoutes(next.batch, delta.ChangedRoutes)
	}
	if err != nil {
		return nil, err
	}
	if err := checkSalt(next.batch); err != nil {
		return nil, err
	}
	if len(delta.ChangedRoutes)+len(delta.RemovedRoutes) > 0 {
		next.routes, next.public = newMatcher(next.batch.Routes), publicServices(next.batch.Routes)
	}
	if len(delta.ChangedTenants)+len(delta.RemovedTenants) > 0 {
		if err := CheckTenants(next.batch.Name, next.batch.Tenants); err != nil {
			return nil, err
		}
		next.tenants = newTenantIndex(next.batch.Tenants)
	}
	return next.verifyAndIndex(delta.Sum)
}

// SortServices orders services by name in place and returns them.
func SortServices(services []wire.Service) []wire.Service {
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

// InForce reports whether the support contract of the batch is in force at now.
func (s *Snapshot) InForce(now time.Time) bool {
	return !s.batch.Lapsed && now.UnixMilli() < s.batch.Until
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (wire.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// IsPublicService reports whether a public route leads to the service with the given name.
func (s *Snapshot) IsPublicService(name string) bool {
	return s.public[name]
}

// Route returns the route for the given host with the longest prefix that matches path.
func (s *Snapshot) Route(host, path string) (*wire.Route, bool) {
	return s.routes.match(host, path)
}
