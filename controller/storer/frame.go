package storer

import (
	"encoding/binary"
	"hash/crc32"
)

// headerBytes is the size of a frame header: payload length, payload checksum and header checksum.
const headerBytes = 12

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends payload to buf as a frame that starts at offset in its file.
//
// The header checksum covers the offset, so that bytes inside a payload are not mistaken for a frame.
func appendFrame(buf []byte, offset int64, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, crcTable))
	binary.LittleEndian.PutUint32(header[8:], headerChecksum(header[:8], offset))
	return append(append(buf, header[:]...), payload...)
}

func headerChecksum(header []byte, offset int64) uint32 {
	sum := crc32.Checksum(header, crcTable)
	return crc32.Update(sum, crcTable, binary.LittleEndian.AppendUint64(nil, uint64(offset)))
}

// scan returns the payloads of the consecutive valid frames from offset on, and the offset after the last of them.
func scan(data []byte, offset int64) (payloads [][]byte, end int64) {
	for {
		payload, ok := readFrame(data, offset)
		if !ok {
			return payloads, offset
		}
		payloads = append(payloads, payload)
		offset += headerBytes + int64(len(payload))
	}
}

// hasFrameAfter reports whether a valid frame starts after offset. If so, the bytes at offset are damaged and not a
// torn write, because a frame is written only after the previous one was synced.
func hasFrameAfter(data []byte, offset int64) bool {
	for at := offset + 1; at+headerBytes <= int64(len(data)); at++ {
		if _, ok := readFrame(data, at); ok {
			return true
		}
	}
	return false
}

// readFrame returns the payload of the frame at offset, and false if there is no valid one.
func readFrame(data []byte, offset int64) ([]byte, bool) {
	if offset+headerBytes > int64(len(data)) {
		return nil, false
	}
	header, rest := data[offset:offset+headerBytes], data[offset+headerBytes:]
	if binary.LittleEndian.Uint32(header[8:]) != headerChecksum(header[:8], offset) {
		return nil, false
	}
	size := int64(binary.LittleEndian.Uint32(header))
	if size > int64(len(rest)) || crc32.Checksum(rest[:size], crcTable) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, false
	}
	return rest[:size], true
}
