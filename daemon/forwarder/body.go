package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

var errDetached = errors.New("body belongs to a later attempt")

// body is a request body that is buffered up to a limit.
type body struct {
	head    []byte
	rest    io.Reader // what follows head; nil if head is whole
	length  int64     // length of the whole body, or -1
	trailer http.Header

	mu   sync.Mutex
	used bool // rest was read from, so the body cannot be sent again
}

// readBody buffers up to limit bytes of the body of r. Reading stops at the deadline.
func readBody(w http.ResponseWriter, r *http.Request, limit int, deadline time.Time) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody || (r.ContentLength == 0 && len(r.Trailer) == 0) {
		return &body{}, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline) // fails only for writers of other servers
	b := &body{length: r.ContentLength}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(min(r.ContentLength, int64(limit))) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	b.head = buffer.Bytes()
	b.trailer = r.Trailer
	if n > int64(limit) {
		b.rest = r.Body
		return b, nil
	}
	b.length = n
	// The server would take a later expiry for a lost caller and cancel the call.
	_ = control.SetReadDeadline(time.Time{})
	return b, nil
}

// whole reports whether the body can be sent any number of times.
func (b *body) whole() bool {
	return b.rest == nil
}

// attach gives the body to an outgoing request. Only with replay may net/http send it a second time.
//
// The returned function ends the attempt and reports whether the body can be sent again.
func (b *body) attach(out *http.Request, replay bool) (detach func() bool) {
	if len(b.trailer) > 0 {
		out.Trailer = b.trailer
	}
	if b.whole() && b.length == 0 && len(b.trailer) == 0 {
		out.Body, out.ContentLength = http.NoBody, 0
		return func() bool { return true }
	}
	out.ContentLength = b.length
	if len(b.trailer) > 0 {
		out.ContentLength = -1 // HTTP/1.1 has trailers only after chunks
	}
	if b.whole() {
		open := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b.head)), nil }
		out.Body, _ = open()
		if replay {
			out.GetBody = open
		}
		return func() bool { return true }
	}
	reader := &streamReader{body: b, all: io.MultiReader(bytes.NewReader(b.head), b.rest)}
	out.Body = reader
	return reader.detach
}

// streamReader is the body of one attempt. It reads nothing after the attempt has ended, since net/http may still
// read from the body then.
type streamReader struct {
	body     *body
	all      io.Reader
	detached bool
}

func (s *streamReader) Read(p []byte) (int, error) {
	s.body.mu.Lock()
	if s.detached {
		s.body.mu.Unlock()
		return 0, errDetached
	}
	s.body.used = true
	s.body.mu.Unlock()
	return s.all.Read(p)
}

// Close leaves the caller's body to the server, which closes it after the handler.
func (s *streamReader) Close() error {
	return nil
}

func (s *streamReader) detach() bool {
	s.body.mu.Lock()
	defer s.body.mu.Unlock()
	s.detached = true
	return !s.body.used
}
