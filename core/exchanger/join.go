package exchanger

import (
	"context"
	"net"
	"net/netip"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/gossiper"
	"bluebellhoist/core/wire"
)

// Place is where a member opens its sockets.
type Place struct {
	Bind netip.AddrPort // of the datagram socket
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Join opens the datagram socket of a member and returns the two halves of its gossip, which Run starts.
func Join(self wire.Member, at Place, seeds []netip.AddrPort, log hclog.Logger) (*Exchanger, *gossiper.Gossiper, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at.Bind))
	if err != nil {
		return nil, nil, err
	}
	var g *gossiper.Gossiper
	e := New(
		WithConn(conn),
		WithDial(at.Dial),
		WithDeliver(func(from netip.AddrPort, data []byte) { g.Deliver(from, data) }),
		WithAnswer(func(msg wire.Gossip) wire.Gossip { return g.Answer(msg) }),
		WithLogger(log.Named("exchanger")),
	)
	g = gossiper.New(
		gossiper.WithSelf(self),
		gossiper.WithSeeds(seeds),
		gossiper.WithSend(e.Send),
		gossiper.WithExchange(e.Exchange),
		gossiper.WithLogger(log.Named("gossiper")),
	)
	return e, g, nil
}
