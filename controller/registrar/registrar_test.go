package registrar_test

import (
	"bytes"
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/keyer"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func services(names ...string) []wire.Service {
	var all []wire.Service
	for _, name := range names {
		all = append(all, wire.Service{Name: name, Class: compiler.Normal, Limit: time.Second})
	}
	return all
}

func edit(name string, base uint64, names ...string) wire.Edit {
	return wire.Edit{Name: name, Base: base, Until: start.Add(time.Hour).UnixMilli(), Services: services(names...)}
}

func change(id string, edits ...wire.Edit) wire.Command {
	return wire.Command{At: start.UnixMilli(), Change: &wire.Change{ID: id, Edits: edits}}
}

func assertResult(t *testing.T, got wire.Result, code string, version uint64) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.Code, code)
	is.Equal(got.Version, version)
}

// TestChange guards against lost updates, changes that are applied twice and changes that are applied in part.
func TestChange(t *testing.T) {
	steps := []struct {
		name    string
		cmd     wire.Command
		code    string
		version uint64
	}{
		{"first", change("1", edit("a", 0, "x", "y")), "", 1},
		{"retry after a lost response", change("1", edit("a", 0, "x", "y")), "", 1},
		{"same ID with other edits", change("1", edit("a", 0, "x")), presenter.CodeInvalid, 0},
		{"concurrent change of the same version", change("2", edit("a", 0, "z")), presenter.CodeConflict, 1},
		{"second batch", change("3", edit("b", 0, "x")), "", 2},
		{"one edit of two is based on an old version", change("4", edit("a", 1, "x"), edit("b", 1, "x")), presenter.CodeConflict, 2},
		{"retry of the conflicting change with the right base", change("4", edit("a", 1, "x"), edit("b", 2, "x")), "", 3},
		{"drop of a missing batch", change("5", wire.Edit{Name: "c", Drop: true}), presenter.CodeMissing, 0},
		{"drop", change("6", wire.Edit{Name: "b", Base: 3, Drop: true}), "", 4},
		{"drop again", change("7", wire.Edit{Name: "b", Base: 4, Drop: true}), presenter.CodeMissing, 0},
		{"batch edited twice", change("8", edit("a", 3, "x"), edit("a", 3, "y")), presenter.CodeConflict, 5},
		{"unsorted services", change("9", edit("a", 3, "y", "x")), presenter.CodeInvalid, 0},
	}
	r := registrar.New()
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			before, _ := r.Save()
			result := r.Apply(step.cmd)
			assertResult(t, result, step.code, step.version)
			if step.code != "" {
				after, _ := r.Save()
				is.New(t).Equal(before, after) // a rejected change does not modify the state
			}
		})
	}
}

// TestSharedService guards against two daemons that treat calls to the same upstream differently.
func TestSharedService(t *testing.T) {
	r := registrar.New()
	assertResult(t, r.Apply(change("1", edit("a", 0, "x"))), "", 1)
	other := edit("b", 0, "x")
	other.Services[0].Once = true
	assertResult(t, r.Apply(change("2", other)), presenter.CodeInvalid, 0)
}

// TestExpire guards against services that stay in force after their contract has ended, and against a late renewal that
// is accepted because the clock went back.
func TestExpire(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Apply(change("1", edit("a", 0, "x")))
	beforeExpiry := r.Apply(wire.Command{At: start.Add(59 * time.Minute).UnixMilli(), Expire: true})
	assertResult(t, beforeExpiry, "", 1)
	atExpiry := r.Apply(wire.Command{At: start.Add(time.Hour).UnixMilli(), Expire: true})
	assertResult(t, atExpiry, "", 2)
	batch, _ := r.View().Batch("a")
	is.True(batch.Lapsed)
	is.Equal(len(batch.Services), 0)
	renewal := r.Apply(change("2", edit("a", 2, "x")))
	assertResult(t, renewal, presenter.CodeInvalid, 0) // the clock of the log does not go back
}

// TestSinceMatchesFull guards against a delta from any version that gives another state than the full batch.
func TestSinceMatchesFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := registrar.New()
		held := map[uint64]*compiler.Snapshot{}
		names := []string{"p", "q", "r", "s"}
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			batch, _ := r.View().Batch("a")
			var chosen []string
			for _, name := range names {
				if rapid.Bool().Draw(t, name) {
					chosen = append(chosen, name)
				}
			}
			e := edit("a", batch.Version, chosen...)
			for j := range e.Services {
				e.Services[j].Limit = time.Duration(rapid.IntRange(1, 2).Draw(t, "limit")) * time.Second
			}
			if result := r.Apply(change(strconv.Itoa(i), e)); result.Code != "" {
				t.Fatalf("change refused: %s", result.Error)
			}
			data, err := r.Save()
			if err != nil || r.Restore(data) != nil {
				t.Fatalf("state not restored: %v", err)
			}
			frame, _ := r.View().Since("a", 0, true)
			full, err := compiler.New(frame.Full.Batch, frame.Full.Sum)
			if err != nil {
				t.Fatal(err)
			}
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

// TestStaleView guards against a controller that is behind and sends an older version to a daemon.
func TestStaleView(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Apply(change("1", edit("a", 0, "x")))
	_, ok := r.View().Since("a", 1, true)
	is.True(!ok)
	_, ok = r.View().Since("a", 7, true)
	is.True(!ok)
}

// TestLargeState guards against a state that can be saved but is too large to be restored.
func TestLargeState(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	for range 17 << 10 {
		c := wire.Claim{Service: "pay", Key: uuid.Must(uuid.NewV7()).String(), Attempt: "1", Body: make([]byte, 1<<10)}
		r.Apply(wire.Command{At: time.Now().UnixMilli(), Claim: &c})
	}
	saved, err := r.Save()
	is.NoErr(err)
	is.True(len(saved) > encoder.MaxMessage)
	restored := registrar.New()
	is.NoErr(restored.Restore(saved))
	again, err := restored.Save()
	is.NoErr(err)
	is.True(bytes.Equal(saved, again))
}

func keyAt(at time.Time, n byte) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id.String()
}

// TestClaim guards against a call that runs twice, and against a key that stays blocked after a release.
func TestClaim(t *testing.T) {
	key := keyAt(start, 1)
	claim := func(attempt string, digest uint64) wire.Command {
		return wire.Command{At: start.UnixMilli(), Claim: &wire.Claim{Service: "pay", Key: key, Attempt: attempt, Digest: digest}}
	}
	release := func(attempt string) wire.Command {
		return wire.Command{At: start.UnixMilli(), Release: &wire.Claim{Service: "pay", Key: key, Attempt: attempt, Digest: 1}}
	}
	finish := func(attempt string) wire.Command {
		return wire.Command{At: start.UnixMilli(), Finish: &wire.Claim{Service: "pay", Key: key, Attempt: attempt, Status: 200}}
	}
	at := func(cmd wire.Command, age time.Duration) wire.Command {
		cmd.At = start.Add(age).UnixMilli()
		return cmd
	}
	steps := []struct {
		name  string
		cmd   wire.Command
		state string
	}{
		{"release before the claim arrives", release("1"), wire.Released},
		{"claim that was released", claim("1", 1), wire.Released},
		{"next attempt", claim("2", 1), wire.Granted},
		{"retry of the same attempt", claim("2", 1), wire.Granted},
		{"late claim of the released attempt", claim("1", 1), wire.Released},
		{"late release of the released attempt", release("1"), wire.Running},
		{"release of the second attempt", release("2"), wire.Released},
		{"late claim of the first attempt after two releases", claim("1", 1), wire.Released},
		{"third attempt", claim("4", 1), wire.Granted},
		{"another attempt", claim("3", 1), wire.Running},
		{"same key for another request", claim("3", 2), wire.Mismatch},
		{"finish by another attempt", finish("3"), wire.Running},
		{"finish", finish("4"), wire.Done},
		{"release after finish", release("4"), wire.Done},
		{"claim after finish", claim("3", 1), wire.Done},
		{"claim just before the key is too old", at(claim("3", 1), keyer.MaxAge), wire.Done},
		{"key too old", at(claim("3", 1), keyer.MaxAge+time.Second), wire.Expired},
		{"new leader with a clock that is behind", claim("3", 1), wire.Expired},
		{"after the record was pruned", at(claim("3", 1), 2*keyer.Retention), wire.Expired},
	}
	r := registrar.New()
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			result := r.Apply(step.cmd)
			is.New(t).Equal(result.Verdict.State, step.state)
		})
	}
}

func TestMain(m *testing.M) {
	// A fixed seed gives the same cases in every run.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
