package messenger_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"bluebellhoist/controller/messenger"
	"bluebellhoist/core/wire"
)

// TestEndlessHandshake guards against a controller that keeps a header without end in memory, sent by a process that has
// taken over the address of another controller.
func TestEndlessHandshake(t *testing.T) {
	const maxHeldBytes = 1 << 20
	synctest.Test(t, func(t *testing.T) {
		totals := make(chan int64, 1)
		m := messenger.New(messenger.WithDial(func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer server.Close()
				_, _ = server.Read(make([]byte, 4<<10))
				var total int64
				for text := "HTTP/1.1 101 Switching Protocols\r\n"; ; text = "A: " + strings.Repeat("x", 1000) + "\r\n" {
					n, err := io.WriteString(server, text)
					total += int64(n)
					if err != nil {
						break
					}
				}
				select {
				case totals <- total:
				default:
				}
			}()
			return client, nil
		}))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		m.Send(netip.MustParseAddrPort("10.0.0.1:1"), wire.Packet{})
		total := <-totals
		cancel()
		<-done
		is := is.New(t)
		is.True(total > 0)
		is.True(total < maxHeldBytes)
	})
}
