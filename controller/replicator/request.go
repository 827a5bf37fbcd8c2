package replicator

import (
	"context"
	"fmt"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// requestKind says what a request asks for.
type requestKind int

const (
	requestPropose requestKind = iota
	requestRead
	requestLeave
)

// request is a call that waits for the goroutine of Run.
type request struct {
	kind requestKind
	ctx  context.Context
	cmd  wire.Command
	done chan response
}

// Propose replicates a command and returns its result after the leader has applied it.
//
// ErrOutcomeUnknown means that the command may be committed now or later: the caller may retry it, since commands are
// idempotent by their IDs. Without a leader Propose waits until the context ends.
func (r *Replicator) Propose(ctx context.Context, cmd wire.Command) (wire.Result, error) {
	cmd, err := compressCommand(cmd)
	if err != nil {
		return wire.Result{}, err
	}
	resp, err := r.call(&request{kind: requestPropose, ctx: ctx, cmd: cmd})
	if err != nil {
		return wire.Result{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if resp.err != nil || resp.data == nil {
		return resp.result, resp.err
	}
	var result wire.Result
	if err := encoder.Unmarshal(resp.data, &result); err != nil {
		return wire.Result{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
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

// Leave prepares a planned stop, before the context of Run ends. It transfers the leadership to another voter if this node
// leads, hands over the vote of this node to a learner, so that it no longer counts for the majority, and returns when that is
// committed. Without a learner the node keeps its vote, and Leave returns ErrNoSuccessor. Without a voter that can lead it
// returns ErrTransfer.
func (r *Replicator) Leave(ctx context.Context) error {
	resp, err := r.call(&request{kind: requestLeave, ctx: ctx})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoSuccessor, err)
	}
	return resp.err
}

func (r *Replicator) call(req *request) (response, error) {
	req.done = make(chan response, 1)
	select {
	case r.requests <- req:
	case <-req.ctx.Done():
		return response{}, context.Cause(req.ctx)
	case <-r.stopped:
		return response{}, ErrStopped
	}
	select {
	case resp := <-req.done:
		return resp, nil
	case <-req.ctx.Done():
		return response{}, context.Cause(req.ctx)
	case <-r.stopped:
		return response{}, ErrStopped
	}
}

// addRequest turns a request into input for the core.
func (r *Replicator) addRequest(in *input, req *request) {
	if req.kind == requestLeave {
		in.leave = true
		r.leaves = append(r.leaves, req)
		return
	}
	r.nextID++
	r.pending[r.nextID] = req
	if req.kind == requestRead {
		in.reads = append(in.reads, r.nextID)
		return
	}
	in.proposals = append(in.proposals, proposal{id: r.nextID, cmd: req.cmd})
}

func (r *Replicator) respond(resp response) {
	if req := r.pending[resp.id]; req != nil {
		delete(r.pending, resp.id)
		req.done <- resp
	}
}

// dropCancelled drops requests whose context has ended.
func (r *Replicator) dropCancelled(in *input) {
	for id, req := range r.pending {
		if req.ctx.Err() != nil {
			delete(r.pending, id)
			in.cancelled = append(in.cancelled, id)
		}
	}
}

func (r *Replicator) completeLeaves() {
	if len(r.leaves) == 0 || !r.core.leaveEnded() {
		return
	}
	var err error
	switch {
	case r.core.role == leader:
		err = ErrTransfer
	case r.core.leave.refused:
		err = ErrNoSuccessor
	}
	for _, req := range r.leaves {
		req.done <- response{err: err}
	}
	r.leaves = nil
}
