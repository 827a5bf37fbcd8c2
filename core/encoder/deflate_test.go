package encoder_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/encoder"
)

// TestDeflate guards against log entries that differ after decompression, and against decompression bombs: small messages
// that would exhaust the memory of a node.
func TestDeflate(t *testing.T) {
	testCompression(t, encoder.Deflate, encoder.Inflate)
}

// TestCompress guards against the same faults in messages between processes.
func TestCompress(t *testing.T) {
	testCompression(t, func(data []byte) ([]byte, error) { return encoder.Compress(data), nil }, encoder.Decompress)
}

func testCompression(t *testing.T, compress, decompress func([]byte) ([]byte, error)) {
	is := is.New(t)
	text := bytes.Repeat([]byte("route "), 1000)
	compressed, err := compress(text)
	is.NoErr(err)
	is.True(len(compressed) < len(text)/10)
	plain, err := decompress(compressed)
	is.NoErr(err)
	is.Equal(plain, text)
	_, err = decompress(compressed[:len(compressed)/2])
	is.True(errors.Is(err, encoder.ErrMalformed))
	oversized, err := compress(make([]byte, encoder.MaxMessage+1))
	is.NoErr(err)
	_, err = decompress(oversized)
	is.True(errors.Is(err, encoder.ErrTooLarge))
}
