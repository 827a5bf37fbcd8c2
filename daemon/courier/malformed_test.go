package courier_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/daemon/courier"
)

// expectIncomplete checks that a reply gives no response. After the reply the upstream closes the connection.
func expectIncomplete(t *testing.T, reply string) {
	t.Helper()
	to := upstream(t, func(conn net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, reply)
	})
	_, err := courier.New().Do(context.Background(), to, call("1"))
	is.New(t).True(errors.Is(err, courier.ErrIncompleteAnswer))
}

// TestMalformedFields guards against passing on a response with a field that is not valid. A blank in the name of a field
// that states the length also hides where the body ends.
func TestMalformedFields(t *testing.T) {
	for name, line := range map[string]string{
		"blank in the name":                    "Some Field: x",
		"blank after the name":                 "Field : x",
		"blank after the name of the length":   "Content-Length : 4",
		"blank after the name of the encoding": "Transfer-Encoding : chunked",
		"blank before the name":                " Field: x",
		"tab after the name":                   "Field\t: x",
		"control byte in the name":             "Fi\x01eld: x",
		"zero byte in the name":                "Fi\x00eld: x",
		"delete byte in the name":              "Fi\x7feld: x",
		"carriage return in the name":          "Fi\reld: x",
		"byte above ASCII in the name":         "Fi\xffeld: x",
		"delimiter in the name":                "Fi(eld: x",
		"no name":                              ": x",
		"no colon":                             "Field",
		"control byte in the value":            "Field: x\x01y",
		"carriage return in the value":         "Field: x\ry",
	} {
		t.Run(name, func(t *testing.T) {
			for _, end := range []string{"\r\n", "\n"} {
				expectIncomplete(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+line+end+"\r\nbody")
				expectIncomplete(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+line+end+"Content-Length: 4\r\n\r\nbody")
			}
			expectIncomplete(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+answer("1", "body"))
			expectIncomplete(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+line+"\r\n\r\n")
		})
	}
}

// TestMalformedStatus guards against passing on a response without a valid status, and against reading past it to the next
// response as if it were an interim one.
func TestMalformedStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20", "-20", "2x0", "20", "2000", ""} {
		t.Run(status, func(t *testing.T) {
			line := "HTTP/1.1 " + status + " Trouble\r\n"
			expectIncomplete(t, line+"Id: 1\r\nContent-Length: 4\r\n\r\nbody")
			expectIncomplete(t, line+"Id: 1\r\n\r\n"+answer("1", "body"))
		})
	}
	for name, line := range map[string]string{
		"other protocol":             "HTTP/2.0 200 OK",
		"no version":                 "HTTP 200 OK",
		"control byte in the reason": "HTTP/1.1 200 O\x01K",
	} {
		t.Run(name, func(t *testing.T) {
			expectIncomplete(t, line+"\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
}

// TestAmbiguousFraming guards against passing on a body whose end depends on which of two fields the reader follows.
func TestAmbiguousFraming(t *testing.T) {
	const id = "Id: 1\r\n"
	for name, reply := range map[string]string{
		"length and encoding":    "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"encoding in HTTP/1.0":   "HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"two lengths":            "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
		"negative length":        "HTTP/1.1 200 OK\r\n" + id + "Content-Length: -4\r\n\r\nbody",
		"length with a sign":     "HTTP/1.1 200 OK\r\n" + id + "Content-Length: +4\r\n\r\nbody",
		"length too large":       "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 99999999999999999999\r\n\r\nbody",
		"empty length":           "HTTP/1.1 200 OK\r\n" + id + "Content-Length:\r\n\r\nbody",
		"unknown encoding":       "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: gzip\r\n\r\nbody",
		"two encodings":          "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"folded encoding":        "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding:\r\n chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"malformed chunk length": "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4x\r\nbody\r\n0\r\n\r\n",
		"length in the trailer":  "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nContent-Length: 2\r\n\r\n",
		"trailer cut off":        "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n",
		"header cut off":         "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n",
	} {
		t.Run(name, func(t *testing.T) { expectIncomplete(t, reply) })
	}
}

// TestWellFormed guards against refusing a response that is unusual but valid.
func TestWellFormed(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, reply := range map[string]string{
		"no reason":               "HTTP/1.1 200\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"empty reason":            "HTTP/1.1 200 \r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"line feeds only":         "HTTP/1.1 200 OK\nId: 1\nContent-Length: 4\n\nbody",
		"empty value":             start + "Field:\r\nContent-Length: 4\r\n\r\nbody",
		"bytes above ASCII":       start + "Field: \xe9\t\xff\r\nContent-Length: 4\r\n\r\nbody",
		"delimiters in the name":  start + "!#$%&'*+-.^_`|~09aZ: x\r\nContent-Length: 4\r\n\r\nbody",
		"blanks around the value": start + "Field: \t x \t\r\nContent-Length: 4\r\n\r\nbody",
		"the same length twice":   start + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
		"interim responses":       "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer("1", "body"),
		"HTTP/1.0":                "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nbody",
		"trailer":                 start + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\n",
		"chunk extension":         start + "Transfer-Encoding: Chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\n\r\n",
		"status 599":              "HTTP/1.1 599 Trouble\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to := upstream(t, func(conn net.Conn, next func() *http.Request) {
				next()
				_, _ = io.WriteString(conn, reply)
			})
			a, err := courier.New().Do(context.Background(), to, call("1"))
			is.NoErr(err)
			is.Equal(string(a.Body), "body")
		})
	}
}

// TestManyFields guards against a response of legal size whose short fields take many times the memory of its bytes.
func TestManyFields(t *testing.T) {
	var fields strings.Builder
	for i := range 20_000 {
		fields.WriteString(strconv.Itoa(i) + ":\r\n")
	}
	t.Run("header", func(t *testing.T) {
		expectIncomplete(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+fields.String()+"Content-Length: 4\r\n\r\nbody")
	})
	t.Run("trailer", func(t *testing.T) {
		expectIncomplete(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+fields.String()+"\r\n")
	})
}
