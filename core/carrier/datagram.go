package carrier

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// Kinds of datagrams.
const (
	Ask     = "ask"     // a daemon asks for tokens
	Allot   = "allot"   // a controller allots tokens
	Decline = "decline" // a controller does not allot tokens at present
)

const (
	// MaxDatagram is the maximum size of a datagram in bytes. It avoids fragments on links with a small MTU.
	MaxDatagram = 1200
	// MaxCount is the maximum number of tokens of one item.
	MaxCount = 1 << 20
	// MaxWait is the longest wait that an allotment may state.
	MaxWait = time.Second

	checksumSize   = 4       // bytes of the CRC-32C before the message
	maxBatchLength = 64      // bytes of the name of a batch
	maxItems       = 64      // items of a datagram
	maxVoters      = 1 << 10 // voters that a datagram may state
)

// ErrInvalid reports a datagram that cannot be encoded or decoded.
var ErrInvalid = errors.New("invalid quota datagram")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns msg prefixed by its checksum.
func Encode(msg wire.Quota) ([]byte, error) {
	body, err := encoder.Marshal(newRow(msg))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	if len(body)+checksumSize > MaxDatagram {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrInvalid, len(body)+checksumSize, MaxDatagram)
	}
	data := make([]byte, checksumSize, checksumSize+len(body))
	binary.BigEndian.PutUint32(data, crc32.Checksum(body, castagnoli))
	return append(data, body...), nil
}

// Decode checks and decodes a datagram.
func Decode(data []byte) (wire.Quota, error) {
	if len(data) <= checksumSize || len(data) > MaxDatagram {
		return wire.Quota{}, fmt.Errorf("%w: %d bytes", ErrInvalid, len(data))
	}
	if binary.BigEndian.Uint32(data) != crc32.Checksum(data[checksumSize:], castagnoli) {
		return wire.Quota{}, fmt.Errorf("%w: checksum does not match", ErrInvalid)
	}
	var row messageRow
	if err := encoder.Unmarshal(data[checksumSize:], &row); err != nil {
		return wire.Quota{}, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	msg := row.message()
	return msg, check(msg)
}

// check returns an error if a value of msg is out of range.
func check(msg wire.Quota) error {
	switch msg.Kind {
	case Ask, Allot, Decline:
	default:
		return fmt.Errorf("%w: kind %q", ErrInvalid, msg.Kind)
	}
	if len(msg.Batch) > maxBatchLength || len(msg.Items) > maxItems || msg.Voters < 0 || msg.Voters > maxVoters {
		return fmt.Errorf("%w: value out of range", ErrInvalid)
	}
	for _, item := range msg.Items {
		if !validItem(item) {
			return fmt.Errorf("%w: item out of range", ErrInvalid)
		}
	}
	return nil
}

// validItem reports whether the values of an item are in range.
func validItem(item wire.QuotaItem) bool {
	return len(item.Tenant) <= compiler.MaxTenantName &&
		item.Count >= 0 && item.Count <= MaxCount &&
		item.Extra >= 0 && item.Extra <= MaxCount &&
		item.Wait >= 0 && item.Wait <= MaxWait
}
