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
	checksumSize         = 4
	memberListHeaderSize = 20 // encoded size of the keys and array headers of the member list and of the departures
	maxNameLength        = 64
	maxIncarnation       = 1 << 62 // leaves headroom for increments by refutations
)

var errInvalidDatagram = errors.New("invalid datagram")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encode returns msg prefixed by its checksum. Without the checksum, a bit error could yield a valid entry with a huge
// incarnation.
func encode(msg wire.Gossip) ([]byte, error) {
	body, err := encoder.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errInvalidDatagram, err)
	}
	if len(body)+checksumSize > MaxDatagram {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", errInvalidDatagram, len(body)+checksumSize, MaxDatagram)
	}
	data := make([]byte, checksumSize, checksumSize+len(body))
	binary.BigEndian.PutUint32(data, crc32.Checksum(body, castagnoli))
	return append(data, body...), nil
}

func decode(data []byte) (wire.Gossip, error) {
	var msg wire.Gossip
	if len(data) <= checksumSize || len(data) > MaxDatagram {
		return msg, fmt.Errorf("%w: %d bytes", errInvalidDatagram, len(data))
	}
	if binary.BigEndian.Uint32(data) != crc32.Checksum(data[checksumSize:], castagnoli) {
		return msg, fmt.Errorf("%w: checksum does not match", errInvalidDatagram)
	}
	if err := encoder.Unmarshal(data[checksumSize:], &msg); err != nil {
		return msg, fmt.Errorf("%w: %v", errInvalidDatagram, err)
	}
	return msg, nil
}

// validEntry reports whether a received entry may be stored.
func validEntry(m wire.Member) bool {
	switch m.State {
	case wire.Alive, wire.Suspect, wire.Dead, wire.Left:
	default:
		return false
	}
	return m.Name != "" && len(m.Name) <= maxNameLength && len(m.Domain) <= maxNameLength && len(m.Service) <= maxNameLength &&
		m.Addr.IsValid() && m.Addr.Port() != 0 && m.Incarnation > 0 && m.Incarnation < maxIncarnation &&
		m.Slots >= 0 && m.Slots <= wire.MaxSlots && m.Since <= wire.MaxStart && m.Gone.Start >= 0 && m.Gone.Start <= wire.MaxStart
}

// entrySize returns the number of bytes that an entry takes in a datagram.
func entrySize(m wire.Member) int {
	return encodedSize(m) + wire.DepartureSize(m.Gone)
}

// encodedSize returns the encoded size of a member or message in bytes.
func encodedSize(v any) int {
	data, err := encoder.Marshal(v)
	if err != nil {
		return MaxDatagram
	}
	return len(data)
}
