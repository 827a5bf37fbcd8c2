package framer_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
)

// TestEncode guards against uncompressed large updates, which saturate a slow link when all daemons request them at once,
// and against frames that differ after decoding.
func TestEncode(t *testing.T) {
	frame := func(routes int) wire.Frame {
		batch := wire.Batch{Name: "m", Services: []wire.Service{}}
		for i := range routes {
			batch.Routes = append(batch.Routes, wire.Route{Name: fmt.Sprint("r", i), Host: "desk.example", Prefix: "/", Parts: []wire.Part{}})
		}
		return wire.Frame{Full: &wire.Full{Sum: 7, Batch: batch}}
	}
	for _, routes := range []int{0, 1, 500} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			is := is.New(t)
			data, err := framer.Encode(frame(routes))
			is.NoErr(err)
			got, err := framer.Decode(data)
			is.NoErr(err)
			is.Equal(got.Full.Batch, frame(routes).Full.Batch)
			plain, err := encoder.Marshal(frame(routes))
			is.NoErr(err)
			is.True(routes < 500 || len(data) < len(plain)/5)
		})
	}
	t.Run("damaged", func(t *testing.T) {
		is := is.New(t)
		data, err := encoder.Marshal(wire.Frame{Packed: []byte("no deflate")})
		is.NoErr(err)
		_, err = framer.Decode(data)
		is.True(errors.Is(err, framer.ErrSession))
	})
}
