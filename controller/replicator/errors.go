package replicator

import "errors"

var (
	// ErrOutcomeUnknown reports a proposal that may or may not be committed. The caller may retry it with the same ID.
	ErrOutcomeUnknown = errors.New("outcome of the proposal is unknown")
	// ErrTooLarge reports a command that is too large for one entry.
	ErrTooLarge = errors.New("command is too large")
	// ErrUnavailable reports a barrier that was not confirmed by a majority in time.
	ErrUnavailable = errors.New("no majority confirmed the read")
	// ErrTransfer reports that leadership was not transferred to another voter.
	ErrTransfer = errors.New("leadership was not transferred")
	// ErrNoSuccessor reports that no other node has taken over the vote of this one, which thus still counts.
	ErrNoSuccessor = errors.New("vote was not handed over")
	// ErrStopped reports a call on a replicator that has stopped.
	ErrStopped = errors.New("replicator has stopped")
	// ErrStorage reports that the durable state could not be written. The node must stop.
	ErrStorage = errors.New("durable state could not be written")
	// ErrState reports that the state machine could not be saved or restored.
	ErrState = errors.New("state machine could not be saved or restored")
	// ErrInvariant reports a violated invariant of the replicated log, or a command that cannot be encoded or decoded.
	ErrInvariant = errors.New("replicated log invariant is violated")
)
