package encoder_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/encoder"
)

// TestPack guards against changes that come out of the log other than they went in, and against small messages that
// unpack to more memory than a node has.
func TestPack(t *testing.T) {
	testCompression(t, encoder.Pack, encoder.Unpack)
}

// TestCompress guards against the same for messages between processes.
func TestCompress(t *testing.T) {
	testCompression(t, func(data []byte) ([]byte, error) { return encoder.Compress(data), nil }, encoder.Decompress)
}

func testCompression(t *testing.T, pack, unpack func([]byte) ([]byte, error)) {
	is := is.New(t)
	text := bytes.Repeat([]byte("route "), 1000)
	packed, err := pack(text)
	is.NoErr(err)
	is.True(len(packed) < len(text)/10)
	plain, err := unpack(packed)
	is.NoErr(err)
	is.Equal(plain, text)
	_, err = unpack(packed[:len(packed)/2])
	is.True(errors.Is(err, encoder.ErrMalformed))
	bomb, err := pack(make([]byte, encoder.MaxMessage+1))
	is.NoErr(err)
	_, err = unpack(bomb)
	is.True(errors.Is(err, encoder.ErrTooLarge))
}
