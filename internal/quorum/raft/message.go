package raft

import "time"

// Kind says what a Message is.
type Kind uint8

// The kinds of messages.
const (
	// Join is sent by a replica without a configuration or without a leader. It
	// goes to an instance, whatever the identity of its disk.
	Join Kind = iota + 1
	// JoinReply is the answer of a replica that belongs to no group either.
	JoinReply
	// PreVote asks whether a Vote would be granted.
	PreVote
	PreVoteReply
	Vote
	VoteReply
	// Append carries entries after Index and Term.
	Append
	AppendReply
	// Heartbeat asserts leadership. Its reply echoes Sent.
	Heartbeat
	HeartbeatReply
	// Install carries a snapshot.
	Install
)

// Reply returns whether a message of kind k answers another.
func (k Kind) Reply() bool {
	switch k {
	case JoinReply, PreVoteReply, VoteReply, AppendReply, HeartbeatReply:
		return true
	default:
		return false
	}
}

// Message goes from one replica to another.
type Message struct {
	Kind Kind
	// From and To are identities of disks. To is empty for a Join only.
	From string
	To   string
	// FromName and ToName are the names of the instances.
	FromName string
	ToName   string
	// Group is the group that the sender belongs to.
	Group string
	// Term is the sender's term, or the term asked for in a PreVote and in the
	// reply that grants it.
	Term uint64
	// Index and LogTerm name the entry before Entries, the last entry of a
	// candidate, the last entry that a reply confirms, or where it rejects, the
	// entry from which the leader may go on.
	Index   uint64
	LogTerm uint64
	// Commit is the leader's commit index.
	Commit uint64
	// Sent is the leader's own clock, echoed by the reply.
	Sent time.Duration
	// Reject is true where a vote is refused or entries do not fit.
	Reject   bool
	Entries  []Entry
	Snapshot *Snapshot
}

// EntryKind says what an Entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// Command is for the machine that the log drives.
	Command EntryKind = iota
	// Empty is what a leader appends when it is elected.
	Empty
	// Change holds a configuration, which counts from when it is appended.
	Change
)

// Entry is one place of the log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Command []byte
	// Members is set for a Change.
	Members []Member
}

// Member is a replica of the group.
type Member struct {
	// Name is the instance. It is unique in a configuration.
	Name string
	// Identity is that of the disk.
	Identity string
	// Voter is false for a learner, which holds the log but does not count.
	Voter bool
}

// HardState is what a replica must not forget.
type HardState struct {
	Term uint64
	// Vote is the identity voted for in Term.
	Vote string
	// Group is empty until the replica hears from a group. It never changes
	// after that.
	Group string
}

// Snapshot is the state of the machine after the entry at Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	State   []byte
}

// Ready is what the driver must do: send Before, save Hard, Snapshot and
// Entries in one step, call Synced, send After, then restore Snapshot and apply
// Committed.
type Ready struct {
	Before []Message
	// Hard is nil where it has not changed.
	Hard *HardState
	// Snapshot is nil, or a received snapshot that replaces the log up to it.
	Snapshot *Snapshot
	// Entries replace those with the same or higher index.
	Entries []Entry
	// After promises that what is above has been saved.
	After     []Message
	Committed []Entry
}

// Empty returns whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Before) == 0 && r.Hard == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.After) == 0 && len(r.Committed) == 0
}
