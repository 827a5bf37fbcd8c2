package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// errDeparture reports a departure that belongs to no member of its message.
var errDeparture = errors.New("departure without a member")

// departureRow is the encoding of a departure in a message.
//
// Departures are not in memberRow, since builds that do not know them reject a member with additional elements but ignore an
// additional field of the message.
type departureRow struct {
	_        struct{} `cbor:",toarray"`
	Member   int      // index in the members of the message
	Upstream uint64
	Start    int64
	Seq      uint64
}

// gossipFields has the fields of Gossip without its methods.
type gossipFields Gossip

// gossipMessage is the encoding of a Gossip.
type gossipMessage struct {
	gossipFields
	Gone []departureRow `cbor:"gone,omitempty"`
}

// maxGossipElements is the maximum number of elements of an array in a gossip message. It equals that of the decoder in
// core/encoder, which decodes the whole message.
const maxGossipElements = 1 << 20

// gossipDecMode rejects duplicate keys, like the decoder of the whole message.
var gossipDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxGossipElements}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("wire: invalid options: %v", err))
	}
	return mode
}()

// MarshalCBOR encodes the message, with the departures of its members in a field of their own.
func (g Gossip) MarshalCBOR() ([]byte, error) {
	msg := gossipMessage{gossipFields: gossipFields(g)}
	for i, m := range g.Members {
		if !m.Gone.IsZero() {
			msg.Gone = append(msg.Gone, departureRow{Member: i, Upstream: m.Gone.Upstream, Start: m.Gone.Start, Seq: m.Gone.Seq})
		}
	}
	return cbor.Marshal(msg)
}

// UnmarshalCBOR decodes a message that MarshalCBOR, or a build that does not know departures, has encoded.
func (g *Gossip) UnmarshalCBOR(data []byte) error {
	var msg gossipMessage
	if err := gossipDecMode.Unmarshal(data, &msg); err != nil {
		return err
	}
	for _, row := range msg.Gone {
		if row.Member < 0 || row.Member >= len(msg.Members) {
			return fmt.Errorf("%w: index %d of %d", errDeparture, row.Member, len(msg.Members))
		}
		msg.Members[row.Member].Gone = Departure{Upstream: row.Upstream, Start: row.Start, Seq: row.Seq}
	}
	*g = Gossip(msg.gossipFields)
	return nil
}

// DepartureSize returns the maximum number of bytes by which the departure of a member lengthens a message.
func DepartureSize(d Departure) int {
	if d.IsZero() {
		return 0
	}
	const maxIndex = 1 << 10 // more members than fit into a datagram
	data, err := cbor.Marshal(departureRow{Member: maxIndex, Upstream: d.Upstream, Start: d.Start, Seq: d.Seq})
	if err != nil {
		return 0
	}
	return len(data)
}
