package compiler

import (
	"cmp"
	"fmt"
	"slices"

	"bluebellhoist/core/wire"
)

// hashedList is a list of records, sorted by name, with the hash of each record.
type hashedList[T any] struct {
	records []T
	hashes  []uint64
}

func (l *hashedList[T]) add(record T, hash uint64) {
	l.records = append(l.records, record)
	l.hashes = append(l.hashes, hash)
}

// recordKind holds the functions that merge needs for one type of record.
type recordKind[T any] struct {
	noun string
	name func(*T) string
	hash func(*T) uint64
}

var (
	routeKind  = recordKind[wire.Route]{"route", func(r *wire.Route) string { return r.Name }, hashRoute}
	tenantKind = recordKind[wire.Tenant]{"tenant", func(t *wire.Tenant) string { return t.Name }, hashTenant}
)

// hashList returns the list of records, which are sorted by name, with their hashes.
func (k recordKind[T]) hashList(records []T) hashedList[T] {
	hashes := make([]uint64, len(records))
	for i := range records {
		hashes[i] = k.hash(&records[i])
	}
	return hashedList[T]{records, hashes}
}

// merge returns current with the records in changed added or replaced and those named in removed left out. It does not
// change current. Only changed records are hashed.
func (k recordKind[T]) merge(batch string, current hashedList[T], changed []T, removed []string) (hashedList[T], error) {
	if len(changed)+len(removed) == 0 {
		return current, nil
	}
	changed, err := k.sortUnique(batch, changed)
	if err != nil {
		return hashedList[T]{}, err
	}
	isRemoved := make(map[string]bool, len(removed))
	for _, name := range removed {
		isRemoved[name] = true
	}
	size := len(current.records) + len(changed)
	merged := hashedList[T]{make([]T, 0, size), make([]uint64, 0, size)}
	for i := range current.records {
		name := k.name(&current.records[i])
		for len(changed) > 0 && k.name(&changed[0]) < name {
			merged.add(changed[0], k.hash(&changed[0]))
			changed = changed[1:]
		}
		switch {
		case len(changed) > 0 && k.name(&changed[0]) == name:
			merged.add(changed[0], k.hash(&changed[0]))
			changed = changed[1:]
		case !isRemoved[name]:
			merged.add(current.records[i], current.hashes[i])
		}
	}
	for i := range changed {
		merged.add(changed[i], k.hash(&changed[i]))
	}
	return merged, nil
}

// sortUnique returns a copy of records sorted by name, or an error if a name occurs twice.
func (k recordKind[T]) sortUnique(batch string, records []T) ([]T, error) {
	sorted := slices.Clone(records)
	slices.SortFunc(sorted, func(a, b T) int { return cmp.Compare(k.name(&a), k.name(&b)) })
	for i := 1; i < len(sorted); i++ {
		if k.name(&sorted[i-1]) == k.name(&sorted[i]) {
			return nil, fmt.Errorf("%w: batch %q: %s %q is duplicated", ErrInvalid, batch, k.noun, k.name(&sorted[i]))
		}
	}
	return sorted, nil
}
