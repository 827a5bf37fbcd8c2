package subscriber_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/subscriber"
)

// TestEndlessHandshake guards against a daemon that keeps a header without end in memory, sent by a process that has taken
// over the address of a controller.
func TestEndlessHandshake(t *testing.T) {
	const maxHeldBytes = 1 << 20
	runInFakeTime(t, func(ctx context.Context, t *testing.T) {
		var sent, longest atomic.Int64
		startSubscriber(ctx, t, nil, subscriber.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
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
				sent.Add(total)
				longest.Store(max(longest.Load(), total))
			}()
			return client, nil
		}))
		time.Sleep(time.Second)
		is := is.New(t)
		is.True(sent.Load() > 0)
		is.True(longest.Load() < maxHeldBytes)
	})
}
