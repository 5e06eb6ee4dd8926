package raft

import "time"

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages.
const (
	// Join asks to become a member. A replica without a configuration or without a
	// leader sends it to an instance, whatever the identity of its disk.
	Join Kind = iota + 1
	// JoinReply is the answer of a replica that belongs to no group either, or, in an
	// open group, of a member that does not lead. Such a member lists all members
	// in Entries, and a replica without a group the seeds of the first start, if its disk
	// was there.
	JoinReply
	// PreVote asks whether a Vote would be granted.
	PreVote
	PreVoteReply
	Vote
	VoteReply
	// Append carries the entries after the one at Index, whose term is LogTerm.
	Append
	AppendReply
	// Heartbeat keeps followers from starting an election, and carries the commit
	// index. Its reply echoes Sent.
	Heartbeat
	HeartbeatReply
	// InstallSnapshot carries a snapshot. An AppendReply answers it.
	InstallSnapshot
	// Leave tells the leader of an open group that the process of a voter is about to end.
	// A LeaveReply answers it once the voter is removed, or can't be.
	Leave
	LeaveReply
)

// IsReply reports whether a message of kind k answers another one.
func (k Kind) IsReply() bool {
	switch k {
	case JoinReply, PreVoteReply, VoteReply, AppendReply, HeartbeatReply, LeaveReply:
		return true
	default:
		return false
	}
}

// Message goes from one replica to another.
type Message struct {
	Kind Kind
	// From and To are identities of disks. To is empty in a Join only.
	From string
	To   string
	// FromName and ToName are the names of the instances.
	FromName string
	ToName   string
	// Group is the group that the sender belongs to, or empty if there is none.
	Group string
	// Term is the sender's term. In a PreVote and a reply that grants it, it is the
	// term of the intended election.
	Term uint64
	// Index and LogTerm are the index and term of an entry: in an Append the one
	// before Entries, in a PreVote or Vote the last one of the candidate, in a reply
	// that rejects an Append the last one that may match the leader's log. In an
	// AppendReply that accepts, Index is the last entry up to which the log is saved
	// and matches the leader's.
	Index   uint64
	LogTerm uint64
	// Commit is the leader's commit index.
	Commit uint64
	// Sent is when a Heartbeat or Join was sent, as the time since its sender
	// started. The reply echoes it.
	Sent time.Duration
	// Reject is set in a reply that refuses a vote, entries that do not match the
	// log, a message of an earlier term, or the removal of a voter that leaves.
	Reject   bool
	Entries  []Entry
	Snapshot *Snapshot
}

// EntryKind is the kind of an Entry.
type EntryKind uint8

// The kinds of entries.
const (
	// Command holds a command for the machine that the log drives.
	Command EntryKind = iota
	// NoOp holds nothing. A leader appends it when it is elected.
	NoOp
	// ConfigChange holds a configuration, which applies as soon as it is appended.
	ConfigChange
)

// Entry is an entry of the log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Command []byte
	// Members is set for a ConfigChange.
	Members []Member
}

// Member is a replica of the group.
type Member struct {
	// Name is the name of the instance. It is unique in a configuration.
	Name string
	// Identity is the identity of the disk.
	Identity string
	// Voter is false for a learner, which receives the log but counts in no quorum.
	Voter bool
}

// HardState is the state that a replica must save before it sends messages that rely
// on it.
type HardState struct {
	Term uint64
	// Vote is the identity voted for in Term.
	Vote string
	// Group is empty until the replica receives a message of a group or starts one.
	// It never changes after that.
	Group string
}

// Snapshot is the state of the driven machine after the entry at Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	State   []byte
}

// Ready is what the driver must do, in this order: send Before, save Hard, Snapshot
// and Entries in one step, call Synced, send After, restore Snapshot, and apply
// Committed.
type Ready struct {
	Before []Message
	// Hard is nil if it has not changed.
	Hard *HardState
	// Snapshot is nil, or a received snapshot that replaces the whole log.
	Snapshot *Snapshot
	// Entries replace all saved entries from the index of the first one on.
	Entries []Entry
	// Commit is the commit index. All entries up to it are in the log once Entries are
	// saved. It may be saved with them, and alone needs no save.
	Commit uint64
	// After are messages that rely on what is above being saved.
	After     []Message
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Before) == 0 && r.Hard == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.After) == 0 && len(r.Committed) == 0
}
