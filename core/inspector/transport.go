package inspector

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
)

// Transport sends requests over HTTP and returns only responses that are well-formed and state where they end. A body that
// ends early, or whose trailer is malformed, ends with an error.
type Transport struct {
	base *http.Transport
}

// New returns a Transport that sends requests through base. It changes the settings of base, which must not have been used.
func New(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = MaxHeadBytes
	base.DisableCompression = true // the length of a decompressed body is unknown
	if base.Protocols == nil || !base.Protocols.UnencryptedHTTP2() {
		base.DialContext = inspected(base.DialContext)
	}
	return &Transport{base: base}
}

// inspected returns a function that opens connections whose header sections are checked. Without dial, it uses TCP.
func inspected(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
}

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn] // the last one, if net/http repeats the request
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.expectHead()
			used.Store(c)
		}
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, used.Load().cause(err)
	}
	if response.StatusCode == http.StatusSwitchingProtocols && request.Header.Get("Upgrade") != "" {
		return response, nil // its body is the connection
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// checkResponse checks a response whose body has not been read.
func checkResponse(r *http.Response) error {
	if err := CheckFinal(r.StatusCode); err != nil {
		return err
	}
	if err := CheckFields(r.Header); err != nil {
		return err
	}
	delimited := r.ProtoMajor > 1 || r.ContentLength >= 0 || slices.Contains(r.TransferEncoding, "chunked")
	if !delimited && AllowsBody(r.Request.Method, r.StatusCode) {
		return fmt.Errorf("%w: neither %s nor chunked encoding", ErrMalformed, headerLength)
	}
	return nil
}

// AllowsBody reports whether a response with the given status to a request with the given method may have a body.
func AllowsBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// body checks the trailer at the end of the body of a response.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if trailerErr := checkTrailer(b.response.Trailer); trailerErr != nil {
			return n, trailerErr
		}
	}
	return n, err
}
