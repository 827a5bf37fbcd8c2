package registrar_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/compiler"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// revise returns a change from one revision, the operator's own version number, to the next.
func revise(id string, before, revision uint64, routes ...string) wire.Command {
	edit := wire.Edit{
		Name: "m", Until: 1 << 50, Before: before, Revision: revision, Source: []byte(id),
		Services: []wire.Service{{Name: "a", Class: compiler.Normal, Limit: time.Second}},
	}
	for _, name := range routes {
		edit.Routes = append(edit.Routes, wire.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Attempts: 1, Parts: []wire.Part{{Service: "a", Weight: 1}},
		})
	}
	return wire.Command{At: 1, Change: &wire.Change{ID: id, Edits: []wire.Edit{edit}}}
}

// TestRevision guards against two changes based on the same revision, a revision that goes back, and an accepted change
// that is rejected when it is retried.
func TestRevision(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	is.Equal(r.Apply(revise("one", 0, 5, "r")).Code, "")
	is.Equal(r.Apply(revise("two", 5, 7, "r", "s")).Code, "")
	is.Equal(r.Apply(revise("rival", 5, 8, "t")).Code, presenter.CodeConflict)
	is.Equal(r.Apply(revise("same number", 7, 7, "t")).Code, presenter.CodeInvalid)
	is.Equal(r.Apply(revise("back", 7, 6, "t")).Code, presenter.CodeInvalid)
	again := r.Apply(revise("one", 0, 5, "r"))
	is.Equal(again.Code, "") // accepted before, although a newer revision is in force
	is.Equal(again.Version, uint64(1))
	is.Equal(string(r.View().Source("m")), "two")
}

// TestWithoutRevision guards against a change without a revision that drops the routes of a batch that is managed by
// revision.
func TestWithoutRevision(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Apply(revise("one", 0, 5, "r"))
	plain := revise("plain", 0, 0)
	plain.Change.Edits[0].Base = 1
	is.Equal(r.Apply(plain).Code, presenter.CodeInvalid)
	dropped := wire.Command{At: 1, Change: &wire.Change{ID: "drop", Edits: []wire.Edit{{Name: "m", Base: 1, Drop: true}}}}
	is.Equal(r.Apply(dropped).Code, presenter.CodeInvalid)
	batch, ok := r.View().Batch("m")
	is.True(ok)
	is.Equal(len(batch.Routes), 1)
}

// TestRouteDelta guards against daemons that keep a removed route, or get all routes with every change.
func TestRouteDelta(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Apply(revise("one", 0, 1, "r", "s"))
	r.Apply(revise("two", 1, 2, "s", "t"))
	frame, ok := r.View().Since("m", 1, false)
	is.True(ok)
	is.Equal(frame.Delta.RemovedRoutes, []string{"r"})
	is.Equal(len(frame.Delta.ChangedRoutes), 1)
	is.Equal(frame.Delta.ChangedRoutes[0].Name, "t")
	full, ok := r.View().Since("m", 0, false)
	is.True(ok)
	is.Equal(full.Full.Batch.Source, nil) // the operator's text stays on the controllers
	held, err := compiler.New(full.Full.Batch, full.Full.Sum)
	is.NoErr(err)
	is.Equal(held.Batch().Revision, uint64(2))
}
