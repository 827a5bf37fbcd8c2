package wire_test

import (
	"net/netip"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"bluebellhoist/core/wire"
)

// TestMember guards against a field that is added to the schema but not to the encoding of the members of a message, which is
// written by hand.
func TestMember(t *testing.T) {
	is := is.New(t)
	var m wire.Member
	v := reflect.ValueOf(&m).Elem()
	for i := range v.NumField() {
		switch f := v.Field(i); f.Interface().(type) {
		case string:
			f.SetString(v.Type().Field(i).Name)
		case bool:
			f.SetBool(true)
		case int, int64:
			f.SetInt(int64(i + 1))
		case uint64:
			f.SetUint(uint64(i + 1))
		case netip.AddrPort:
			f.Set(reflect.ValueOf(netip.MustParseAddrPort("10.1.0.38:7380")))
		case wire.Departure:
			f.Set(reflect.ValueOf(wire.Departure{Upstream: 7, Start: 8, Seq: 9}))
		default:
			t.Fatalf("test has no value for a field of type %s", f.Type())
		}
		is.True(!v.Field(i).IsZero())
	}
	data, err := cbor.Marshal(wire.Gossip{Members: []wire.Member{{Name: "other"}, m}})
	is.NoErr(err)
	var got wire.Gossip
	is.NoErr(cbor.Unmarshal(data, &got))
	is.Equal(got.Members, []wire.Member{{Name: "other"}, m})
}
