package courier

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
)

const (
	// maxHeadBytes is the largest header section of a response, including interim responses.
	maxHeadBytes = 256 << 10
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

// headReader limits the bytes that are read for the header section of a response. It reads directly from the
// connection, below the HTTP parser, so the limit covers every part of the header section.
type headReader struct {
	r         io.Reader
	remaining int64
}

func (h *headReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := h.r.Read(p[:min(int64(len(p)), h.remaining)])
	h.remaining -= int64(n)
	return n, err
}

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

// readBody reads a complete body and fails if the available memory does not suffice. length is the Content-Length, or
// negative if there is none.
func (m *bodyMemory) readBody(body io.Reader, length int64) ([]byte, error) {
	var reserved int64
	defer func() { m.available.Add(reserved) }()
	reserve := func(bytes int64) error {
		if !m.tryReserve(bytes) {
			return errTooLarge
		}
		reserved += bytes
		return nil
	}
	if length >= 0 {
		if length > smallBodyBytes {
			if err := reserve(length); err != nil {
				return nil, err
			}
		}
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, noEOF(err)
	}
	var total int64
	segments, err := BodyReader{Grow: func(bytes int64) error {
		if total += bytes; total <= smallBodyBytes {
			return nil
		}
		return reserve(2 * bytes) // the segments are copied into one piece
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

// readAnswer reads one complete response. A response with neither a length nor chunked encoding ends when the
// connection closes.
func (c *conn) readAnswer(method string) (*Answer, error) {
	c.head.remaining = maxHeadBytes
	defer func() { c.head.remaining = math.MaxInt64 }()
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrIncompleteAnswer, err)
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		c.head.remaining = math.MaxInt64
		delimited := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
		if c.broken && !delimited {
			return nil, fmt.Errorf("%w: %w", ErrIncompleteAnswer, errDoubtfulEnd)
		}
		length := resp.ContentLength
		if resp.Body == http.NoBody {
			length = 0 // a response to HEAD may state the length of a body that it does not have
		}
		body, err := c.memory.readBody(resp.Body, length)
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrIncompleteAnswer, err)
		}
		return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: resp.Close || !delimited}, nil
	}
}

// newReader returns the buffered reader of a connection and the headReader below it.
func newReader(r io.Reader) (*bufio.Reader, *headReader) {
	head := &headReader{r: r, remaining: math.MaxInt64}
	return bufio.NewReaderSize(head, readBufferBytes), head
}
