package courier

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"slices"
	"sync/atomic"

	"bluebellhoist/core/inspector"
)

const (
	// smallHeadBytes is the memory up to which a header section does not count against the memory for bodies.
	smallHeadBytes = 16 << 10
	// smallBodyBytes is the size up to which a body does not count against the memory for bodies, so that calls with
	// small responses still succeed while other upstreams send endless ones.
	smallBodyBytes = 64 << 10
	// memoryLimitDivisor bounds the memory for bodies: one client may use the memory limit of the process divided by
	// memoryLimitDivisor. A daemon has two clients.
	memoryLimitDivisor = 8
	// fallbackMemoryBytes is the memory for bodies if the process has no memory limit.
	fallbackMemoryBytes = 256 << 20
)

var errTooLarge = errors.New("response is too large")

// bodyMemory limits the total size of the bodies that are being read at the same time.
type bodyMemory struct {
	available atomic.Int64
}

// defaultMemoryBytes returns the memory for bodies that fits the memory limit of the process.
func defaultMemoryBytes() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit / memoryLimitDivisor
	}
	return fallbackMemoryBytes
}

// tryReserve reserves bytes and reports whether enough were available.
func (m *bodyMemory) tryReserve(bytes int64) bool {
	if m.available.Add(-bytes) >= 0 {
		return true
	}
	m.available.Add(bytes)
	return false
}

// reservation is the part of the memory that one response takes while it is read.
type reservation struct {
	memory *bodyMemory
	bytes  int64
}

// grow reserves further bytes, or returns an error if they are not available.
func (r *reservation) grow(bytes int64) error {
	if !r.memory.tryReserve(bytes) {
		return errTooLarge
	}
	r.bytes += bytes
	return nil
}

// growBeyond returns a function that reserves what exceeds the given number of bytes in total.
func (r *reservation) growBeyond(free int64) func(bytes int64) error {
	return func(bytes int64) error {
		free -= bytes
		if free >= 0 {
			return nil
		}
		bytes, free = -free, 0
		return r.grow(bytes)
	}
}

func (r *reservation) release() {
	r.memory.available.Add(r.bytes)
}

// readBody reads a complete body and fails if the available memory does not suffice. length is the Content-Length, or
// negative if there is none.
func (r *reservation) readBody(body io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		if length > smallBodyBytes {
			if err := r.grow(length); err != nil {
				return nil, err
			}
		}
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, noEOF(err)
	}
	grow := r.growBeyond(2 * smallBodyBytes)
	segments, err := BodyReader{Grow: func(bytes int64) error {
		return grow(2 * bytes) // the segments are copied into one piece
	}}.Read(body, length)
	if err != nil {
		return nil, err
	}
	return segments.joined(), nil
}

// noEOF returns io.ErrUnexpectedEOF for the end of a body that is shorter than stated.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// errDoubtfulEnd reports a response that ends with its connection, of which a write has failed. A reset that fails a write
// looks like an orderly end to the reader.
var errDoubtfulEnd = errors.New("the connection broke before the end of a response without a length")

// readAnswer reads one complete response to a call with the given method.
func (c *conn) readAnswer(method string) (*Answer, error) {
	r := &reservation{memory: c.memory}
	defer r.release()
	resp, err := c.readHead(method, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrIncompleteAnswer, err)
	}
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Close: resp.Close}
	switch {
	case resp.Body == http.NoBody: // also a response to HEAD that states the length of a body that it does not have
	case slices.Contains(resp.TransferEncoding, "chunked"):
		a.Body, err = c.readChunks(r)
	case resp.ContentLength >= 0:
		a.Body, err = r.readBody(c.r, resp.ContentLength)
	case c.broken:
		err = errDoubtfulEnd
	default:
		a.Close = true
		a.Body, err = r.readBody(c.r, -1)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrIncompleteAnswer, err)
	}
	return a, nil
}

// readHead reads the header section of a response. The body of the result must not be used.
func (c *conn) readHead(method string, r *reservation) (*http.Response, error) {
	head, err := inspector.ReadHead(c.r, r.growBeyond(smallHeadBytes))
	if err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(bytes.NewReader(head), min(len(head), readBufferBytes))
	return http.ReadResponse(reader, &http.Request{Method: method})
}

// readChunks reads a chunked body and its trailer, which is dropped.
func (c *conn) readChunks(r *reservation) ([]byte, error) {
	body, err := r.readBody(httputil.NewChunkedReader(c.r), -1)
	if err != nil {
		return nil, err
	}
	return body, inspector.ReadTrailer(c.r)
}
