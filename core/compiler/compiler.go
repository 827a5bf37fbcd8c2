// Package compiler parses and validates the configuration text of operators, and turns batches into snapshots that
// daemons use.
package compiler

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// MaxDepth is the maximum length of a dependency chain, in services.
const MaxDepth = 16

// MaxCallLimit is the maximum time limit that a service may set for a call.
const MaxCallLimit = 60 * time.Second

// DefaultLimit is the time limit for calls to services that set none.
const DefaultLimit = 10 * time.Second

// Priority classes of services.
const (
	Urgent = "urgent"
	Normal = "normal"
	Bulk   = "bulk"
)

// ErrInvalid reports a configuration text, batch or snapshot that failed validation.
var ErrInvalid = errors.New("invalid configuration")

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Classes returns the priority classes, highest priority first.
func Classes() []string {
	return []string{Urgent, Normal, Bulk}
}

// CheckServices validates the services of a batch and returns the first error.
//
// Services must be sorted by name, and each service that they depend on must be in the batch.
func CheckServices(batch string, services []wire.Service) error {
	if !namePattern.MatchString(batch) {
		return fmt.Errorf("%w: batch %q: name must match %s", ErrInvalid, batch, namePattern)
	}
	byName := make(map[string]wire.Service, len(services))
	for i, s := range services {
		if i > 0 && services[i-1].Name >= s.Name {
			return fmt.Errorf("%w: batch %q: service %q is out of order or duplicated", ErrInvalid, batch, s.Name)
		}
		if err := checkService(batch, s); err != nil {
			return err
		}
		byName[s.Name] = s
	}
	for _, s := range services {
		for _, dependency := range s.Needs {
			if _, ok := byName[dependency]; !ok {
				return fmt.Errorf("%w: batch %q: service %q: needs: %q is not in the batch", ErrInvalid, batch, s.Name, dependency)
			}
		}
	}
	return checkDependencies(batch, services, byName)
}

func checkService(batch string, s wire.Service) error {
	if !namePattern.MatchString(s.Name) {
		return fmt.Errorf("%w: batch %q: service %q: name must match %s", ErrInvalid, batch, s.Name, namePattern)
	}
	if !slices.Contains(Classes(), s.Class) {
		return fmt.Errorf("%w: batch %q: service %q: class %q is not urgent, normal or bulk", ErrInvalid, batch, s.Name, s.Class)
	}
	if s.Limit <= 0 || s.Limit > MaxCallLimit {
		return fmt.Errorf("%w: batch %q: service %q: limit %v must be above 0 and at most %v", ErrInvalid, batch, s.Name, s.Limit, MaxCallLimit)
	}
	return nil
}

// checkDependencies rejects dependency cycles and chains longer than MaxDepth.
func checkDependencies(batch string, services []wire.Service, byName map[string]wire.Service) error {
	const visiting = -1
	depths := make(map[string]int, len(services))
	var visit func(name string, pathLength int) (int, error)
	visit = func(name string, pathLength int) (int, error) {
		if depths[name] == visiting {
			return 0, fmt.Errorf("%w: batch %q: service %q: needs: dependency cycle", ErrInvalid, batch, name)
		}
		if pathLength > MaxDepth {
			return 0, fmt.Errorf("%w: batch %q: service %q: needs: chain is longer than %d", ErrInvalid, batch, name, MaxDepth)
		}
		if depths[name] > 0 {
			return depths[name], nil
		}
		depths[name] = visiting
		deepest := 0
		for _, dependency := range byName[name].Needs {
			depth, err := visit(dependency, pathLength+1)
			if err != nil {
				return 0, err
			}
			deepest = max(deepest, depth)
		}
		depths[name] = deepest + 1
		if depths[name] > MaxDepth {
			return 0, fmt.Errorf("%w: batch %q: service %q: needs: chain is longer than %d", ErrInvalid, batch, name, MaxDepth)
		}
		return depths[name], nil
	}
	for _, s := range services {
		if _, err := visit(s.Name, 1); err != nil {
			return err
		}
	}
	return nil
}
