package gossiper

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/wire"
)

// Option configures a gossiper.
type Option func(*Gossiper)

// WithSelf sets the own entry. A zero incarnation is replaced by the current time in milliseconds.
func WithSelf(m wire.Member) Option {
	return func(g *Gossiper) { g.self.Member = m }
}

// WithSeeds sets the seed addresses, which the member uses to join and to reconnect after a partition.
func WithSeeds(seeds []netip.AddrPort) Option {
	return func(g *Gossiper) { g.seeds = seeds }
}

// WithSend sets the function that sends a datagram. It must not block for long.
func WithSend(send func(to netip.AddrPort, data []byte) error) Option {
	return func(g *Gossiper) { g.send = send }
}

// WithExchange sets the function that passes a message to HandleExchange of another member and returns the reply.
func WithExchange(exchange func(ctx context.Context, to netip.AddrPort, msg wire.Gossip) (wire.Gossip, error)) Option {
	return func(g *Gossiper) { g.exchange = exchange }
}

// WithDeparted sets the function that receives a departure of the own entry that other members remember and this one did not
// know. It must not block.
func WithDeparted(departed func(wire.Departure)) Option {
	return func(g *Gossiper) { g.departed = departed }
}

// WithRandom sets the random source. Only the goroutine of Run uses it.
func WithRandom(r *rand.Rand) Option {
	return func(g *Gossiper) { g.rand = r }
}

// WithRetention sets how long dead and left members are kept, by default 24 h and 1 h.
//
// Reconnects go only to known members and seeds, so dead must exceed the longest expected partition. An entry that expires
// here while another member still considers it alive would reappear for a few seconds, so left must exceed the time
// in which every member probes every other member.
func WithRetention(dead, left time.Duration) Option {
	return func(g *Gossiper) { g.deadRetention, g.leftRetention = dead, left }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(g *Gossiper) { g.log = log }
}
