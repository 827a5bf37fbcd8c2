package forwarder

import (
	"context"
	"net"
	"net/netip"
)

type dialFunc func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// dialTCP opens a TCP connection to the local upstream.
func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", addr.String())
}
