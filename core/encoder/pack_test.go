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
	is := is.New(t)
	text := bytes.Repeat([]byte("route "), 1000)
	packed, err := encoder.Pack(text)
	is.NoErr(err)
	is.True(len(packed) < len(text)/10)
	plain, err := encoder.Unpack(packed)
	is.NoErr(err)
	is.Equal(plain, text)
	_, err = encoder.Unpack(packed[:len(packed)/2])
	is.True(errors.Is(err, encoder.ErrMalformed))
	bomb, err := encoder.Pack(make([]byte, encoder.MaxMessage+1))
	is.NoErr(err)
	_, err = encoder.Unpack(bomb)
	is.True(errors.Is(err, encoder.ErrTooLarge))
}
