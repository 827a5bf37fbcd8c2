package replicator

import (
	"context"
	"fmt"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

type requestKind int

const (
	requestPropose requestKind = iota
	requestRead
	requestTransfer
)

// request is a call that waits for the control goroutine.
type request struct {
	kind requestKind
	ctx  context.Context
	cmd  wire.Command
	done chan answer
}

// Propose replicates a command and returns its result after it was applied on the leader.
//
// ErrUnknown means that the command may be committed now or later: the caller may repeat it, since commands are
// idempotent by their ids. Without a leader Propose waits until the context ends.
func (r *Replicator) Propose(ctx context.Context, cmd wire.Command) (wire.Result, error) {
	cmd, err := packCommand(cmd)
	if err != nil {
		return wire.Result{}, err
	}
	a, err := r.call(&request{kind: requestPropose, ctx: ctx, cmd: cmd})
	if err != nil {
		return wire.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if a.err != nil || a.data == nil {
		return a.result, a.err
	}
	var result wire.Result
	if err := encoder.Unmarshal(a.data, &result); err != nil {
		return wire.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return result, nil
}

// Barrier returns after this node has applied every command that was acknowledged before the call.
func (r *Replicator) Barrier(ctx context.Context) error {
	if _, err := r.call(&request{kind: requestRead, ctx: ctx}); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// Transfer hands leadership to another voter and returns when this node does not lead. It is for a planned stop, before
// the context of Run ends.
func (r *Replicator) Transfer(ctx context.Context) error {
	a, err := r.call(&request{kind: requestTransfer, ctx: ctx})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTransfer, err)
	}
	return a.err
}

func (r *Replicator) call(q *request) (answer, error) {
	q.done = make(chan answer, 1)
	select {
	case r.requests <- q:
	case <-q.ctx.Done():
		return answer{}, context.Cause(q.ctx)
	case <-r.stopped:
		return answer{}, ErrStopped
	}
	select {
	case a := <-q.done:
		return a, nil
	case <-q.ctx.Done():
		return answer{}, context.Cause(q.ctx)
	case <-r.stopped:
		return answer{}, ErrStopped
	}
}

// add turns a request into input for the core.
func (r *Replicator) add(in *input, q *request) {
	if q.kind == requestTransfer {
		in.transfer = true
		r.transfer = append(r.transfer, q)
		return
	}
	r.nextID++
	r.waiters[r.nextID] = q
	if q.kind == requestRead {
		in.reads = append(in.reads, r.nextID)
		return
	}
	in.proposals = append(in.proposals, proposal{id: r.nextID, cmd: q.cmd})
}

func (r *Replicator) finish(a answer) {
	if q := r.waiters[a.id]; q != nil {
		delete(r.waiters, a.id)
		q.done <- a
	}
}

// dropCancelled forgets requests whose callers are gone.
func (r *Replicator) dropCancelled(in *input) {
	for id, q := range r.waiters {
		if q.ctx.Err() != nil {
			delete(r.waiters, id)
			in.cancels = append(in.cancels, id)
		}
	}
}

func (r *Replicator) endTransfers() {
	var err error
	switch {
	case len(r.transfer) == 0 || r.core.role == leader && r.core.target != "":
		return
	case r.core.role == leader:
		err = ErrTransfer
	}
	for _, q := range r.transfer {
		q.done <- answer{err: err}
	}
	r.transfer = nil
}
