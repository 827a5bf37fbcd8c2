package gossiper

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/wire"
)

// Option configures a gossiper.
type Option func(*Gossiper)

// WithSelf sets the daemon's own entry. A zero incarnation is replaced by the current time in milliseconds.
func WithSelf(m wire.Member) Option {
	return func(g *Gossiper) { g.self.Member = m }
}

// WithSeeds sets the addresses through which the daemon joins.
func WithSeeds(seeds []netip.AddrPort) Option {
	return func(g *Gossiper) { g.seeds = seeds }
}

// WithSend sets the function that sends a datagram. It must not block for long.
func WithSend(send func(to netip.AddrPort, data []byte) error) Option {
	return func(g *Gossiper) { g.send = send }
}

// WithExchange sets the function that sends a message to another daemon's Answer and returns the result.
func WithExchange(exchange func(ctx context.Context, to netip.AddrPort, msg wire.Gossip) (wire.Gossip, error)) Option {
	return func(g *Gossiper) { g.exchange = exchange }
}

// WithRand sets the random source. Only the goroutine of Run uses it.
func WithRand(r *rand.Rand) Option {
	return func(g *Gossiper) { g.rand = r }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(g *Gossiper) { g.log = log }
}
