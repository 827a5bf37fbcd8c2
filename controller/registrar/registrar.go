// Package registrar implements the replicated state machine. Its state is the batches, the results of changes, the claims and
// the departures of upstreams.
package registrar

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// ErrState reports a state that cannot be saved or restored.
var ErrState = errors.New("invalid saved state")

// Registrar applies commands in log order.
//
// Apply, Save and Restore must be called from one goroutine. View and Departures may be called from any goroutine.
type Registrar struct {
	version       uint64
	clock         int64
	batches       map[string]wire.Batch
	tombstones    []wire.Tombstone
	changeResults *changeResults
	grants        *grants
	departures    departures
	view          atomic.Pointer[View]
}

// New returns an empty registrar.
func New() *Registrar {
	r := &Registrar{batches: map[string]wire.Batch{}, changeResults: newChangeResults(), grants: newGrants()}
	r.view.Store(newView(r, nil))
	return r
}

// Apply runs one command and returns its result. It is deterministic: the same commands in the same order give the same
// state.
func (r *Registrar) Apply(cmd wire.Command) wire.Result {
	// The clock must not go back, or a claim could be pruned while its key still counts as recent.
	r.clock = max(r.clock, cmd.At)
	r.changeResults.prune(r.clock)
	r.grants.prune(r.clock)
	r.departures.prune(r.clock)
	switch {
	case cmd.Change != nil:
		return r.change(*cmd.Change)
	case cmd.Expire:
		return r.expire()
	case cmd.Claim != nil:
		return verdictResult(r.grants.claim(*cmd.Claim, r.clock))
	case cmd.Release != nil:
		return verdictResult(r.grants.release(*cmd.Release, r.clock))
	case cmd.Finish != nil:
		return verdictResult(r.grants.finish(*cmd.Finish))
	case cmd.Leave != nil:
		return verdictResult(r.departures.record(*cmd.Leave, r.clock))
	}
	return wire.Result{Code: presenter.CodeInvalid, Error: "empty command"}
}

// Save returns the encoded state.
func (r *Registrar) Save() ([]byte, error) {
	state := wire.State{
		Version:    r.version,
		Clock:      r.clock,
		Batches:    sortedBatches(r.batches),
		Tombstones: r.tombstones,
		Answers:    r.changeResults.list,
		Grants:     r.grants.list(),
		Leaves:     r.departures.all(),
	}
	data, err := encoder.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	return data, nil
}

// Restore replaces the state with a saved one.
func (r *Registrar) Restore(data []byte) error {
	var state wire.State
	if err := encoder.UnmarshalState(data, &state); err != nil {
		return fmt.Errorf("%w: %v", ErrState, err)
	}
	r.version, r.clock, r.tombstones = state.Version, state.Clock, state.Tombstones
	r.batches = make(map[string]wire.Batch, len(state.Batches))
	for _, b := range state.Batches {
		r.batches[b.Name] = b
	}
	r.changeResults = newChangeResults(state.Answers...)
	r.grants = newGrants(state.Grants...)
	r.departures.restore(state.Leaves)
	r.publishView()
	return nil
}

// View returns the batches after the last change that was applied.
func (r *Registrar) View() *View {
	return r.view.Load()
}

// Departures returns the departures of the upstreams of a VM, by the name of its daemon.
func (r *Registrar) Departures(daemon string) []wire.Departure {
	return r.departures.of(daemon)
}

func (r *Registrar) publishView() {
	old := r.view.Load()
	r.view.Store(newView(r, old))
	close(old.changed)
}

func verdictResult(v wire.Verdict) wire.Result {
	return wire.Result{Verdict: &v}
}

func millis(d time.Duration) int64 {
	return d.Milliseconds()
}
