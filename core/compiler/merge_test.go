package compiler_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
)

// TestMergeRandom guards against merged snapshots, for which only changed routes are processed, that differ from the
// snapshot built from the whole batch.
func TestMergeRandom(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 1))
	current := newSnapshot(t, 1)
	for version := uint64(2); version < 200; version++ {
		next := newSnapshot(t, version, randomRoutes(r)...)
		merged, err := current.Merge(deltaTo(current.Batch(), next))
		is := is.New(t)
		is.NoErr(err)
		is.True(slices.EqualFunc(merged.Batch().Routes, next.Batch().Routes, compiler.SameRoute))
		for i := range 30 {
			path := fmt.Sprint("/", i, "/x")
			want, ok := next.Route("h", path)
			got, found := merged.Route("h", path)
			is.Equal(found, ok)
			is.True(!ok || reflect.DeepEqual(*got, *want))
		}
		current = merged
	}
}

// randomRoutes returns a random subset of thirty routes, sorted by name, each with one of two ranks.
func randomRoutes(r *rand.Rand) []wire.Route {
	var routes []wire.Route
	for i := range 30 {
		if r.IntN(3) > 0 {
			rank := r.IntN(2)
			routes = append(routes, route(fmt.Sprintf("r%02d", i), "h", fmt.Sprintf("/%d/", i), func(r *wire.Route) { r.Rank = rank }))
		}
	}
	return routes
}

// deltaTo returns the delta from batch current to snapshot next, with its routes not sorted by name.
func deltaTo(current wire.Batch, next *compiler.Snapshot) wire.Delta {
	batch := next.Batch()
	delta := wire.Delta{From: current.Version, Version: batch.Version, Sum: next.Sum(), Until: batch.Until}
	for _, r := range batch.Routes {
		if !slices.ContainsFunc(current.Routes, func(o wire.Route) bool { return reflect.DeepEqual(o, r) }) {
			delta.ChangedRoutes = append(delta.ChangedRoutes, r)
		}
	}
	slices.Reverse(delta.ChangedRoutes)
	for _, o := range current.Routes {
		if !slices.ContainsFunc(batch.Routes, func(r wire.Route) bool { return r.Name == o.Name }) {
			delta.RemovedRoutes = append(delta.RemovedRoutes, o.Name)
		}
	}
	return delta
}

// TestMergeRefuses guards against accepting a delta that removes the service of a route or contains an invalid route.
func TestMergeRefuses(t *testing.T) {
	current := newSnapshot(t, 1, route("r", "h", "/r/"), route("s", "h", "/s/", func(r *wire.Route) { r.Parts[0].Service = "b" }))
	for name, delta := range map[string]wire.Delta{
		"dropped service": {RemovedServices: []string{"b"}},
		"unknown service": {ChangedRoutes: []wire.Route{route("t", "h", "/t/", func(r *wire.Route) { r.Parts[0].Service = "c" })}},
		"duplicate route": {ChangedRoutes: []wire.Route{route("t", "h", "/t/"), route("t", "h", "/t/")}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			delta.From, delta.Version, delta.Until = 1, 2, current.Batch().Until
			batch := current.Batch()
			batch.Version = 2
			batch.Routes = append(slices.Clone(batch.Routes), delta.ChangedRoutes...)
			batch.Services = slices.DeleteFunc(slices.Clone(batch.Services), func(s wire.Service) bool { return slices.Contains(delta.RemovedServices, s.Name) })
			var err error
			delta.Sum, err = compiler.Checksum(batch)
			is.NoErr(err)
			_, err = current.Merge(delta)
			is.True(errors.Is(err, compiler.ErrInvalid))
		})
	}
}

// TestSumCovers guards against a route field that is not part of the checksum, so that a wrong value on a daemon would go
// undetected.
func TestSumCovers(t *testing.T) {
	base := route("r", "h", "/")
	sum := func(r wire.Route) uint64 {
		s, err := compiler.Checksum(wire.Batch{Name: "m", Routes: []wire.Route{r}})
		is.New(t).NoErr(err)
		return s
	}
	for i := range reflect.TypeFor[wire.Route]().NumField() {
		changed := base
		f := reflect.ValueOf(&changed).Elem().Field(i)
		switch f.Interface().(type) {
		case string:
			f.SetString(f.String() + "x")
		case bool:
			f.SetBool(!f.Bool())
		case int, time.Duration:
			f.SetInt(f.Int() + 1)
		case uint64:
			f.SetUint(f.Uint() + 1)
		case []wire.Part:
			f.Set(reflect.ValueOf([]wire.Part{{Service: "a", Weight: 2}}))
		default:
			t.Fatalf("test cannot change a field of type %s", f.Type())
		}
		t.Run(reflect.TypeFor[wire.Route]().Field(i).Name, func(t *testing.T) {
			is.New(t).True(sum(changed) != sum(base))
		})
	}
}

// BenchmarkMerge merges a delta that changes one of 1,700 routes.
func BenchmarkMerge(b *testing.B) {
	var routes []wire.Route
	for i := range 1700 {
		routes = append(routes, route(fmt.Sprintf("r-%05d", i), fmt.Sprint("h", i%7), fmt.Sprintf("/%d/", i)))
	}
	current := newSnapshot(b, 1, slices.Clone(routes)...)
	routes[5].Rank++
	delta := deltaTo(current.Batch(), newSnapshot(b, 2, routes...))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := current.Merge(delta); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkNew compiles a whole snapshot of 1,700 routes, as a daemon does with one that is not a delta.
func BenchmarkNew(b *testing.B) {
	var routes []wire.Route
	for i := range 1700 {
		routes = append(routes, route(fmt.Sprintf("r-%05d", i), fmt.Sprint("h", i%7), fmt.Sprintf("/%d/", i)))
	}
	current := newSnapshot(b, 1, routes...)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := compiler.New(current.Batch(), current.Sum()); err != nil {
			b.Fatal(err)
		}
	}
}
