package encoder_test

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// FuzzUnmarshal guards against messages that crash a process, and against messages with two different encodings, which
// would have different checksums.
func FuzzUnmarshal(f *testing.F) {
	for _, frame := range []wire.Frame{
		{},
		{Hello: &wire.Hello{Name: "d1", Barrier: true}},
		{Full: &wire.Full{Batch: wire.Batch{Services: []wire.Service{{Name: "a", Needs: []string{"b"}}}}}},
		{ID: 1, Verdict: &wire.Verdict{State: "done", Body: []byte("x")}},
	} {
		data, err := encoder.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame wire.Frame
		if encoder.Unmarshal(data, &frame) != nil {
			return
		}
		first, err := encoder.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		var decoded wire.Frame
		if err := encoder.Unmarshal(first, &decoded); err != nil {
			t.Fatal(err)
		}
		second, err := encoder.Marshal(decoded)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("second encoding differs: %v", err)
		}
	})
}

// TestUnmarshalRejects guards against accepting malformed input, and input that would allocate too much memory.
func TestUnmarshalRejects(t *testing.T) {
	cases := []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, encoder.ErrMalformed},
		{"too large", make([]byte, encoder.MaxMessage+1), encoder.ErrTooLarge},
		{"length field of 2^62 bytes", []byte{0x5b, 0x40, 0, 0, 0, 0, 0, 0, 0}, encoder.ErrMalformed},
		{"duplicate key", []byte{0xa2, 0x61, 'a', 1, 0x61, 'a', 2}, encoder.ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out map[string]any
			is.New(t).True(errors.Is(encoder.Unmarshal(c.data, &out), c.want))
		})
	}
}

// TestAddress guards against an address that is lost when a member is encoded and decoded.
func TestAddress(t *testing.T) {
	is := is.New(t)
	in := wire.Member{Name: "d1", Addr: netip.MustParseAddrPort("127.0.0.1:80")}
	data, err := encoder.Marshal(in)
	is.NoErr(err)
	var out wire.Member
	is.NoErr(encoder.Unmarshal(data, &out))
	is.Equal(out, in)
}
