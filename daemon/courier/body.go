package courier

import (
	"errors"
	"io"
	"net"
	"slices"
)

const (
	// minSegmentBytes and maxSegmentBytes bound the pieces in which a body is read. Pieces grow with the body, so that a
	// body takes little more memory than its bytes that have arrived, and is never copied.
	minSegmentBytes = 8 << 10
	maxSegmentBytes = 256 << 10
)

// ErrBodyTooLarge reports a body that exceeds its limit.
var ErrBodyTooLarge = errors.New("the body is too large")

// Body is a complete body in pieces.
type Body [][]byte

// NewBody returns a body with the given bytes.
func NewBody(data []byte) Body {
	if len(data) == 0 {
		return nil
	}
	return Body{data}
}

// Len returns the number of bytes of the body.
func (b Body) Len() int64 {
	var length int64
	for _, segment := range b {
		length += int64(len(segment))
	}
	return length
}

// Bytes returns a copy of the body in one piece.
func (b Body) Bytes() []byte {
	return slices.Concat(b...)
}

// joined returns the body in one piece, without a copy if it is one already.
func (b Body) joined() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return b.Bytes()
}

// buffers returns the segments after the given head, for a write that does not copy them.
func (b Body) buffers(head []byte) net.Buffers {
	all := make(net.Buffers, 0, len(b)+1)
	return append(append(all, head), b...)
}

// BodyReader reads complete bodies.
type BodyReader struct {
	// Limit returns the largest body in bytes. It is called again whenever more of the body is read, and may be nil.
	Limit func() int64
	// Grow is called before the given number of bytes is allocated, and may be nil. Reading ends if it returns an error.
	Grow func(bytes int64) error
}

// Read reads a body to its end. length is the number of bytes that the sender has stated, or negative. The error wraps
// ErrBodyTooLarge if the body exceeds the limit, and io.ErrUnexpectedEOF if it is shorter than stated.
func (r BodyReader) Read(from io.Reader, length int64) (Body, error) {
	var body Body
	var total int64
	size := int64(minSegmentBytes)
	for length < 0 || total < length {
		if length >= 0 {
			size = min(size, length-total)
		}
		if err := r.allow(max(length, total), size); err != nil {
			return nil, err
		}
		segment := make([]byte, size)
		n, err := readFull(from, segment)
		total += int64(n)
		if n > 0 {
			body = append(body, segment[:n])
		}
		switch {
		case errors.Is(err, io.EOF) && length < 0:
			return body, r.allow(total, 0)
		case errors.Is(err, io.EOF) && total < length:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		}
		size = min(2*size, maxSegmentBytes)
	}
	return body, r.allow(total, 0)
}

// allow returns an error if a body of total bytes exceeds the limit, or if it cannot grow by growth bytes.
func (r BodyReader) allow(total, growth int64) error {
	if r.Limit != nil && total > r.Limit() {
		return ErrBodyTooLarge
	}
	if r.Grow != nil && growth > 0 {
		return r.Grow(growth)
	}
	return nil
}

// readFull fills p. In contrast to io.ReadFull it returns io.EOF only at the end of the reader, and the error of the
// reader otherwise, so that the end of a body differs from one that was cut off.
func readFull(from io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := from.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
