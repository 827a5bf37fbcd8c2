package registrar

import (
	"bytes"
	"fmt"
	"slices"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
)

// checkTenants validates the tenants of an edit.
func checkTenants(e wire.Edit, old wire.Batch) error {
	if err := compiler.CheckEditTenants(e.Name, e.Tenants); err != nil {
		return err
	}
	if len(e.Tenants) > 0 && len(old.Salt) == 0 && len(e.Salt) != compiler.SaltSize {
		return fmt.Errorf("batch %q: edit with tenants has a salt of %d bytes, want %d", e.Name, len(e.Salt), compiler.SaltSize)
	}
	return nil
}

// editedSalt returns the salt of a batch after e. A salt never changes, or every delta would contain all tenants.
func editedSalt(e wire.Edit, old wire.Batch) []byte {
	if len(old.Salt) == 0 && len(e.Tenants) > 0 {
		return e.Salt
	}
	return old.Salt
}

// editedAuth reports whether a batch requires keys after e. An empty list of tenants does not end the requirement: the
// removal of the last tenant must not open the routes to everyone.
func editedAuth(e wire.Edit, old wire.Batch) bool {
	return len(e.Tenants) > 0 || e.Auth && old.Auth
}

// editedTenants returns the tenants of an edit with the hashes of their keys. Tenants that do not change keep the version of
// their last change.
func editedTenants(e wire.Edit, old wire.Batch, salt []byte, version uint64) []wire.Tenant {
	before := make(map[string]*wire.Tenant, len(old.Tenants))
	for i := range old.Tenants {
		before[old.Tenants[i].Name] = &old.Tenants[i]
	}
	next := make([]wire.Tenant, 0, len(e.Tenants))
	for _, t := range e.Tenants {
		t.Keys = hashKeys(salt, t.Keys)
		t.Mod = version
		if b, ok := before[t.Name]; ok && compiler.SameTenant(*b, t) {
			t.Mod = b.Mod
		}
		next = append(next, t)
	}
	return next
}

// hashKeys returns the sorted hashes of keys, given by their digests.
func hashKeys(salt []byte, digests [][]byte) [][]byte {
	hashes := make([][]byte, 0, len(digests))
	for _, digest := range digests {
		hashes = append(hashes, compiler.HashDigest(salt, digest))
	}
	slices.SortFunc(hashes, bytes.Compare)
	return hashes
}
