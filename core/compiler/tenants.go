package compiler

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"slices"

	"bluebellhoist/core/wire"
)

// MaxTenantName is the maximum size of the name of a tenant, in bytes.
const MaxTenantName = 256

// CheckTenants validates the tenants of a batch and returns the first error.
//
// Tenants must be sorted by name, and no two of them may have the same key.
func CheckTenants(batch string, tenants []wire.Tenant) error {
	return checkTenants(batch, tenants, KeyHashSize)
}

// CheckEditTenants validates the tenants of an edit, whose keys are digests.
func CheckEditTenants(batch string, tenants []wire.Tenant) error {
	return checkTenants(batch, tenants, sha256.Size)
}

func checkTenants(batch string, tenants []wire.Tenant, keySize int) error {
	owners := make(map[string]string, len(tenants))
	for i := range tenants {
		t := &tenants[i]
		if i > 0 && tenants[i-1].Name >= t.Name {
			return fmt.Errorf("%w: batch %q: tenant %q is out of order or duplicated", ErrInvalid, batch, t.Name)
		}
		if err := checkTenant(t, keySize); err != nil {
			return fmt.Errorf("%w: batch %q: tenant %q: %v", ErrInvalid, batch, t.Name, err)
		}
		for _, key := range t.Keys {
			if owner, ok := owners[string(key)]; ok {
				return fmt.Errorf("%w: batch %q: tenants %q and %q have a key in common", ErrInvalid, batch, owner, t.Name)
			}
			owners[string(key)] = t.Name
		}
	}
	return nil
}

func checkTenant(t *wire.Tenant, keySize int) error {
	if err := CheckTenantName(t.Name); err != nil {
		return err
	}
	if t.Rank != nil && *t.Rank < 0 {
		return fmt.Errorf("rank %d is negative", *t.Rank)
	}
	if !isQuantity(t.Rate) {
		return fmt.Errorf("rate %v is not a number from 0", t.Rate)
	}
	if !isQuantity(t.Burst) {
		return fmt.Errorf("burst %v is not a number from 0", t.Burst)
	}
	for i, key := range t.Keys {
		if len(key) != keySize {
			return fmt.Errorf("key %d: hash has %d bytes, want %d", i, len(key), keySize)
		}
		if i > 0 && bytes.Compare(t.Keys[i-1], key) >= 0 {
			return fmt.Errorf("key %d is out of order or duplicated", i)
		}
	}
	return nil
}

// isQuantity reports whether x is a finite number from 0.
func isQuantity(x float64) bool {
	return x >= 0 && !math.IsInf(x, 0)
}

// CheckTenantName returns an error if name cannot be the value of a header field.
func CheckTenantName(name string) error {
	if name == "" {
		return errors.New("name is empty")
	}
	if len(name) > MaxTenantName {
		return fmt.Errorf("name has %d bytes, limit is %d", len(name), MaxTenantName)
	}
	if name[0] == ' ' || name[len(name)-1] == ' ' {
		return errors.New("name begins or ends with a space")
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] > '~' {
			return errors.New("name has a character other than printable ASCII")
		}
	}
	return nil
}

// checkSalt returns an error if a batch with tenants has no salt or does not require keys.
func checkSalt(batch wire.Batch) error {
	if len(batch.Tenants) == 0 {
		return nil
	}
	if len(batch.Salt) != SaltSize {
		return fmt.Errorf("%w: batch %q: salt has %d bytes, want %d", ErrInvalid, batch.Name, len(batch.Salt), SaltSize)
	}
	if !batch.Auth {
		return fmt.Errorf("%w: batch %q has tenants but does not call for keys", ErrInvalid, batch.Name)
	}
	return nil
}

// SortTenants sorts tenants by name in place and returns them.
func SortTenants(tenants []wire.Tenant) []wire.Tenant {
	slices.SortFunc(tenants, func(a, b wire.Tenant) int { return cmp.Compare(a.Name, b.Name) })
	return tenants
}

// SameTenant reports whether two tenants are equal apart from the version of their last change.
func SameTenant(a, b wire.Tenant) bool {
	sameRank := a.Rank == nil && b.Rank == nil || a.Rank != nil && b.Rank != nil && *a.Rank == *b.Rank
	return a.Name == b.Name && sameRank && a.Rate == b.Rate && a.Burst == b.Burst && slices.EqualFunc(a.Keys, b.Keys, bytes.Equal)
}

// tenantIndex finds tenants by name and by key. It is immutable.
type tenantIndex struct {
	byName map[string]*wire.Tenant
	byKey  map[[KeyHashSize]byte]*wire.Tenant
}

func newTenantIndex(tenants []wire.Tenant) tenantIndex {
	keyCount := 0
	for i := range tenants {
		keyCount += len(tenants[i].Keys)
	}
	index := tenantIndex{
		byName: make(map[string]*wire.Tenant, len(tenants)),
		byKey:  make(map[[KeyHashSize]byte]*wire.Tenant, keyCount),
	}
	for i := range tenants {
		index.byName[tenants[i].Name] = &tenants[i]
		for _, key := range tenants[i].Keys {
			index.byKey[[KeyHashSize]byte(key)] = &tenants[i]
		}
	}
	return index
}

// NeedsKey reports whether calls on routes that are not public need a key.
func (s *Snapshot) NeedsKey() bool {
	return s.batch.Auth
}

// Tenant returns the tenant with the given name.
func (s *Snapshot) Tenant(name string) (wire.Tenant, bool) {
	t, ok := s.tenants.byName[name]
	if !ok {
		return wire.Tenant{}, false
	}
	return *t, true
}

// TenantOfKey returns the tenant that has the given key.
func (s *Snapshot) TenantOfKey(key string) (wire.Tenant, bool) {
	if key == "" || len(key) > MaxKeySize || len(s.tenants.byKey) == 0 {
		return wire.Tenant{}, false
	}
	t, ok := s.tenants.byKey[hashKey(s.batch.Salt, key)]
	if !ok {
		return wire.Tenant{}, false
	}
	return *t, true
}
