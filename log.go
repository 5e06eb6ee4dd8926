package snipefront

import "context"

// Log is a replicated log of commands that drives a StateMachine.
type Log interface {
	// Propose appends command and returns the result of applying it, once the
	// command is durable on a quorum. After an error the command may or may not be
	// applied. Commands are idempotent, so the caller may propose it again.
	// Propose returns ErrNotLeader if this instance does not lead.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Leadership returns who leads, as far as this instance knows.
	Leadership() Leadership
}

// Leadership says who leads the log, as far as one instance knows.
type Leadership struct {
	// Leader is the name of the leading instance, or empty if none is known.
	Leader string
	// Self is true if this instance leads and a quorum has confirmed this so
	// recently that no other instance can have been elected since.
	Self bool
	// Term grows with each election.
	Term uint64
}

// StateMachine is the deterministic state machine that a Log drives. The Log calls it
// from one goroutine.
type StateMachine interface {
	// Apply applies the command at index and returns its result. It depends only on
	// its arguments and the state, never on time or randomness.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

type notLeader struct{}

// Error implements error.
func (notLeader) Error() string { return "this instance does not lead the log" }

// ErrNotLeader is returned by a Log whose instance does not lead.
var ErrNotLeader error = notLeader{}
