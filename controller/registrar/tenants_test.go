package registrar_test

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/compiler"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// tenant returns a tenant as it is in an edit.
func tenant(name string, rate float64, keys ...string) wire.Tenant {
	t := wire.Tenant{Name: name, Rate: rate, Burst: rate}
	for _, key := range keys {
		t.Keys = append(t.Keys, compiler.DigestKey(key))
	}
	slices.SortFunc(t.Keys, bytes.Compare)
	return t
}

// editTenants returns an edit that lists tenants, with a new random salt like each text that an operator sends.
func editTenants(base uint64, tenants ...wire.Tenant) wire.Edit {
	e := edit("a", base, "x")
	e.Tenants, e.Auth, e.Salt = tenants, true, compiler.NewSalt()
	return e
}

// snapshotOf returns the snapshot that a daemon without one gets.
func snapshotOf(t is.T, r *registrar.Registrar) *compiler.Snapshot {
	frame, ok := r.View().Since("a", 0, true)
	if !ok {
		t.Fail()
		return nil
	}
	s, err := compiler.New(frame.Full.Batch, frame.Full.Sum)
	is.New(t).NoErr(err)
	return s
}

// assertOwner checks which tenant has a key; an empty name stands for none.
func assertOwner(t *testing.T, s *compiler.Snapshot, key, name string) {
	t.Helper()
	is := is.New(t)
	owner, ok := s.TenantOfKey(key)
	is.Equal(ok, name != "")
	is.Equal(owner.Name, name)
}

// TestSaltStays guards against a salt that changes with an edit, after which every delta would contain all tenants, and
// against a retry that is rejected because it has another random salt.
func TestSaltStays(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	first := editTenants(0, tenant("t", 1, "k"))
	assertResult(t, r.Apply(change("1", first)), "", 1)
	salt := snapshotOf(t, r).Batch().Salt
	is.Equal(salt, first.Salt)

	assertResult(t, r.Apply(change("1", editTenants(0, tenant("t", 1, "k")))), "", 1) // the retry has another salt
	assertResult(t, r.Apply(change("1", editTenants(0, tenant("t", 1, "other")))), presenter.CodeInvalid, 0)

	for i, e := range []wire.Edit{
		editTenants(1, tenant("t", 1, "k"), tenant("u", 2, "l")),
		edit("a", 2, "x"), // without tenants
		{Name: "a", Base: 3, Drop: true},
		editTenants(4, tenant("t", 1, "k")),
	} {
		assertResult(t, r.Apply(change(strconv.Itoa(i+2), e)), "", uint64(i+2))
		is.Equal(snapshotOf(t, r).Batch().Salt, salt)
	}
	assertOwner(t, snapshotOf(t, r), "k", "t")
	assertOwner(t, snapshotOf(t, r), "l", "")
}

// TestEmptyTenants guards against routes that are open to everyone because the last tenant was removed.
func TestEmptyTenants(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Apply(change("1", editTenants(0)))
	is.True(!snapshotOf(t, r).NeedsKey()) // never had tenants
	r.Apply(change("2", editTenants(1, tenant("t", 1, "k"))))
	is.True(snapshotOf(t, r).NeedsKey())
	r.Apply(change("3", editTenants(2)))
	is.True(snapshotOf(t, r).NeedsKey())
	assertOwner(t, snapshotOf(t, r), "k", "")
	r.Apply(change("4", edit("a", 3, "x"))) // the text no longer has a list of tenants
	is.True(!snapshotOf(t, r).NeedsKey())
}

// TestTenantDelta guards against daemons that keep a removed tenant or key, or get all tenants with every change.
func TestTenantDelta(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Apply(change("1", editTenants(0, tenant("t", 1, "k"), tenant("u", 2, "l", "m"), tenant("v", 3, "n"))))
	held := snapshotOf(t, r)
	r.Apply(change("2", editTenants(1, tenant("t", 1, "k"), tenant("u", 2, "m"))))
	frame, ok := r.View().Since("a", 1, false)
	is.True(ok)
	is.Equal(frame.Delta.RemovedTenants, []string{"v"})
	is.Equal(len(frame.Delta.ChangedTenants), 1)
	is.Equal(frame.Delta.ChangedTenants[0].Name, "u")
	merged, err := held.Merge(*frame.Delta)
	is.NoErr(err)
	assertOwner(t, merged, "k", "t")
	assertOwner(t, merged, "l", "")
	assertOwner(t, merged, "m", "u")
	assertOwner(t, merged, "n", "")
	_, ok = merged.Tenant("v")
	is.True(!ok)
}

// TestTenantDeltaMatchesFull guards against a delta from any version that gives other tenants than the full batch.
func TestTenantDeltaMatchesFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := registrar.New()
		held := map[uint64]*compiler.Snapshot{}
		for i := range rapid.IntRange(1, 10).Draw(t, "changes") {
			batch, _ := r.View().Batch("a")
			e := edit("a", batch.Version, "x")
			if e.Auth = rapid.Bool().Draw(t, "auth"); e.Auth {
				e.Salt = compiler.NewSalt()
				for _, name := range []string{"p", "q", "r", "s"} {
					if rapid.Bool().Draw(t, name) {
						key := name + strconv.Itoa(rapid.IntRange(1, 2).Draw(t, "key"))
						e.Tenants = append(e.Tenants, tenant(name, float64(rapid.IntRange(0, 2).Draw(t, "rate")), key))
					}
				}
			}
			if result := r.Apply(change(strconv.Itoa(i), e)); result.Code != "" {
				t.Fatalf("change refused: %s", result.Error)
			}
			data, err := r.Save()
			if err != nil || r.Restore(data) != nil {
				t.Fatalf("state not restored: %v", err)
			}
			full := snapshotOf(t, r)
			for version, old := range held {
				frame, ok := r.View().Since("a", version, false)
				if !ok || frame.Delta == nil {
					t.Fatalf("no delta from version %d", version)
				}
				if merged, err := old.Merge(*frame.Delta); err != nil || merged.Sum() != full.Sum() {
					t.Fatalf("delta from version %d: %v", version, err)
				}
			}
			held[full.Version()] = full
		}
	})
}

// TestTenantRefused guards against tenants that share a key or a name, and against an error that contains a key.
func TestTenantRefused(t *testing.T) {
	for name, tenants := range map[string][]wire.Tenant{
		"shared key":     {tenant("t", 1, "secret"), tenant("u", 1, "secret")},
		"same name":      {tenant("t", 1, "secret"), tenant("t", 1, "other")},
		"negative rate":  {tenant("t", -1, "secret")},
		"malformed hash": {{Name: "t", Keys: [][]byte{[]byte("secret")}}},
		"name":           {tenant("t\n", 1, "secret")},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New()
			result := r.Apply(change("1", editTenants(0, tenants...)))
			assertResult(t, result, presenter.CodeInvalid, 0)
			is.New(t).True(!strings.Contains(result.Error, "secret"))
		})
	}
	t.Run("no salt", func(t *testing.T) {
		e := editTenants(0, tenant("t", 1, "k"))
		e.Salt = nil
		assertResult(t, registrar.New().Apply(change("1", e)), presenter.CodeInvalid, 0)
	})
}

// TestOlderState guards against a state saved before tenants existed that cannot be loaded, or whose stored results no
// longer match a retry.
func TestOlderState(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	first := change("1", edit("a", 0, "x"))
	first.Change.Edits[0].Routes = []wire.Route{{Name: "r", Host: "h", Prefix: "/", Attempts: 1, Parts: []wire.Part{{Service: "x", Weight: 1}}}}
	r.Apply(first)
	r.Apply(change("2", edit("a", 1, "x")))
	saved, err := r.Save()
	is.NoErr(err)
	for _, added := range []string{"tenants", "salt", "auth", "public", "tenant"} {
		is.True(!bytes.Contains(saved, append([]byte{0x60 + byte(len(added))}, added...))) // no field that older processes do not know
	}
	restored := registrar.New()
	is.NoErr(restored.Restore(saved))
	assertResult(t, restored.Apply(first), "", 1)
}
