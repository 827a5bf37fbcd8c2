package courier

import (
	"bufio"
	"bytes"
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
	// maxHead is the largest head of an answer in bytes, interim answers included.
	maxHead = 256 << 10
	// smallBody is the size in bytes up to which a body is not counted against the memory for bodies, so that calls with small
	// answers go on while other upstreams send without end.
	smallBody = 64 << 10
	// memoryPart is the part of the memory limit of the process that bodies may take in one client. A daemon has two clients,
	// and a body takes up to three times its size while its buffer grows.
	memoryPart = 8
	// usualMemory is the memory for bodies in bytes without a memory limit.
	usualMemory = 256 << 20
)

var errLarge = errors.New("answer is too large")

// headReader limits what is read of a head. A limit at the level of the connection holds for every part of it.
type headReader struct {
	r    io.Reader
	left int64
}

func (h *headReader) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, errLarge
	}
	n, err := h.r.Read(p[:min(int64(len(p)), h.left)])
	h.left -= int64(n)
	return n, err
}

// memory is what the bodies that are being read may take together.
type memory struct {
	left atomic.Int64
}

// defaultMemory returns the memory for bodies that suits the limit of the process.
func defaultMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit / memoryPart
	}
	return usualMemory
}

// take reserves bytes and reports whether there were as many.
func (m *memory) take(bytes int64) bool {
	if m.left.Add(-bytes) >= 0 {
		return true
	}
	m.left.Add(bytes)
	return false
}

// read reads a whole body within the memory. The length is what the head says, negative if it says nothing.
func (m *memory) read(body io.Reader, length int64) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(int(max(0, min(length, smallBody))) + bytes.MinRead)
	var taken int64
	defer func() { m.left.Add(taken) }()
	for {
		n, err := io.CopyN(&buf, body, smallBody)
		if errors.Is(err, io.EOF) {
			return buf.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if !m.take(n) {
			return nil, errLarge
		}
		taken += n
	}
}

// readAnswer reads one whole response. An answer without a length ends with its connection.
func (c *conn) readAnswer(method string) (*Answer, error) {
	c.head.left = maxHead
	defer func() { c.head.left = math.MaxInt64 }()
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrBroken, err)
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		c.head.left = math.MaxInt64
		body, err := c.memory.read(resp.Body, resp.ContentLength)
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrBroken, err)
		}
		framed := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
		return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: resp.Close || !framed}, nil
	}
}

// newReader returns the buffered reader of a connection and the limit below it.
func newReader(r io.Reader) (*bufio.Reader, *headReader) {
	head := &headReader{r: r, left: math.MaxInt64}
	return bufio.NewReaderSize(head, readBuffer), head
}
