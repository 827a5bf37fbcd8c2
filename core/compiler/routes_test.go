package compiler_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
)

var testServices = []wire.Service{{Name: "a", Class: compiler.Normal, Limit: time.Second}, {Name: "b", Class: compiler.Normal, Limit: time.Second}}

func route(name, host, prefix string, change ...func(*wire.Route)) wire.Route {
	r := wire.Route{Name: name, Host: host, Prefix: prefix, Attempts: 1, Parts: []wire.Part{{Service: "a", Weight: 1}}}
	for _, f := range change {
		f(&r)
	}
	return r
}

// TestCheckRoutes guards against accepting invalid routes.
func TestCheckRoutes(t *testing.T) {
	cases := []struct {
		name, want string
		change     func(*wire.Route)
	}{
		{"no host", "host is empty", func(r *wire.Route) { r.Host = "" }},
		{"prefix without slash", "does not begin with a slash", func(r *wire.Route) { r.Prefix = "x/" }},
		{"long timeout", "timeout", func(r *wire.Route) { r.Timeout = compiler.MaxTimeout + 1 }},
		{"unknown service", `"c" is not in the batch`, func(r *wire.Route) { r.Parts = []wire.Part{{Service: "c", Weight: 1}} }},
		{"no weight", "no part has a weight", func(r *wire.Route) { r.Parts = []wire.Part{{Service: "a"}} }},
		{"no parts", "no part has a weight", func(r *wire.Route) { r.Parts = nil }},
		{"negative weight", "negative", func(r *wire.Route) { r.Parts = []wire.Part{{Service: "a", Weight: -1}} }},
		{"no attempts", "attempts 0", func(r *wire.Route) { r.Attempts = 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := compiler.CheckRoutes("m", []wire.Route{route("r", "h", "/", c.change)}, testServices)
			is.True(errors.Is(err, compiler.ErrInvalid))
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
	t.Run("large weights", func(t *testing.T) { // TestLargeWeights of the dispatcher splits calls by them
		large := func(r *wire.Route) {
			r.Parts = []wire.Part{{Service: "a", Weight: 1 << 62}, {Service: "b", Weight: 1 << 62}, {Service: "a", Weight: 1 << 62}, {Service: "b", Weight: 1 << 62}}
		}
		is.New(t).NoErr(compiler.CheckRoutes("m", []wire.Route{route("r", "h", "/", large)}, testServices))
	})
	t.Run("same host and prefix", func(t *testing.T) {
		err := compiler.CheckRoutes("m", []wire.Route{route("r", "h", "/x/"), route("s", "H", "/x/")}, testServices)
		is.New(t).True(errors.Is(err, compiler.ErrInvalid))
	})
}

// TestRoute guards against calls that match a shorter prefix or the route of another host.
func TestRoute(t *testing.T) {
	snapshot := newSnapshot(t, 1, route("r", "h", "/"), route("s", "h", "/a/"), route("t", "h", "/a/b/"), route("u", "other", "/"))
	for path, want := range map[string]string{"/": "r", "/a": "r", "/a/": "s", "/a/x": "s", "/a/b/c/": "t"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			found, ok := snapshot.Route("H", path)
			is.True(ok)
			is.Equal(found.Name, want)
		})
	}
	_, ok := snapshot.Route("none", "/")
	is.New(t).True(!ok)
}

// TestMergeRoutes guards against a merge that keeps a removed route.
func TestMergeRoutes(t *testing.T) {
	is := is.New(t)
	old := newSnapshot(t, 1, route("r", "h", "/r/"), route("s", "h", "/s/"))
	next := newSnapshot(t, 2, route("s", "h", "/s/", func(r *wire.Route) { r.Rank = 3 }), route("t", "h", "/t/"))
	batch := next.Batch()
	merged, err := old.Merge(wire.Delta{
		From: 1, Version: 2, Sum: next.Sum(), Until: batch.Until, ChangedRoutes: batch.Routes, RemovedRoutes: []string{"r"},
	})
	is.NoErr(err)
	is.Equal(merged.Batch().Routes, batch.Routes)
	_, ok := merged.Route("h", "/r/")
	is.True(!ok)
	_, err = old.Merge(wire.Delta{From: 1, Version: 2, Sum: next.Sum(), Until: batch.Until, ChangedRoutes: batch.Routes})
	is.True(errors.Is(err, compiler.ErrInvalid)) // the checksum detects the missing removal
}

func newSnapshot(t testing.TB, version uint64, routes ...wire.Route) *compiler.Snapshot {
	t.Helper()
	batch := wire.Batch{Name: "m", Version: version, Until: 1 << 50, Services: testServices, Routes: routes}
	sum, err := compiler.Checksum(batch)
	if err != nil {
		t.Fatal(err)
	}
	s, err := compiler.New(batch, sum)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestParseRoutes guards against losing a field of a route, and against accepting invalid routes and bounds.
func TestParseRoutes(t *testing.T) {
	text := func(route string) []byte {
		return []byte(`{"batches": {"m": {"base": 0, "until": "2100-01-01T00:00:00Z", "services": {"a": {"conns": 7}, "b": {}},
			"routes": {"r": ` + route + `}, "bounds": {"header": 1024, "body": 2048, "wait": "3s", "idle": "15s"}}}}`)
	}
	const completeRoute = `{"host": "h", "prefix": "/r/", "parts": {"a": 90, "b": 10}, "repeat": true, "timeout": "1s", "target": "300ms",
		"rank": 2, "attempts": 2}`
	t.Run("whole", func(t *testing.T) {
		is := is.New(t)
		edits, err := compiler.Parse(text(completeRoute), now)
		is.NoErr(err)
		is.Equal(edits[0].Services[0].Conns, 7)
		is.Equal(*edits[0].Bounds, wire.Bounds{Header: 1024, Body: 2048, Wait: 3 * time.Second, Idle: 15 * time.Second})
		is.Equal(edits[0].Routes, []wire.Route{{
			Name: "r", Host: "h", Prefix: "/r/", Retryable: true, Timeout: time.Second, Target: 300 * time.Millisecond, Rank: 2,
			Attempts: 2, Parts: []wire.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
		}})
	})
	for name, change := range map[string][2]string{
		"unknown service": {`"b": 10`, `"c": 10`},
		"no host":         {`"host": "h"`, `"host": ""`},
		"timeout":         {`"1s"`, `"soon"`},
		"unknown field":   {`"rank"`, `"order"`},
		"bounds":          {`"3s"`, `"0s"`},
	} {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(string(text(completeRoute)), change[0], change[1], 1)
			_, err := compiler.Parse([]byte(changed), now)
			is := is.New(t)
			is.True(errors.Is(err, compiler.ErrInvalid))
		})
	}
}
