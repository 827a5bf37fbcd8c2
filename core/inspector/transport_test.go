package inspector_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/inspector"
)

// server answers the requests on each connection with the replies in order and closes it after the last one. It returns
// its URL and the number of requests.
func server(t *testing.T, replies ...string) (url string, requests *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	requests = new(atomic.Int32)
	var running sync.WaitGroup
	running.Go(func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			running.Go(func() {
				defer conn.Close()
				serveReplies(conn, requests, replies)
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close(); running.Wait() })
	return "http://" + listener.Addr().String(), requests
}

func serveReplies(conn net.Conn, requests *atomic.Int32, replies []string) {
	r := bufio.NewReader(conn)
	for _, reply := range replies {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		requests.Add(1)
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, reply)
	}
}

// get sends a GET request and returns the body of the response, or the error of the request or the body.
func get(t *testing.T, transport *inspector.Transport, url string) (string, error) {
	t.Helper()
	t.Cleanup(transport.CloseIdleConnections)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	is.New(t).NoErr(err)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

const (
	ok    = "HTTP/1.1 200 OK\r\n"
	whole = "Content-Length: 4\r\n\r\nbody"
)

// TestTransport guards against a response that net/http accepts although it is malformed or may be incomplete.
func TestTransport(t *testing.T) {
	for name, reply := range map[string]string{
		"blank in a name":                  ok + "A b: x\r\n" + whole,
		"blank after the name of a length": ok + "Content-Length : 2\r\n" + whole,
		"blank in an interim response":     "HTTP/1.1 103 Hints\r\nA b: x\r\n\r\n" + ok + whole,
		"blank in the trailer":             ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA b: x\r\n\r\n",
		"continued field":                  ok + "A: x\r\n B: y\r\n" + whole,
		"length and encoding":              ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"status 000":                       "HTTP/1.1 000 Trouble\r\n" + whole,
		"status 600":                       "HTTP/1.1 600 Trouble\r\n" + whole,
		"status 101":                       "HTTP/1.1 101 Switching Protocols\r\n" + whole,
		"other protocol":                   "HTTP/2.0 200 OK\r\n\r\npart",
		"no length":                        ok + "\r\npart",
		"HTTP/1.0 without a length":        "HTTP/1.0 200 OK\r\n\r\npart",
		"body cut off":                     ok + "Content-Length: 5\r\n\r\nbody",
		"last chunk cut off":               ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"header too long":                  ok + "A: " + strings.Repeat("x", inspector.MaxHeadBytes) + "\r\n" + whole,
		"too many fields":                  ok + fields(inspector.MaxFields+1) + whole,
		"interim responses without an end": strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", inspector.MaxHeadBytes/20) + ok + whole,
	} {
		t.Run(name, func(t *testing.T) {
			url, requests := server(t, reply)
			_, err := get(t, inspector.New(&http.Transport{}), url)
			is := is.New(t)
			is.True(err != nil)
			is.Equal(requests.Load(), int32(1))
		})
	}
	for name, reply := range map[string]string{
		"length":            ok + whole,
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n" + whole,
		"chunks":            ok + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4\r\nbody\r\n0\r\nA: x\r\n\r\n",
		"interim responses": "HTTP/1.1 103 Hints\r\nA: x\r\n\r\n" + ok + whole,
		"most fields":       ok + fields(inspector.MaxFields-1) + whole,
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := server(t, reply)
			body, err := get(t, inspector.New(&http.Transport{}), url)
			is := is.New(t)
			is.NoErr(err)
			is.Equal(body, "body")
		})
	}
}

// TestTransportReuse guards against checking the bytes of a body, against a later response on a connection that is not
// checked, and against net/http repeating a request whose response was malformed.
func TestTransportReuse(t *testing.T) {
	is := is.New(t)
	transport := inspector.New(&http.Transport{})
	url, requests := server(t, ok+"Content-Length: 11\r\n\r\nA b: x\r\n\r\n\x00", ok+whole, ok+"A b: x\r\n"+whole)
	for _, want := range []string{"A b: x\r\n\r\n\x00", "body"} {
		body, err := get(t, transport, url)
		is.NoErr(err)
		is.Equal(body, want)
	}
	_, err := get(t, transport, url)
	is.True(errors.Is(err, inspector.ErrMalformed))
	is.Equal(requests.Load(), int32(3))
}

// TestTransportUpgrade guards against refusing a change of the protocol that was asked for.
func TestTransportUpgrade(t *testing.T) {
	is := is.New(t)
	url, _ := server(t, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: echo\r\nConnection: Upgrade\r\n\r\nA b: x\r\n\r\n")
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	is.NoErr(err)
	request.Header.Set("Upgrade", "echo")
	request.Header.Set("Connection", "Upgrade")
	response, err := inspector.New(&http.Transport{}).RoundTrip(request)
	is.NoErr(err)
	defer response.Body.Close()
	_, ok := response.Body.(io.ReadWriteCloser)
	is.True(ok)
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(data), "A b: x\r\n\r\n")
}

// TestCutHead guards against a response that stops inside its head and is taken for a complete one, or makes net/http repeat the
// request, on a new or a kept connection.
func TestCutHead(t *testing.T) {
	const head = "HTTP/1.1 103 Hints\r\nA: x\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n"
	for n := 1; n < len(head); n++ {
		is := is.New(t)
		url, requests := server(t, head[:n])
		_, err := get(t, inspector.New(&http.Transport{}), url)
		is.True(err != nil) // after n bytes on a new connection
		is.Equal(requests.Load(), int32(1))

		kept := inspector.New(&http.Transport{})
		url, requests = server(t, ok+whole, head[:n])
		_, err = get(t, kept, url)
		is.NoErr(err)
		_, err = get(t, kept, url)
		is.True(err != nil) // after n bytes on a kept connection
		is.Equal(requests.Load(), int32(2))
	}
}
