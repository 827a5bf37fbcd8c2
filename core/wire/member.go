package wire

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// memberRow is the encoding of a member as an array. Messages contain hundreds of members, and the keys of a map would take
// half of the bytes.
type memberRow struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Addr        netip.AddrPort
	Domain      string
	Incarnation uint64
	State       string
	Control     bool
	Service     string
	Slots       int
	Ready       bool
	Since       int64
}

// MarshalCBOR encodes the member as an array.
func (m Member) MarshalCBOR() ([]byte, error) {
	return cbor.Marshal(memberRow{
		Name: m.Name, Addr: m.Addr, Domain: m.Domain, Incarnation: m.Incarnation, State: m.State, Control: m.Control,
		Service: m.Service, Slots: m.Slots, Ready: m.Ready, Since: m.Since,
	})
}

// UnmarshalCBOR decodes a member from the array that MarshalCBOR returns.
func (m *Member) UnmarshalCBOR(data []byte) error {
	var row memberRow
	if err := cbor.Unmarshal(data, &row); err != nil {
		return err
	}
	*m = Member{
		Name: row.Name, Addr: row.Addr, Domain: row.Domain, Incarnation: row.Incarnation, State: row.State, Control: row.Control,
		Service: row.Service, Slots: row.Slots, Ready: row.Ready, Since: row.Since,
	}
	return nil
}
