package courier_test

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"bluebellhoist/daemon/courier"
)

// TestBodyReader guards against a body that is cut off without an error, and against one above the limit.
func TestBodyReader(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789"), 100_000)
	size := int64(len(data))
	chunked := func(text string) io.Reader { return httputil.NewChunkedReader(bytes.NewReader([]byte(text))) }
	failure := errors.New("failed")
	for _, c := range []struct {
		name   string
		from   io.Reader
		length int64
		limit  int64
		want   error
	}{
		{"stated length", bytes.NewReader(data), size, size, nil},
		{"stated length, one byte at a time", iotest.OneByteReader(bytes.NewReader(data)), size, size, nil},
		{"stated length, end with the data", iotest.DataErrReader(bytes.NewReader(data)), size, size, nil},
		{"unknown length", bytes.NewReader(data), -1, size, nil},
		{"unknown length, end with the data", iotest.DataErrReader(bytes.NewReader(data)), -1, size, nil},
		{"stated length above the limit", bytes.NewReader(data), size, size - 1, courier.ErrBodyTooLarge},
		{"unknown length above the limit", bytes.NewReader(data), -1, size - 1, courier.ErrBodyTooLarge},
		{"shorter than stated", bytes.NewReader(data), size + 1, size + 1, io.ErrUnexpectedEOF},
		{"chunk cut off", chunked("5\r\nabc"), -1, size, io.ErrUnexpectedEOF},
		{"no last chunk", chunked("3\r\nabc\r\n"), -1, size, io.ErrUnexpectedEOF},
		{"read error", io.MultiReader(bytes.NewReader(data[:10]), iotest.ErrReader(failure)), -1, size, failure},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var grown int64
			reader := courier.BodyReader{
				Limit: func() int64 { return c.limit },
				Grow:  func(bytes int64) error { grown += bytes; return nil },
			}
			body, err := reader.Read(c.from, c.length)
			is.True(errors.Is(err, c.want))
			if c.want == nil {
				is.NoErr(err)
				is.True(bytes.Equal(body.Bytes(), data))
				is.True(grown >= size)
			}
		})
	}
	t.Run("no memory", func(t *testing.T) {
		reader := courier.BodyReader{Grow: func(int64) error { return failure }}
		_, err := reader.Read(bytes.NewReader(data), size)
		is.New(t).True(errors.Is(err, failure))
	})
}
