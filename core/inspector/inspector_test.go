package inspector_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"bluebellhoist/core/inspector"
)

// readers returns readers that deliver the text as a whole and in pieces.
func readers(text string) map[string]*bufio.Reader {
	return map[string]*bufio.Reader{
		"whole":              bufio.NewReader(strings.NewReader(text)),
		"one byte at a time": bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))),
	}
}

// fields returns the given number of lines with fields.
func fields(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "%d:\r\n", i)
	}
	return b.String()
}

// TestReadHead guards against reading past the end of a header section, against interim responses that are returned, and
// against limits that do not hold.
func TestReadHead(t *testing.T) {
	const (
		ok   = "HTTP/1.1 200 OK\r\n"
		rest = "rest"
	)
	longValue := strings.Repeat("x", inspector.MaxHeadBytes)
	for name, c := range map[string]struct {
		text, head string
		err        error
	}{
		"no fields":                         {ok + "\r\n" + rest, ok + "\r\n", nil},
		"fields":                            {ok + "A: x\r\nB:y\r\n\r\n" + rest, ok + "A: x\r\nB:y\r\n\r\n", nil},
		"line feeds only":                   {"HTTP/1.1 200 OK\nA: x\n\n" + rest, "HTTP/1.1 200 OK\nA: x\n\n", nil},
		"interim responses":                 {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: x\r\n\r\n" + ok + "\r\n" + rest, ok + "\r\n", nil},
		"most fields":                       {ok + fields(inspector.MaxFields) + "\r\n" + rest, ok + fields(inspector.MaxFields) + "\r\n", nil},
		"too many fields":                   {ok + fields(inspector.MaxFields+1) + "\r\n" + rest, "", inspector.ErrTooLarge},
		"too long":                          {ok + "A: " + longValue + "\r\n\r\n" + rest, "", inspector.ErrTooLarge},
		"line without an end":               {ok + "A: " + longValue, "", inspector.ErrTooLarge},
		"endless interim responses":         {strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", inspector.MaxHeadBytes/20), "", inspector.ErrTooLarge},
		"no response":                       {"", "", io.ErrUnexpectedEOF},
		"cut off":                           {ok + "A: x\r\n", "", io.ErrUnexpectedEOF},
		"cut off after an interim response": {"HTTP/1.1 103 Hints\r\n\r\n", "", io.ErrUnexpectedEOF},
		"empty status line":                 {"\r\n" + ok + "\r\n", "", inspector.ErrMalformed},
		"status 000":                        {"HTTP/1.1 000 OK\r\n\r\n" + ok + "\r\n", "", inspector.ErrMalformed},
		"status 101":                        {"HTTP/1.1 101 Switching Protocols\r\n\r\n", "", inspector.ErrMalformed},
		"blank in a name":                   {ok + "A b: x\r\n\r\n", "", inspector.ErrMalformed},
		"continued field":                   {ok + "A: x\r\n y\r\n\r\n", "", inspector.ErrMalformed},
	} {
		for pieces, r := range readers(c.text) {
			t.Run(name+", "+pieces, func(t *testing.T) {
				is := is.New(t)
				head, err := inspector.ReadHead(r, nil)
				is.True(errors.Is(err, c.err))
				is.Equal(string(head), c.head)
				if c.err != nil {
					return
				}
				is.NoErr(err)
				left, err := io.ReadAll(r)
				is.NoErr(err)
				is.Equal(string(left), rest)
			})
		}
	}
}

// TestReadHeadMemory guards against a header that is kept although there is no memory for it.
func TestReadHeadMemory(t *testing.T) {
	const (
		limit       = 100 << 10 // bytes
		bufferBytes = 512       // read at once, so that at most as many fields are added beyond the limit
	)
	is := is.New(t)
	failure := errors.New("no memory")
	var grown int64
	text := strings.NewReader("HTTP/1.1 200 OK\r\n" + fields(inspector.MaxFields) + "\r\n")
	_, err := inspector.ReadHead(bufio.NewReaderSize(text, bufferBytes), func(bytes int64) error {
		if grown += bytes; grown > limit {
			return failure
		}
		return nil
	})
	is.True(errors.Is(err, failure))
	is.True(grown < limit+bufferBytes*inspector.FieldBytes)
}

// TestReadTrailer guards against a trailer that is malformed, too large or cut off.
func TestReadTrailer(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		err  error
	}{
		"empty":           {"\r\nrest", nil},
		"fields":          {"A: x\r\nB:\r\n\r\nrest", nil},
		"cut off":         {"A: x\r\n", io.ErrUnexpectedEOF},
		"missing":         {"", io.ErrUnexpectedEOF},
		"blank in a name": {"A b: x\r\n\r\n", inspector.ErrMalformed},
		"length":          {"content-length: 4\r\n\r\n", inspector.ErrMalformed},
		"encoding":        {"Transfer-Encoding: chunked\r\n\r\n", inspector.ErrMalformed},
		"too many fields": {fields(inspector.MaxFields+1) + "\r\n", inspector.ErrTooLarge},
		"too long":        {"A: " + strings.Repeat("x", inspector.MaxHeadBytes), inspector.ErrTooLarge},
	} {
		for pieces, r := range readers(c.text) {
			t.Run(name+", "+pieces, func(t *testing.T) {
				is.New(t).True(errors.Is(inspector.ReadTrailer(r), c.err))
			})
		}
	}
}

// TestCheckStored guards against storing or replaying a response that cannot be sent.
func TestCheckStored(t *testing.T) {
	is := is.New(t)
	is.NoErr(inspector.CheckStored(http.StatusOK, ""))
	is.NoErr(inspector.CheckStored(http.StatusNotFound, "text/plain; charset=utf-8"))
	for _, status := range []int{-1, 0, 99, 100, 101, 600, 1000} {
		is.True(errors.Is(inspector.CheckStored(status, ""), inspector.ErrMalformed))
	}
	is.True(errors.Is(inspector.CheckStored(http.StatusOK, "text\r\nSet-Cookie: x"), inspector.ErrMalformed))
}
