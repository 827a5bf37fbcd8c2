package registrar_test

import (
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/wire"
)

// TestDepartures guards against an acknowledged leave that the replicated state forgets: when another upstream of the VM leaves,
// when an older departure arrives later, and when the state is saved and restored.
func TestDepartures(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	leave := func(at int64, name, id string, start int64, seq uint64) {
		t.Helper()
		gone := wire.Departure{Upstream: wire.HashUpstream(id), Start: start, Seq: seq}
		result := r.Apply(wire.Command{At: at, Leave: &wire.Leave{Name: name, Gone: gone}})
		is.Equal(result.Verdict.State, wire.Recorded)
	}
	requireSeq := func(name, id string, want uint64) {
		t.Helper()
		got := uint64(0)
		for _, gone := range r.Departures(name) {
			if gone.Upstream == wire.HashUpstream(id) {
				is.Equal(got, uint64(0)) // one for each upstream
				got = gone.Seq
			}
		}
		is.Equal(got, want)
	}
	leave(1, "d1", "i", 10, 5)
	leave(2, "d1", "j", 20, wire.FinalSeq)
	leave(3, "d2", "i", 10, 9)
	leave(4, "d1", "i", 10, 4) // an older one that arrives later
	requireSeq("d1", "i", 5)
	requireSeq("d1", "j", wire.FinalSeq)
	requireSeq("d2", "i", 9)

	data, err := r.Save()
	is.NoErr(err)
	r = registrar.New()
	is.NoErr(r.Restore(data))
	requireSeq("d1", "i", 5)
	requireSeq("d1", "j", wire.FinalSeq)

	leave(4+registrar.DepartureRetention.Milliseconds(), "d1", "k", 30, 1)
	requireSeq("d1", "j", 0) // recorded more than the retention ago
	requireSeq("d1", "i", 5) // recorded again since
	requireSeq("d1", "k", 1)
}
