package authorizer_test

import (
	"bytes"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/authorizer"
)

// newSnapshot returns a configuration that calls for keys if it has a key.
func newSnapshot(t *testing.T, keys ...string) *compiler.Snapshot {
	t.Helper()
	batch := wire.Batch{Name: "m", Version: 1, Until: 1 << 50, Salt: compiler.NewSalt(), Auth: len(keys) > 0}
	for _, key := range keys {
		hash := compiler.HashDigest(batch.Salt, compiler.DigestKey(key))
		batch.Tenants = append(batch.Tenants, wire.Tenant{Name: "tenant of " + key, Keys: [][]byte{hash}})
	}
	sum, err := compiler.Checksum(batch)
	is.New(t).NoErr(err)
	s, err := compiler.New(batch, sum)
	is.New(t).NoErr(err)
	return s
}

func always() bool { return true }

func isPublic(public bool) func(*compiler.Snapshot) bool {
	return func(*compiler.Snapshot) bool { return public }
}

// TestParseKey guards against a key that is not found in the header, and against one of several that is picked by chance.
func TestParseKey(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		key    string
	}{
		{"key", []string{"Token abc"}, "abc"},
		{"other case", []string{"token abc"}, "abc"},
		{"spaces", []string{" Token  abc "}, "abc"},
		{"none", nil, ""},
		{"empty", []string{"Token "}, ""},
		{"no scheme", []string{"abc"}, ""},
		{"other scheme", []string{"Bearer abc"}, ""},
		{"two", []string{"Token abc", "Token abc"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(authorizer.ParseKey(c.values), c.key)
		})
	}
}

// TestAuthorize guards against calls that are sent without a key or without a proof, and against calls that are refused with
// a wrong reason.
func TestAuthorize(t *testing.T) {
	for _, c := range []struct {
		name           string
		keys           []string
		public, proven bool
		key            string
		err            error
		tenant         string
		dropKey        bool
		malformed      bool // the call has a key that is not well-formed
		noProofs       bool // the settings call for no proofs
	}{
		{name: "key", keys: []string{"k"}, proven: true, key: "k", tenant: "tenant of k", dropKey: true},
		{name: "no key", keys: []string{"k"}, proven: true, err: authorizer.ErrNoKey, dropKey: true},
		{name: "malformed key", keys: []string{"k"}, proven: true, malformed: true, err: authorizer.ErrNoKey, dropKey: true},
		{name: "unknown key", keys: []string{"k"}, proven: true, key: "l", err: authorizer.ErrUnknownKey, dropKey: true},
		{name: "key without proof", keys: []string{"k"}, key: "k", err: authorizer.ErrNoProof, dropKey: true},
		{name: "no key without proof", keys: []string{"k"}, err: authorizer.ErrNoProof, dropKey: true},
		{name: "unknown key without proof", keys: []string{"k"}, key: "l", err: authorizer.ErrNoProof, dropKey: true},
		{name: "key, no proofs needed", keys: []string{"k"}, noProofs: true, key: "k", tenant: "tenant of k", dropKey: true},
		{name: "public", keys: []string{"k"}, public: true, proven: true, key: "k", dropKey: true},
		{name: "public without key and proof", keys: []string{"k"}, public: true, dropKey: true},
		{name: "public without proof", keys: []string{"k"}, public: true, key: "k", err: authorizer.ErrNoProof, dropKey: true},
		{name: "public, malformed key without proof", keys: []string{"k"}, public: true, malformed: true, err: authorizer.ErrNoProof, dropKey: true},
		{name: "public, no proofs needed", keys: []string{"k"}, public: true, noProofs: true, key: "k", dropKey: true},
		{name: "no tenants", proven: true, key: "k", dropKey: true},
		{name: "no tenants, no key and no proof"},
		{name: "no tenants and no proof", key: "k", err: authorizer.ErrNoProof, dropKey: true},
		{name: "no tenants, malformed key and no proof", malformed: true, err: authorizer.ErrNoProof, dropKey: true},
		{name: "no tenants, no proofs needed", noProofs: true, key: "k"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSnapshot(t, c.keys...)
			a := authorizer.New(
				authorizer.WithSnapshot(func() *compiler.Snapshot { return s }),
				authorizer.WithProof(func() bool { return !c.noProofs }, func() bool { return c.proven }),
			)
			grant, err := a.Authorize(authorizer.Call{Key: c.key, HasKey: c.key != "" || c.malformed, IsPublic: isPublic(c.public)})
			is.Equal(err, c.err)
			is.Equal(grant.Tenant.Name, c.tenant)
			is.Equal(grant.DropKey, c.dropKey)
		})
	}
}

// TestHasKey guards against a key that is taken for the header of another scheme and passed on.
func TestHasKey(t *testing.T) {
	for _, c := range []struct {
		values []string
		has    bool
	}{
		{[]string{"Token abc"}, true},
		{[]string{"token\tabc"}, true},
		{[]string{" Token"}, true},
		{[]string{"Bearer a", "Token b"}, true},
		{[]string{"Bearer Token"}, false},
		{[]string{"Tokens abc"}, false},
		{[]string{""}, false},
		{nil, false},
	} {
		t.Run(strings.Join(c.values, ", "), func(t *testing.T) {
			is.New(t).Equal(authorizer.HasKey(c.values), c.has)
		})
	}
}

// TestDropKey guards against an upstream that gets a key because the configuration in force is older than the tenants.
func TestDropKey(t *testing.T) {
	for _, c := range []struct {
		name        string
		keys        []string
		needsProofs bool
		value, want string
	}{
		{"tenants", []string{"k"}, false, "Token k", ""},
		{"tenants, other scheme", []string{"k"}, false, "Bearer k", ""},
		{"no tenants", nil, false, "Token k", "Token k"},
		{"no tenants, keys are guarded", nil, true, "Token k", ""},
		{"no tenants, keys are guarded, other scheme", nil, true, "Bearer k", "Bearer k"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSnapshot(t, c.keys...)
			a := authorizer.New(
				authorizer.WithSnapshot(func() *compiler.Snapshot { return s }),
				authorizer.WithProof(func() bool { return c.needsProofs }, always),
			)
			header := http.Header{authorizer.HeaderKey: {c.value}}
			a.DropKey(header)
			is.New(t).Equal(header.Get(authorizer.HeaderKey), c.want)
		})
	}
}

// TestRenew guards against a call that is sent after its key was removed, or after the proof has ended, because it was
// authorized before.
func TestRenew(t *testing.T) {
	is := is.New(t)
	current, proven := newSnapshot(t, "k"), true
	a := authorizer.New(
		authorizer.WithSnapshot(func() *compiler.Snapshot { return current }),
		authorizer.WithProof(always, func() bool { return proven }),
	)
	c := authorizer.Call{Key: "k", HasKey: true, IsPublic: isPublic(false)}
	grant, err := a.Authorize(c)
	is.NoErr(err)
	again, err := a.Renew(c, grant)
	is.NoErr(err)
	is.Equal(again.Tenant.Name, "tenant of k")
	proven = false
	_, err = a.Renew(c, grant)
	is.Equal(err, authorizer.ErrNoProof)
	proven, current = true, newSnapshot(t, "l")
	_, err = a.Renew(c, grant)
	is.Equal(err, authorizer.ErrUnknownKey)
	current = newSnapshot(t)
	_, err = a.Renew(c, grant)
	is.NoErr(err)
}

// TestProofFirst guards against a key that is looked up in a snapshot which was read before the proof arrived, and which the
// proof does not cover.
func TestProofFirst(t *testing.T) {
	revoked, before := newSnapshot(t, "l"), newSnapshot(t, "k")
	current, proven := before, false
	a := authorizer.New(
		authorizer.WithSnapshot(func() *compiler.Snapshot {
			read := current
			current, proven = revoked, true // the update and its proof arrive right after
			return read
		}),
		authorizer.WithProof(always, func() bool { return proven }),
	)
	_, err := a.Authorize(authorizer.Call{Key: "k", HasKey: true, IsPublic: isPublic(false)})
	is.New(t).Equal(err, authorizer.ErrNoProof)
}

// TestReasons guards against refusals that `bluebellctl explain` does not recognize, because it compares the texts.
func TestReasons(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile("../../bluebellctl/explain.go")
	is.NoErr(err)
	for _, reason := range []error{authorizer.ErrNoKey, authorizer.ErrUnknownKey, authorizer.ErrNoProof} {
		is.True(strings.Contains(string(source), `case "`+reason.Error()+`":`))
	}
}

// TestProofLog guards against a log line for each refused call, and against logs that do not show when the proof was missing.
func TestProofLog(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s, proven := newSnapshot(t, "k"), true
	a := authorizer.New(
		authorizer.WithSnapshot(func() *compiler.Snapshot { return s }),
		authorizer.WithProof(always, func() bool { return proven }),
		authorizer.WithLogger(hclog.New(&hclog.LoggerOptions{Output: &out})),
	)
	for _, proven = range []bool{true, false, false, false, true, true} {
		_, _ = a.Authorize(authorizer.Call{Key: "k", HasKey: true, IsPublic: isPublic(false)})
	}
	is.Equal(strings.Count(out.String(), "\n"), 2)
	is.True(strings.Contains(out.String(), "configuration not proven"))
	is.True(strings.Contains(out.String(), "configuration proven again"))
}
