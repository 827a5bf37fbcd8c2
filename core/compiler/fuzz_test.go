package compiler_test

import (
	"bytes"
	"math"
	"slices"
	"testing"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// FuzzParse guards against texts that Parse accepts although no snapshot can be made from them.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"batches": {"a": {"until": "2100-01-01T00:00:00Z", "services": {"x": {"needs": ["y"]}, "y": {}}}}}`))
	f.Add([]byte(`{"drop": {"a": {"base": 3}}}`))
	f.Add([]byte(`{"batches": {"a": {"until": "2100-01-01T00:00:00Z", /* c */ "services": {"x": {"limit": "1ns",},},},}}`))
	f.Add([]byte(`{"batches": {}}`))
	f.Add([]byte(`{`))
	f.Add([]byte(`{"batches": {"a": {"until": "2100-01-01T00:00:00Z", "tenants": {"t": {"keys": ["k", "l"], "rank": 1, "rate": 2.5}, "u": {}}}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		edits, err := compiler.Parse(text, now)
		if err != nil {
			return
		}
		for _, e := range edits {
			if e.Drop {
				continue
			}
			batch := wire.Batch{Name: e.Name, Version: 1, Until: e.Until, Services: e.Services, Salt: e.Salt, Auth: e.Auth}
			for _, tenant := range e.Tenants {
				batch.Tenants = append(batch.Tenants, hashedTenant(e.Salt, tenant))
			}
			sum, err := compiler.Checksum(batch)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := compiler.New(batch, sum); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// hashedTenant returns the tenant of an edit as it is in a batch.
func hashedTenant(salt []byte, t wire.Tenant) wire.Tenant {
	var hashes [][]byte
	for _, digest := range t.Keys {
		hashes = append(hashes, compiler.HashDigest(salt, digest))
	}
	slices.SortFunc(hashes, bytes.Compare)
	t.Keys = hashes
	return t
}

// FuzzSnapshot guards against a frame that crashes a daemon, and against a snapshot whose tenants cannot be found by their keys.
func FuzzSnapshot(f *testing.F) {
	for _, batch := range []wire.Batch{
		tenantBatch(1, tenant("t", "k"), tenant("u", "l", "m")),
		tenantBatch(1, wire.Tenant{Name: "t", Keys: [][]byte{{1}}}),
		{Name: "m", Version: 1, Tenants: []wire.Tenant{{Name: "t", Rate: math.NaN()}}},
	} {
		data, err := encoder.Marshal(batch)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch wire.Batch
		if encoder.Unmarshal(data, &batch) != nil {
			return
		}
		sum, err := compiler.Checksum(batch)
		if err != nil {
			t.Fatal(err)
		}
		s, err := compiler.New(batch, sum)
		if err != nil {
			return
		}
		for _, want := range batch.Tenants {
			if got, ok := s.Tenant(want.Name); !ok || !compiler.SameTenant(got, want) {
				t.Fatalf("tenant %q is not found by its name", want.Name)
			}
		}
		s.TenantOfKey("k")
		delta := wire.Delta{From: batch.Version, Version: batch.Version + 1, Salt: batch.Salt, Auth: batch.Auth, ChangedTenants: batch.Tenants}
		_, _ = s.Merge(delta) // only its checksum is wrong
	})
}
