package gossiper

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// MaxDatagram is the largest datagram in bytes.
const MaxDatagram = 1400

const (
	sumSize     = 4
	arrayHeader = 12 // key and header of the list of members
	maxName     = 64
	maxInc      = 1 << 62 // leaves room for refutations
)

var errDatagram = errors.New("invalid datagram")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encode returns the message behind its checksum. A bit error could otherwise yield a valid entry with a huge incarnation.
func encode(msg wire.Gossip) ([]byte, error) {
	body, err := encoder.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errDatagram, err)
	}
	if len(body)+sumSize > MaxDatagram {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", errDatagram, len(body)+sumSize, MaxDatagram)
	}
	data := make([]byte, sumSize, sumSize+len(body))
	binary.BigEndian.PutUint32(data, crc32.Checksum(body, castagnoli))
	return append(data, body...), nil
}

func decode(data []byte) (wire.Gossip, error) {
	var msg wire.Gossip
	if len(data) <= sumSize || len(data) > MaxDatagram {
		return msg, fmt.Errorf("%w: %d bytes", errDatagram, len(data))
	}
	if binary.BigEndian.Uint32(data) != crc32.Checksum(data[sumSize:], castagnoli) {
		return msg, fmt.Errorf("%w: checksum does not match", errDatagram)
	}
	if err := encoder.Unmarshal(data[sumSize:], &msg); err != nil {
		return msg, fmt.Errorf("%w: %v", errDatagram, err)
	}
	return msg, nil
}

// valid reports whether a received entry can be stored.
func valid(m wire.Member) bool {
	switch m.State {
	case wire.Alive, wire.Suspect, wire.Dead, wire.Left:
	default:
		return false
	}
	return m.Name != "" && len(m.Name) <= maxName && len(m.Domain) <= maxName && len(m.Service) <= maxName &&
		m.Addr.IsValid() && m.Addr.Port() != 0 && m.Inc > 0 && m.Inc < maxInc && m.Slots >= 0
}

// size returns the encoded size of an entry or message.
func size(v any) int {
	data, err := encoder.Marshal(v)
	if err != nil {
		return MaxDatagram
	}
	return len(data)
}
