// Package compiler turns the operators' text into checked edits, and batches into snapshots.
package compiler

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// MaxDepth is the longest chain of dependencies, counted in services.
const MaxDepth = 16

// MaxLimit is the longest time that a service may set for one call.
const MaxLimit = 60 * time.Second

// DefaultLimit is the time limit of a call to a service that sets none.
const DefaultLimit = 10 * time.Second

// Classes of priority.
const (
	Urgent = "urgent"
	Normal = "normal"
	Bulk   = "bulk"
)

// ErrInvalid reports a text, batch or snapshot that fails a check.
var ErrInvalid = errors.New("invalid configuration")

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Classes returns the priority classes, highest first.
func Classes() []string {
	return []string{Urgent, Normal, Bulk}
}

// Check reports the first fault of the services of a batch.
//
// Services must be in order of name, and each needed service must be one of them.
func Check(batch string, services []wire.Service) error {
	if !namePattern.MatchString(batch) {
		return fmt.Errorf("%w: batch %q: name must match %s", ErrInvalid, batch, namePattern)
	}
	known := make(map[string]wire.Service, len(services))
	for i, s := range services {
		if i > 0 && services[i-1].Name >= s.Name {
			return fmt.Errorf("%w: batch %q: service %q is out of order or doubled", ErrInvalid, batch, s.Name)
		}
		if err := checkService(batch, s); err != nil {
			return err
		}
		known[s.Name] = s
	}
	for _, s := range services {
		for _, need := range s.Needs {
			if _, ok := known[need]; !ok {
				return fmt.Errorf("%w: batch %q: service %q: needs: %q is not in the batch", ErrInvalid, batch, s.Name, need)
			}
		}
	}
	return checkChains(batch, services, known)
}

func checkService(batch string, s wire.Service) error {
	if !namePattern.MatchString(s.Name) {
		return fmt.Errorf("%w: batch %q: service %q: name must match %s", ErrInvalid, batch, s.Name, namePattern)
	}
	if !slices.Contains(Classes(), s.Class) {
		return fmt.Errorf("%w: batch %q: service %q: class %q is not urgent, normal or bulk", ErrInvalid, batch, s.Name, s.Class)
	}
	if s.Limit <= 0 || s.Limit > MaxLimit {
		return fmt.Errorf("%w: batch %q: service %q: limit %v is not between 0 and %v", ErrInvalid, batch, s.Name, s.Limit, MaxLimit)
	}
	return nil
}

// checkChains rejects cycles and chains above MaxDepth.
func checkChains(batch string, services []wire.Service, known map[string]wire.Service) error {
	const visiting = -1
	depths := make(map[string]int, len(services))
	var visit func(name string, above int) (int, error)
	visit = func(name string, above int) (int, error) {
		if depths[name] == visiting {
			return 0, fmt.Errorf("%w: batch %q: service %q: needs: dependency cycle", ErrInvalid, batch, name)
		}
		if above > MaxDepth {
			return 0, fmt.Errorf("%w: batch %q: service %q: needs: chain is longer than %d", ErrInvalid, batch, name, MaxDepth)
		}
		if depths[name] > 0 {
			return depths[name], nil
		}
		depths[name] = visiting
		deepest := 0
		for _, need := range known[name].Needs {
			depth, err := visit(need, above+1)
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
