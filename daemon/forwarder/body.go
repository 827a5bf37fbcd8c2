package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

var errDetached = errors.New("request body read after the attempt ended")

// body is a request body that is buffered up to a limit.
type body struct {
	buffered []byte
	rest     io.Reader // unread part of the body; nil if the whole body is buffered
	length   int64     // of the whole body in bytes; -1 if unknown
	trailer  http.Header
	hidden   []string // names of trailers that are not passed on

	mu       sync.Mutex
	consumed bool // an attempt read from the body, so it cannot be sent again
}

// readBody buffers up to limit bytes of the body of r. Reading stops at the deadline.
func readBody(w http.ResponseWriter, r *http.Request, limit int, deadline time.Time) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody || (r.ContentLength == 0 && len(r.Trailer) == 0) {
		return &body{}, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline) // fails only for response writers that are not from net/http
	b := &body{length: r.ContentLength}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(min(r.ContentLength, int64(limit))) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	b.buffered = buffer.Bytes()
	b.trailer = r.Trailer
	if n > int64(limit) {
		b.rest = r.Body
		return b, nil
	}
	b.length = n
	// Clears the deadline: net/http treats a read timeout after the body as a lost caller and cancels the call.
	_ = control.SetReadDeadline(time.Time{})
	return b, nil
}

// hideTrailers removes the trailers with the given names. Those of a body that is not fully buffered arrive with its end.
func (b *body) hideTrailers(names []string) {
	b.hidden = names
	b.removeHidden()
}

func (b *body) removeHidden() {
	for _, name := range b.hidden {
		b.trailer.Del(name)
	}
}

// fullyBuffered reports whether the whole body is buffered, so that it can be sent any number of times.
func (b *body) fullyBuffered() bool {
	return b.rest == nil
}

// attach sets the body of an outgoing request. net/http may send it a second time only if rewindable is true.
//
// The returned function ends the attempt and reports whether the body can be sent again.
func (b *body) attach(out *http.Request, rewindable bool) (detach func() bool) {
	if len(b.trailer) > 0 {
		out.Trailer = b.trailer
	}
	if b.fullyBuffered() && b.length == 0 && len(b.trailer) == 0 {
		out.Body, out.ContentLength = http.NoBody, 0
		return func() bool { return true }
	}
	out.ContentLength = b.length
	if len(b.trailer) > 0 {
		out.ContentLength = -1 // HTTP/1.1 allows trailers only with chunked encoding
	}
	if b.fullyBuffered() {
		newReader := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b.buffered)), nil }
		out.Body, _ = newReader()
		if rewindable {
			out.GetBody = newReader
		}
		return func() bool { return true }
	}
	reader := &streamReader{body: b, reader: io.MultiReader(bytes.NewReader(b.buffered), b.rest)}
	out.Body = reader
	return reader.detach
}

// streamReader is the body of one attempt if the body is not fully buffered. It returns errDetached once the attempt
// has ended, because net/http may still read from the body then.
type streamReader struct {
	body     *body
	reader   io.Reader
	detached bool
}

func (s *streamReader) Read(p []byte) (int, error) {
	s.body.mu.Lock()
	if s.detached {
		s.body.mu.Unlock()
		return 0, errDetached
	}
	s.body.consumed = true
	s.body.mu.Unlock()
	n, err := s.reader.Read(p)
	if err == io.EOF { // the server adds trailers before it reports the end
		s.body.removeHidden()
	}
	return n, err
}

// Close does nothing: the server closes the caller's body after the handler returns.
func (s *streamReader) Close() error {
	return nil
}

func (s *streamReader) detach() bool {
	s.body.mu.Lock()
	defer s.body.mu.Unlock()
	s.detached = true
	return !s.body.consumed
}
