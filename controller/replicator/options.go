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

// WithStore sets the data folder, which must be open. The caller closes it after Run has returned.
func WithStore(store *storer.Storer) Option {
	return func(r *Replicator) { r.store = store }
}

// WithNode sets the name, failure domain and address of the node, and whether it should vote. Its ID comes from the
// data folder.
func WithNode(node wire.Node) Option {
	return func(r *Replicator) { r.self = node }
}

// WithSeeds sets the addresses of controllers to join through.
func WithSeeds(seeds []netip.AddrPort) Option {
	return func(r *Replicator) { r.seeds = seeds }
}

// WithVoters sets the number of voters that are kept although they are silent, or leave without a learner that takes their
// place, and the largest number of voters; 0 means no limit. Further nodes stay learners until a voter is lost.
func WithVoters(minVoters, maxVoters int) Option {
	return func(r *Replicator) { r.minVoters, r.maxVoters = minVoters, maxVoters }
}

// WithSend sets the function that sends a packet. It must not block and may lose packets.
func WithSend(send func(to netip.AddrPort, p wire.Packet)) Option {
	return func(r *Replicator) { r.send = send }
}

// WithApply sets the function that applies a committed command. It runs on the goroutine of Run.
func WithApply(apply func(index uint64, cmd wire.Command) wire.Result) Option {
	return func(r *Replicator) { r.apply = apply }
}

// WithSave sets the function that encodes the state of the state machine. It runs on the goroutine of Run, between two
// commands.
func WithSave(save func() ([]byte, error)) Option {
	return func(r *Replicator) { r.save = save }
}

// WithRestore sets the function that replaces the state with a saved one. It runs on the goroutine of Run.
func WithRestore(restore func([]byte) error) Option {
	return func(r *Replicator) { r.restore = restore }
}

// WithMembership sets the function that gets each membership as it takes effect on this node. If skipped is true, this node may
// have missed other memberships since the last one: it has started from a checkpoint or installed one. The function runs on
// the goroutine of Run.
func WithMembership(membership func(nodes []wire.Node, skipped bool)) Option {
	return func(r *Replicator) { r.membership = membership }
}

// WithRandom sets the random source for election timeouts and request IDs. Request IDs must not repeat after a restart,
// so the source needs a different seed after each restart.
func WithRandom(source *rand.Rand) Option {
	return func(r *Replicator) { r.rand = source }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(r *Replicator) { r.log = log }
}
