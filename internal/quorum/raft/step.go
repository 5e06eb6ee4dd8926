package raft

import "time"

// Step takes in a message.
func (r *Replica) Step(now time.Time, m Message) {
	r.now = now
	switch {
	case m.Kind == Join:
		r.stepJoin(m)
	case m.To != r.Identity:
	case m.Kind == JoinReply:
		r.stepJoinReply(now, m)
	case m.Group == "" || r.hard.Group != "" && r.hard.Group != m.Group:
	default:
		r.stepGroup(now, m)
	}
}

// stepGroup takes in a message of the group.
func (r *Replica) stepGroup(now time.Time, m Message) {
	if r.hard.Group == "" {
		r.hard.Group = m.Group
		r.dirty = true
	}
	if m.Term > r.hard.Term && !r.meetTerm(now, m) {
		return
	}
	if m.Term < r.hard.Term {
		r.rejectOld(m)
		return
	}
	switch m.Kind {
	case PreVote:
		r.stepPreVote(now, m)
	case Vote:
		r.stepVote(now, m)
	case PreVoteReply, VoteReply:
		r.stepVoteReply(now, m)
	case Append, Heartbeat, Install:
		r.stepLeader(now, m)
	case AppendReply, HeartbeatReply:
		r.stepAnswer(now, m)
	}
}

// meetTerm takes over a later term, where the message is a reason to. It returns
// whether the message is to be looked at further.
func (r *Replica) meetTerm(now time.Time, m Message) bool {
	switch {
	case m.Kind == PreVote:
		return true
	case m.Kind == PreVoteReply && !m.Reject:
		return true
	case m.Kind == Vote && r.sticky(now):
		return false
	}
	r.follow(m.Term, "")
	return true
}

// rejectOld tells the sender of an earlier term that it is behind.
func (r *Replica) rejectOld(m Message) {
	reply := Message{To: m.From, ToName: m.FromName, Term: r.hard.Term, Reject: true}
	switch m.Kind {
	case PreVote:
		reply.Kind = PreVoteReply
	case Vote:
		reply.Kind = VoteReply
	case Append, Heartbeat, Install:
		reply.Kind = AppendReply
	default:
		return
	}
	r.send(reply, true)
}

// follow makes the replica a follower in term.
func (r *Replica) follow(term uint64, leader string) {
	if term > r.hard.Term {
		r.hard.Term = term
		r.hard.Vote = ""
		r.dirty = true
	}
	r.role = follower
	r.leader = leader
	r.peers = nil
	r.votes = nil
}

// stepLeader takes in a message of the leader of this term.
func (r *Replica) stepLeader(now time.Time, m Message) {
	if r.role == leading {
		return
	}
	r.follow(m.Term, m.From)
	r.heard = now
	r.resetDeadline(now)
	switch m.Kind {
	case Append:
		r.stepAppend(m)
	case Install:
		r.stepInstall(m)
	case Heartbeat:
		r.commitTo(min(m.Commit, r.log.last()))
		r.send(Message{Kind: HeartbeatReply, To: m.From, ToName: m.FromName, Term: r.hard.Term, Sent: m.Sent}, true)
	}
}

func (r *Replica) stepAppend(m Message) {
	reply := Message{Kind: AppendReply, To: m.From, ToName: m.FromName, Term: r.hard.Term, Sent: m.Sent}
	if m.Index < r.commit {
		m = skip(m, r.commit)
	}
	if !r.log.matches(m.Index, m.LogTerm) && m.Index != r.commit {
		reply.Reject = true
		reply.Index, reply.LogTerm = r.log.backtrack(m.Index, m.LogTerm)
		r.send(reply, true)
		return
	}
	for i, e := range m.Entries {
		if r.log.matches(e.Index, e.Term) {
			continue
		}
		r.cut(e.Index - 1)
		r.log.entries = append(r.log.entries, m.Entries[i:]...)
		r.note(m.Entries[i:])
		break
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, reply.Index))
	r.send(reply, true)
}

// skip returns m without the entries up to index, which are committed.
func skip(m Message, index uint64) Message {
	n := min(index-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[n:]
	m.Index = index
	return m
}

// cut drops the entries after index, which no quorum has.
func (r *Replica) cut(index uint64) {
	r.log.truncate(index)
	r.saved = min(r.saved, index)
	r.synced = min(r.synced, index)
	for n := len(r.changes) - 1; n > 0 && r.changes[n].index > index; n-- {
		r.changes = r.changes[:n]
	}
}

func (r *Replica) stepInstall(m Message) {
	s := m.Snapshot
	reply := Message{Kind: AppendReply, To: m.From, ToName: m.FromName, Term: r.hard.Term, Sent: m.Sent}
	if s.Index > r.commit {
		r.snapshot = *s
		r.received = s
		r.log = history{offset: s.Index, offsetTerm: s.Term}
		r.changes = []change{{index: s.Index, members: s.Members}}
		r.commit, r.applied, r.saved, r.synced = s.Index, s.Index, s.Index, s.Index
	}
	reply.Index = max(s.Index, r.commit)
	r.send(reply, true)
}

func (r *Replica) commitTo(index uint64) {
	r.commit = max(r.commit, index)
}
