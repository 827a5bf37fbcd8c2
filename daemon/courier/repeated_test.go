package courier_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/daemon/courier"
)

// refusal returns the response of an upstream that has not run a call. An empty id leaves out the header.
func refusal(id string) string {
	echo := ""
	if id != "" {
		echo = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + echo + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// TestRepeatedRefusal guards against an upstream that sends an earlier refusal once more on a kept connection, while it runs the
// next call: the caller would be told that its call has not run.
func TestRepeatedRefusal(t *testing.T) {
	// refuseThenRepeat refuses a call and answers the next one, if it comes on the same connection, by repeating the refusal
	// with the given id first.
	refuseThenRepeat := func(first, repeated string) func(net.Conn, func() *http.Request) {
		return func(conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, refusal(first))
			if request := next(); request != nil {
				_, _ = io.WriteString(conn, refusal(repeated)+answer(request.Header.Get("Id"), "ran"))
				next()
			}
		}
	}
	answerAll := func(conn net.Conn, next func() *http.Request) {
		for request := next(); request != nil; request = next() {
			_, _ = io.WriteString(conn, answer(request.Header.Get("Id"), "ran"))
		}
	}
	withoutID := call("")
	withoutID.EchoHeader, withoutID.Fresh = "", true
	cases := []struct {
		name     string
		repeated string
		second   courier.Call
	}{
		{"to another call", "1", call("2")},
		{"without an id", "", call("2")},
		{"to a further attempt of the refused call", "1", call("1")},
		{"without an id, to a further attempt of the refused call", "", call("1")},
		{"to a call without an id", "1", withoutID},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			to := upstream(t, refuseThenRepeat("1", c.repeated), answerAll)
			client := courier.New()
			first, err := client.Do(context.Background(), to, call("1"))
			is.NoErr(err)
			is.Equal(first.Status, http.StatusServiceUnavailable)
			second, err := client.Do(context.Background(), to, c.second)
			is.NoErr(err)
			is.Equal(second.Status, http.StatusOK)
		})
	}
	t.Run("very many refusals", func(t *testing.T) {
		is := is.New(t)
		const calls = 500
		refuseAll := func(conn net.Conn, next func() *http.Request) {
			for request := next(); request != nil; request = next() {
				_, _ = io.WriteString(conn, refusal(request.Header.Get("Id")))
			}
		}
		to := upstream(t, refuseAll, refuseAll, refuseAll, refuseAll, refuseAll, refuseAll, refuseAll, refuseAll)
		client := courier.New()
		for i := range calls {
			_, err := client.Do(context.Background(), to, call(fmt.Sprint(i)))
			is.NoErr(err)
		}
	})
}

// TestCutHead guards against a response that stops inside its head and is taken for a complete one with an empty body, on a new
// or a kept connection, also after an interim response.
func TestCutHead(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	heads := map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"lines end in LF":  "HTTP/1.1 200 OK\nId: 1\n\n",
		"chunked":          "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"interim":          interim + "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for n := range len(head) {
				requireCut(t, head[:n], false)
				requireCut(t, head[:n], true)
			}
		})
	}
}

// requireCut fails the test if a call succeeds whose response is cut, on a new or on a kept connection.
func requireCut(t *testing.T, cut string, kept bool) {
	t.Helper()
	is := is.New(t)
	to := upstream(t, func(conn net.Conn, next func() *http.Request) {
		if kept {
			next()
			_, _ = io.WriteString(conn, answer("0", "first"))
		}
		next()
		_, _ = io.WriteString(conn, cut)
	})
	client := courier.New()
	if kept {
		_, err := client.Do(context.Background(), to, call("0"))
		is.NoErr(err)
	}
	_, err := client.Do(context.Background(), to, call("1"))
	is.True(errors.Is(err, courier.ErrIncompleteAnswer)) // after the given bytes
}
