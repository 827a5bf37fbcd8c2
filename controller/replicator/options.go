package replicator

import (
	"math/rand/v2"
	"net/netip"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/controller/storer"
	"bluebellhoist/core/wire"
)

// Option configures a replicator.
type Option func(*Replicator)

// WithStore sets the opened data folder. The caller closes it after Run has returned.
func WithStore(store *storer.Storer) Option {
	return func(r *Replicator) { r.store = store }
}

// WithNode sets name, failure domain, address and the wish to vote. The identity comes from the data folder.
func WithNode(node wire.Node) Option {
	return func(r *Replicator) { r.self = node }
}

// WithSeeds sets the addresses of other controllers.
func WithSeeds(seeds []netip.AddrPort) Option {
	return func(r *Replicator) { r.seeds = seeds }
}

// WithSeats limits the number of voters. Further nodes wait as learners until a voter is lost.
func WithSeats(seats int) Option {
	return func(r *Replicator) { r.seats = seats }
}

// WithSend sets the function that sends a packet. It must not block and may lose packets.
func WithSend(send func(to netip.AddrPort, p wire.Packet)) Option {
	return func(r *Replicator) { r.send = send }
}

// WithApply sets the function that applies a committed command. It runs on the control goroutine.
func WithApply(apply func(index uint64, cmd wire.Command) wire.Result) Option {
	return func(r *Replicator) { r.apply = apply }
}

// WithSave sets the function that encodes the state. It runs on the control goroutine between two commands.
func WithSave(save func() ([]byte, error)) Option {
	return func(r *Replicator) { r.save = save }
}

// WithRestore sets the function that replaces the state by a saved one. It runs on the control goroutine.
func WithRestore(restore func([]byte) error) Option {
	return func(r *Replicator) { r.restore = restore }
}

// WithRandom sets the source of election timeouts and request numbers. Request numbers must not repeat after a restart,
// so the source must differ each time.
func WithRandom(source *rand.Rand) Option {
	return func(r *Replicator) { r.rand = source }
}

// WithLogger sets the log.
func WithLogger(log hclog.Logger) Option {
	return func(r *Replicator) { r.log = log }
}
