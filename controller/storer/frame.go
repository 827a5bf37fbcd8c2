package storer

import (
	"encoding/binary"
	"hash/crc32"
)

// headerSize is the size of length, payload checksum and header checksum.
const headerSize = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame appends payload to buf as a frame that starts at offset in its file.
//
// The header checksum covers the offset, so that bytes inside a payload are not taken for a frame.
func frame(buf []byte, offset int64, payload []byte) []byte {
	var head [headerSize]byte
	binary.LittleEndian.PutUint32(head[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(head[8:], headerSum(head[:8], offset))
	return append(append(buf, head[:]...), payload...)
}

func headerSum(head []byte, offset int64) uint32 {
	sum := crc32.Checksum(head, castagnoli)
	return crc32.Update(sum, castagnoli, binary.LittleEndian.AppendUint64(nil, uint64(offset)))
}

// scan returns the payloads of the frames in data from offset on and the offset after the last valid one.
func scan(data []byte, offset int64) (payloads [][]byte, end int64) {
	for {
		payload, ok := frameAt(data, offset)
		if !ok {
			return payloads, offset
		}
		payloads = append(payloads, payload)
		offset += headerSize + int64(len(payload))
	}
}

// frameAfter reports whether a valid frame starts after offset. If so, the bytes at offset are no torn tail, because a
// frame is written only after the one before it was synced.
func frameAfter(data []byte, offset int64) bool {
	for at := offset + 1; at+headerSize <= int64(len(data)); at++ {
		if _, ok := frameAt(data, at); ok {
			return true
		}
	}
	return false
}

func frameAt(data []byte, offset int64) ([]byte, bool) {
	if offset+headerSize > int64(len(data)) {
		return nil, false
	}
	head, rest := data[offset:offset+headerSize], data[offset+headerSize:]
	if binary.LittleEndian.Uint32(head[8:]) != headerSum(head[:8], offset) {
		return nil, false
	}
	size := int64(binary.LittleEndian.Uint32(head))
	if size > int64(len(rest)) || crc32.Checksum(rest[:size], castagnoli) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, false
	}
	return rest[:size], true
}
