package distributor_test

import (
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

// TestDepartures guards against a restarted daemon that serves by a configuration before it knows which upstreams of its VM have
// left, and against departures that are recorded for another VM.
func TestDepartures(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.applyChange(t, "1", "a")
	gone := wire.Departure{Upstream: wire.HashUpstream("i"), Start: 10, Seq: wire.FinalSeq}
	first := f.connect(t, wire.Hello{Name: "d1", Barrier: true})
	is.Equal(len(first.receiveAny().Gone.List), 0) // an empty list says that there are none
	is.True(first.receive().Full != nil)
	first.send(wire.Frame{ID: 7, Leave: &gone})
	reply := first.receive()
	is.Equal(reply.ID, uint64(7))
	is.Equal(reply.Verdict.State, wire.Recorded)

	restarted := f.connect(t, wire.Hello{Name: "d1", Barrier: true})
	is.Equal(restarted.receiveAny().Gone.List, []wire.Departure{gone})
	is.True(restarted.receive().Full != nil)
	other := f.connect(t, wire.Hello{Name: "d2", Barrier: true})
	is.Equal(len(other.receiveAny().Gone.List), 0)
}
