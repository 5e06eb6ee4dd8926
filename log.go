package snipefront

import "context"

// Log is a replicated log of commands that drives a Machine.
type Log interface {
	// Propose appends command and returns the result of its application once it
	// is durable on a quorum. After an error the command may or may not be
	// applied; commands are idempotent, so the caller may propose it again.
	// It returns ErrNotLeader where another instance leads.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Leadership returns who leads, as this instance knows it.
	Leadership() Leadership
}

// Leadership is a view of who leads the log.
type Leadership struct {
	// Leader is the name of the leading instance, or empty where none is known.
	Leader string
	// Self is true where this instance leads and a quorum has confirmed it so
	// recently that no other instance can have been elected since.
	Self bool
	// Term grows with each election.
	Term uint64
}

// Machine is the deterministic state that a Log drives. The Log calls it from
// one goroutine.
type Machine interface {
	// Apply applies the command at index and returns its result. It never
	// depends on time, chance or anything but the state and the command.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

type notLeader struct{}

// Error returns a fixed text.
func (notLeader) Error() string { return "this instance does not lead the log" }

// ErrNotLeader is returned by a Log whose instance does not lead.
var ErrNotLeader error = notLeader{}
