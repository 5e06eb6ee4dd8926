// Package codec converts between the types of the replicated log and the messages of
// package wire, which are sent between instances and stored on disk.
package codec

import (
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// Messages returns list as wire messages.
func Messages(list []raft.Message) []*wire.LogMessage {
	out := make([]*wire.LogMessage, len(list))
	for i, m := range list {
		out[i] = &wire.LogMessage{
			Kind: uint32(m.Kind), From: m.From, To: m.To, FromName: m.FromName, ToName: m.ToName,
			Group: m.Group, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
			SentNanos: int64(m.Sent), Reject: m.Reject, Entries: Entries(m.Entries), Snapshot: Snapshot(m.Snapshot),
		}
	}
	return out
}

// ToMessages returns the wire messages of list as messages of the log.
func ToMessages(list []*wire.LogMessage) []raft.Message {
	out := make([]raft.Message, len(list))
	for i, m := range list {
		out[i] = raft.Message{
			Kind: raft.Kind(m.Kind), From: m.From, To: m.To, FromName: m.FromName, ToName: m.ToName,
			Group: m.Group, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
			Sent: time.Duration(m.SentNanos), Reject: m.Reject, Entries: ToEntries(m.Entries), Snapshot: ToSnapshot(m.Snapshot),
		}
	}
	return out
}

// Entries returns list as wire messages.
func Entries(list []raft.Entry) []*wire.LogEntry {
	out := make([]*wire.LogEntry, len(list))
	for i, e := range list {
		out[i] = &wire.LogEntry{
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Command: e.Command, Members: members(e.Members),
		}
	}
	return out
}

// ToEntries returns the wire messages of list as entries of the log.
func ToEntries(list []*wire.LogEntry) []raft.Entry {
	out := make([]raft.Entry, len(list))
	for i, e := range list {
		out[i] = raft.Entry{
			Index: e.Index, Term: e.Term, Kind: raft.EntryKind(e.Kind), Command: e.Command, Members: toMembers(e.Members),
		}
	}
	return out
}

// Snapshot returns s as a wire message, and nil for nil.
func Snapshot(s *raft.Snapshot) *wire.LogSnapshot {
	if s == nil {
		return nil
	}
	return &wire.LogSnapshot{Index: s.Index, Term: s.Term, Members: members(s.Members), State: s.State}
}

// ToSnapshot returns the wire message s as a snapshot, and nil for nil.
func ToSnapshot(s *wire.LogSnapshot) *raft.Snapshot {
	if s == nil {
		return nil
	}
	return &raft.Snapshot{Index: s.Index, Term: s.Term, Members: toMembers(s.Members), State: s.State}
}

// HardState returns h as a wire message, and nil for nil.
func HardState(h *raft.HardState) *wire.LogHardState {
	if h == nil {
		return nil
	}
	return &wire.LogHardState{Term: h.Term, Vote: h.Vote, Group: h.Group}
}

// ToHardState returns the wire message h as a hard state, and the zero HardState for
// nil.
func ToHardState(h *wire.LogHardState) raft.HardState {
	return raft.HardState{Term: h.GetTerm(), Vote: h.GetVote(), Group: h.GetGroup()}
}

func members(list []raft.Member) []*wire.LogMember {
	out := make([]*wire.LogMember, len(list))
	for i, m := range list {
		out[i] = &wire.LogMember{Name: m.Name, Identity: m.Identity, Voter: m.Voter}
	}
	return out
}

// toMembers returns the wire messages of list as members, and nil if list is empty.
func toMembers(list []*wire.LogMember) []raft.Member {
	if len(list) == 0 {
		return nil
	}
	out := make([]raft.Member, len(list))
	for i, m := range list {
		out[i] = raft.Member{Name: m.Name, Identity: m.Identity, Voter: m.Voter}
	}
	return out
}
