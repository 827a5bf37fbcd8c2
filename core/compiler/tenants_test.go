package compiler_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
)

var salt = bytes.Repeat([]byte{7}, compiler.SaltSize)

// tenant returns a tenant as it is in a batch.
func tenant(name string, keys ...string) wire.Tenant {
	t := wire.Tenant{Name: name, Rate: 10, Burst: 5, Mod: 1}
	for _, key := range keys {
		t.Keys = append(t.Keys, compiler.HashDigest(salt, compiler.DigestKey(key)))
	}
	slices.SortFunc(t.Keys, bytes.Compare)
	return t
}

func tenantBatch(version uint64, tenants ...wire.Tenant) wire.Batch {
	return wire.Batch{Name: "m", Version: version, Until: 1 << 50, Tenants: tenants, Salt: salt, Auth: true}
}

func tenantSnapshot(t testing.TB, version uint64, tenants ...wire.Tenant) *compiler.Snapshot {
	t.Helper()
	batch := tenantBatch(version, tenants...)
	sum, err := compiler.Checksum(batch)
	is.New(t).NoErr(err)
	s, err := compiler.New(batch, sum)
	is.New(t).NoErr(err)
	return s
}

// TestTenantOfKey guards against a key that finds another tenant or, after a change of salt or name, a tenant at all.
func TestTenantOfKey(t *testing.T) {
	s := tenantSnapshot(t, 1, tenant("t", "k", "l"), tenant("u", "m"), tenant("v"))
	for key, want := range map[string]string{"k": "t", "l": "t", "m": "u", "": "", "K": "", "kl": "", " k": ""} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			found, ok := s.TenantOfKey(key)
			is.Equal(ok, want != "")
			is.Equal(found.Name, want)
		})
	}
	t.Run("by name", func(t *testing.T) {
		is := is.New(t)
		found, ok := s.Tenant("u")
		is.True(ok)
		is.Equal(found, tenant("u", "m"))
		_, ok = s.Tenant("w")
		is.True(!ok)
	})
	t.Run("salt", func(t *testing.T) {
		other := compiler.HashDigest(bytes.Repeat([]byte{8}, compiler.SaltSize), compiler.DigestKey("k"))
		is.New(t).True(!bytes.Equal(other, tenant("t", "k").Keys[0]))
	})
}

// TestMergeTenants guards against merged snapshots, for which only changed tenants are processed, that differ from the
// snapshot built from the whole batch.
func TestMergeTenants(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 2))
	current := tenantSnapshot(t, 1)
	for version := uint64(2); version < 100; version++ {
		is := is.New(t)
		var tenants []wire.Tenant
		for i := range 20 {
			if r.IntN(3) > 0 {
				tenants = append(tenants, tenant(fmt.Sprintf("t%02d", i), fmt.Sprintf("k%d-%d", i, r.IntN(2))))
			}
		}
		next := tenantSnapshot(t, version, tenants...)
		delta := wire.Delta{From: version - 1, Version: version, Sum: next.Sum(), Until: 1 << 50, Salt: salt, Auth: true}
		for _, n := range tenants {
			if o, ok := current.Tenant(n.Name); !ok || !compiler.SameTenant(o, n) {
				delta.ChangedTenants = append(delta.ChangedTenants, n)
			}
		}
		slices.Reverse(delta.ChangedTenants)
		for _, o := range current.Batch().Tenants {
			if _, ok := next.Tenant(o.Name); !ok {
				delta.RemovedTenants = append(delta.RemovedTenants, o.Name)
			}
		}
		merged, err := current.Merge(delta)
		is.NoErr(err)
		for i := range 40 {
			key := fmt.Sprintf("k%d-%d", i/2, i%2)
			want, ok := next.TenantOfKey(key)
			got, found := merged.TenantOfKey(key)
			is.Equal(found, ok)
			is.Equal(got, want)
		}
		current = merged
	}
}

// TestTenantSumCovers guards against a field of a tenant or of its batch that is not part of the checksum, so that a wrong
// value on a daemon would go undetected.
func TestTenantSumCovers(t *testing.T) {
	sum := func(batch wire.Batch) uint64 {
		s, err := compiler.Checksum(batch)
		is.New(t).NoErr(err)
		return s
	}
	base := sum(tenantBatch(1, tenant("t", "k")))
	for i := range reflect.TypeFor[wire.Tenant]().NumField() {
		changed := tenant("t", "k")
		f := reflect.ValueOf(&changed).Elem().Field(i)
		switch f.Interface().(type) {
		case string:
			f.SetString(f.String() + "x")
		case float64:
			f.SetFloat(f.Float() + 1)
		case uint64:
			f.SetUint(f.Uint() + 1)
		case *int:
			f.Set(reflect.ValueOf(new(int)))
		case [][]byte:
			f.Set(reflect.ValueOf(tenant("t", "l").Keys))
		default:
			t.Fatalf("test cannot change a field of type %s", f.Type())
		}
		t.Run(reflect.TypeFor[wire.Tenant]().Field(i).Name, func(t *testing.T) {
			is.New(t).True(sum(tenantBatch(1, changed)) != base)
		})
	}
	for name, change := range map[string]func(*wire.Batch){
		"salt": func(b *wire.Batch) { b.Salt = bytes.Repeat([]byte{8}, compiler.SaltSize) },
		"auth": func(b *wire.Batch) { b.Auth = false },
		"none": func(b *wire.Batch) { b.Tenants = nil },
	} {
		t.Run(name, func(t *testing.T) {
			batch := tenantBatch(1, tenant("t", "k"))
			change(&batch)
			is.New(t).True(sum(batch) != base)
		})
	}
}

// TestTenantsRefused guards against a snapshot whose tenants share a key or whose keys nobody can have.
func TestTenantsRefused(t *testing.T) {
	for name, batch := range map[string]wire.Batch{
		"shared key": tenantBatch(1, tenant("t", "k"), tenant("u", "k")),
		"same name":  tenantBatch(1, tenant("t", "k"), tenant("t", "l")),
		"short hash": tenantBatch(1, wire.Tenant{Name: "t", Keys: [][]byte{{1}}}),
		"no salt":    {Name: "m", Version: 1, Tenants: []wire.Tenant{tenant("t", "k")}, Auth: true},
		"open":       {Name: "m", Version: 1, Tenants: []wire.Tenant{tenant("t", "k")}, Salt: salt},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sum, err := compiler.Checksum(batch)
			is.NoErr(err)
			_, err = compiler.New(batch, sum)
			is.True(errors.Is(err, compiler.ErrInvalid))
		})
	}
}

// BenchmarkTenantOfKey looks up keys of many tenants.
func BenchmarkTenantOfKey(b *testing.B) {
	for _, n := range []int{86, 10_000, 1_000_000} {
		tenants := make([]wire.Tenant, n)
		for i := range tenants {
			tenants[i] = tenant(fmt.Sprintf("t%07d", i), fmt.Sprintf("key-%d", i))
		}
		s := tenantSnapshot(b, 1, tenants...)
		keys := make([]string, 1<<10)
		r := rand.New(rand.NewPCG(1, 1))
		for i := range keys {
			keys[i] = fmt.Sprintf("key-%d", r.IntN(n))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, ok := s.TenantOfKey(keys[i%len(keys)]); !ok {
					b.Fatal("key not found")
				}
				i++
			}
		})
	}
}

// TestParseTenants guards against losing a field of a tenant, and against accepting malformed tenants.
func TestParseTenants(t *testing.T) {
	parse := func(tenants string) (wire.Edit, error) {
		text := `{"batches": {"m": {"until": "2100-01-01T00:00:00Z", "services": {"a": {}},
			"routes": {"r": {"host": "h", "prefix": "/", "parts": {"a": 1}, "public": true}}, "tenants": ` + tenants + `}}}`
		edits, err := compiler.Parse([]byte(text), now)
		if err != nil {
			return wire.Edit{}, err
		}
		return edits[0], nil
	}
	t.Run("all fields", func(t *testing.T) {
		is := is.New(t)
		edit, err := parse(`{"u": {}, "t": {"keys": ["k", "k"], "rank": 1, "rate": 250, "burst": 30}}`)
		is.NoErr(err)
		is.True(edit.Auth)
		is.Equal(len(edit.Salt), compiler.SaltSize)
		is.True(edit.Routes[0].Public)
		rank := 1
		is.Equal(edit.Tenants, []wire.Tenant{
			{Name: "t", Keys: [][]byte{compiler.DigestKey("k")}, Rank: &rank, Rate: 250, Burst: 30}, {Name: "u"},
		})
	})
	t.Run("none", func(t *testing.T) {
		is := is.New(t)
		edit, err := parse(`null`)
		is.NoErr(err)
		is.True(!edit.Auth)
		edit, err = parse(`{}`)
		is.NoErr(err)
		is.True(edit.Auth)
	})
	for name, tenants := range map[string]string{
		"shared key":    `{"t": {"keys": ["secret"]}, "u": {"keys": ["secret"]}}`,
		"empty key":     `{"t": {"keys": [""]}}`,
		"space in key":  `{"t": {"keys": ["secret 1"]}}`,
		"negative rate": `{"t": {"keys": ["secret"], "rate": -1}}`,
		"negative rank": `{"t": {"keys": ["secret"], "rank": -1}}`,
		"unknown field": `{"t": {"keys": ["secret"], "speed": 1}}`,
		"name":          `{" t": {"keys": ["secret"]}}`,
		"bare key":      `{"t": {"keys": [secret]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(tenants)
			is.True(errors.Is(err, compiler.ErrInvalid))
			is.True(!bytes.Contains([]byte(err.Error()), []byte("secret")))
		})
	}
}
