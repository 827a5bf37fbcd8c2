// Package courier sends calls over HTTP/1.1 connections that it manages itself, so that it knows whether a call was
// sent and which response belongs to which call.
package courier

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Request is an HTTP request with its complete body.
type Request struct {
	Method string
	Target string // request target, as in the request line
	Host   string
	Header http.Header
	Body   []byte
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

// encode returns the request in wire format. The header must not contain hop-by-hop headers.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	writeHeader(&b, r.Header)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		writeLength(&b, len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
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

func writeLength(b *bytes.Buffer, length int) {
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(length))
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

// Encode returns the response to a request with the given method in wire format.
func (a *Answer) Encode(method string) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(a.Body))
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	writeHeader(&b, a.Header)
	bodyless := a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if !bodyless {
		writeLength(&b, len(a.Body))
	}
	if a.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if !bodyless && method != http.MethodHead {
		b.Write(a.Body)
	}
	return b.Bytes()
}
