package courier

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"slices"

	"bluebellhoist/core/inspector"
)

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
