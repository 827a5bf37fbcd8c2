package exchanger_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/exchanger"
	"bluebellhoist/core/wire"
)

// TestMalformedReply guards against taking entries of members from a reply that is not valid HTTP, may be incomplete, or has
// no end.
func TestMalformedReply(t *testing.T) {
	data, err := encoder.Marshal(wire.Gossip{From: "peer"})
	is.New(t).NoErr(err)
	body := string(encoder.Compress(data))
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, reply := range map[string]string{
		"blank in the name of a field": ok + "Some Field: x\r\n" + length + body,
		"status 000":                   "HTTP/1.1 000 Trouble\r\n" + length + body,
		"no length":                    ok + "\r\n" + body,
		"body cut off":                 ok + "Content-Length: 1000\r\n\r\n" + body,
		"header too long":              ok + strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 300) + "" + length + body,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			done := make(chan struct{})
			go func() {
				defer close(done)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, reply)
			}()
			e := exchanger.New()
			_, err = e.Exchange(t.Context(), listener.Addr().(*net.TCPAddr).AddrPort(), wire.Gossip{From: "self"})
			is.True(errors.Is(err, exchanger.ErrTransport))
			<-done
		})
	}
}
