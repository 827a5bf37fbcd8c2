package exchanger

import (
	"context"
	"net"
	"net/netip"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/gossiper"
	"bluebellhoist/core/wire"
)

// SocketConfig configures the sockets of a member.
type SocketConfig struct {
	Bind netip.AddrPort                                                    // local address of the UDP socket
	Dial func(ctx context.Context, network, addr string) (net.Conn, error) // opens connections for exchanges
}

// Join opens the UDP socket of a member and returns its transport and its gossiper, connected to each other. The caller
// must run both.
func Join(self wire.Member, sockets SocketConfig, seeds []netip.AddrPort, log hclog.Logger,
	opts ...gossiper.Option) (*Exchanger, *gossiper.Gossiper, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(sockets.Bind))
	if err != nil {
		return nil, nil, err
	}
	var g *gossiper.Gossiper
	e := New(
		WithConn(conn),
		WithDial(sockets.Dial),
		WithDeliver(func(from netip.AddrPort, data []byte) { g.Deliver(from, data) }),
		WithReply(func(msg wire.Gossip) wire.Gossip { return g.HandleExchange(msg) }),
		WithLogger(log.Named("exchanger")),
	)
	g = gossiper.New(append([]gossiper.Option{
		gossiper.WithSelf(self),
		gossiper.WithSeeds(seeds),
		gossiper.WithSend(e.Send),
		gossiper.WithExchange(e.Exchange),
		gossiper.WithLogger(log.Named("gossiper")),
	}, opts...)...)
	return e, g, nil
}
