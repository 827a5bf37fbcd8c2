// Package courier sends calls over HTTP/1.1 connections that it manages itself, so that it knows whether a call was
// sent and which response belongs to which call.
package courier

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"bluebellhoist/core/inspector"
)

// Request is an HTTP request with its complete body.
type Request struct {
	Method string
	Target string // request target, as in the request line
	Host   string
	Header http.Header
	Body   Body
	// Close is true if the sender of the request will not reuse its connection.
	Close bool
}

// Path returns the path of the target without the query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	// The target may be an absolute URL.
	if _, rest, ok := strings.Cut(path, "://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			return rest[i:]
		}
	}
	return path
}

// headCapacity is the initial size in bytes of the buffer for a start line and a header.
const headCapacity = 512

// encodeHead returns the request line and the header in wire format. The header must not contain hop-by-hop headers.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(headCapacity)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	writeHeader(&b, r.Header)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		writeLength(&b, r.Body.Len())
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeHeader writes all headers except Content-Length, which is derived from the body.
func writeHeader(b *bytes.Buffer, h http.Header) {
	for name, values := range h {
		if name == "Content-Length" {
			continue
		}
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
}

func writeLength(b *bytes.Buffer, length int64) {
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.FormatInt(length, 10))
	b.WriteString("\r\n")
}

// Answer is an HTTP response with its complete body.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Close is true if the connection is closed after this response.
	Close bool
}

// Encode returns the response to a request with the given method in wire format: the head, and the body if it is sent.
func (a *Answer) Encode(method string) (head, body []byte) {
	var b bytes.Buffer
	b.Grow(headCapacity)
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	writeHeader(&b, a.Header)
	bodyless := a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if !bodyless {
		writeLength(&b, int64(len(a.Body)))
	}
	if a.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if bodyless || method == http.MethodHead {
		return b.Bytes(), nil
	}
	return b.Bytes(), a.Body
}

// HeaderBytes estimates the memory that a header takes.
func HeaderBytes(h http.Header) int64 {
	var size int64
	for name, values := range h {
		for _, value := range values {
			size += int64(len(name)+len(value)) + FieldBytes
		}
	}
	return size
}

// FieldBytes is the memory that a header field takes besides its name and value.
const FieldBytes = inspector.FieldBytes
