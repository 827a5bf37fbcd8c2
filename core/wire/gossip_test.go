package wire_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

// earlierMessage is a message as builds without departures encode it.
type earlierMessage struct {
	From    string            `json:"from"`
	Kind    string            `json:"kind"`
	Members []cbor.RawMessage `json:"members,omitempty"`
	Seq     uint64            `json:"seq"`
}

// TestEarlierBuilds guards against builds with and without departures that cannot read each other's gossip during a rolling
// update.
func TestEarlierBuilds(t *testing.T) {
	gone := wire.Member{Name: "a", Service: "s", Gone: wire.Departure{Upstream: 1, Start: 2, Seq: 3}}
	t.Run("earlier build reads", func(t *testing.T) {
		is := is.New(t)
		data, err := cbor.Marshal(wire.Gossip{Kind: "push", From: "a", Seq: 4, Members: []wire.Member{gone}})
		is.NoErr(err)
		var got earlierMessage
		is.NoErr(cbor.Unmarshal(data, &got))
		is.Equal(got.Seq, uint64(4))
		var row []any
		is.NoErr(cbor.Unmarshal(got.Members[0], &row))
		is.Equal(len(row), 10) // earlier builds reject any other length
	})
	t.Run("earlier build writes", func(t *testing.T) {
		is := is.New(t)
		row, err := cbor.Marshal(gone)
		is.NoErr(err)
		data, err := cbor.Marshal(earlierMessage{From: "a", Kind: "push", Members: []cbor.RawMessage{row}})
		is.NoErr(err)
		var got wire.Gossip
		is.NoErr(cbor.Unmarshal(data, &got))
		is.Equal(got.Members, []wire.Member{{Name: "a", Service: "s"}})
	})
	t.Run("departure without a member", func(t *testing.T) {
		is := is.New(t)
		data, err := cbor.Marshal(map[string]any{"gone": [][]int{{1, 2, 3, 4}}, "members": []wire.Member{gone}})
		is.NoErr(err)
		var got wire.Gossip
		is.True(cbor.Unmarshal(data, &got) != nil)
	})
}

// TestCovers guards against late reports that are taken for current ones, and against a later process that is refused
// because an earlier one has left.
func TestCovers(t *testing.T) {
	final := wire.Departure{Upstream: wire.HashUpstream("i"), Start: 20, Seq: wire.FinalSeq}
	draining := wire.Departure{Upstream: wire.HashUpstream("i"), Start: 20, Seq: 5}
	unnamed := wire.Departure{Start: 20, Seq: 5}
	cases := []struct {
		name  string
		gone  wire.Departure
		id    string
		start int64
		seq   uint64
		want  bool
	}{
		{"nothing has left", wire.Departure{}, "i", 20, 1, false},
		{"same process", final, "i", 20, 9, true},
		{"same process, not numbered", final, "i", 20, 0, true},
		{"same process, start unknown", final, "i", 0, 9, true},
		{"later process", final, "i", 21, 1, false},
		{"earlier process", final, "i", 19, 99, true},
		{"another upstream, earlier process", final, "j", 19, 99, true},
		{"another upstream, later process", final, "j", 21, 1, false},
		{"another upstream, same start", final, "j", 20, 1, false},
		{"another upstream, start unknown", final, "j", 0, 1, false},
		{"before the leave", draining, "i", 20, 4, true},
		{"after the leave", draining, "i", 20, 6, false},
		{"draining, not numbered", draining, "i", 20, 0, false},
		{"leave without an id", unnamed, "i", 20, 4, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.gone.Covers(c.id, c.start, c.seq), c.want)
		})
	}
}
