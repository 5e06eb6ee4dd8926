package raft

import "time"

// Step handles the message m, which arrived at the time now.
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

// stepGroup handles a message of this replica's group. A replica without a group
// adopts that of the message.
func (r *Replica) stepGroup(now time.Time, m Message) {
	if r.hard.Group == "" {
		r.hard.Group = m.Group
		r.hardChanged = true
	}
	if m.Term > r.hard.Term && !r.handleLaterTerm(now, m) {
		return
	}
	if m.Term < r.hard.Term {
		r.rejectEarlierTerm(m)
		return
	}
	switch m.Kind {
	case PreVote:
		r.stepPreVote(now, m)
	case Vote:
		r.stepVote(now, m)
	case PreVoteReply, VoteReply:
		r.stepVoteReply(now, m)
	case Append, Heartbeat, InstallSnapshot:
		r.stepFromLeader(now, m)
	case AppendReply, HeartbeatReply:
		r.stepReply(now, m)
	case Leave:
		r.stepLeave(now, m)
	case LeaveReply:
		r.hasLeft, r.leaveRefused = r.leaves, m.Reject
	}
}

// handleLaterTerm adopts the later term of m, except for a PreVote or a reply that
// grants one, which begin no term, and for a Vote that this replica must refuse. It
// reports whether m is to be handled further.
func (r *Replica) handleLaterTerm(now time.Time, m Message) bool {
	switch {
	case m.Kind == PreVote:
		return true
	case m.Kind == PreVoteReply && !m.Reject:
		return true
	case m.Kind == Vote && r.refusesVotes(now):
		return false
	}
	r.becomeFollower(m.Term, "")
	return true
}

// rejectEarlierTerm answers a message of an earlier term with the current term.
func (r *Replica) rejectEarlierTerm(m Message) {
	reply := Message{To: m.From, ToName: m.FromName, Term: r.hard.Term, Reject: true}
	switch m.Kind {
	case PreVote:
		reply.Kind = PreVoteReply
	case Vote:
		reply.Kind = VoteReply
	case Append, Heartbeat, InstallSnapshot:
		reply.Kind = AppendReply
	default:
		return
	}
	r.send(reply, true)
}

// becomeFollower makes the replica a follower of leader in term. An empty leader is
// unknown.
func (r *Replica) becomeFollower(term uint64, leader string) {
	if term > r.hard.Term {
		r.hard.Term = term
		r.hard.Vote = ""
		r.hardChanged = true
	}
	r.role = follower
	r.leader = leader
	r.peers = nil
	r.leaving = nil
	r.votes = nil
}

// stepFromLeader handles a message of the leader of this term.
func (r *Replica) stepFromLeader(now time.Time, m Message) {
	if r.role == leader {
		return
	}
	r.becomeFollower(m.Term, m.From)
	r.noteLeaderContact(now, m.From)
	r.hadLeader = true
	r.resetElectionDeadline(now)
	switch m.Kind {
	case Append:
		r.stepAppend(m)
	case InstallSnapshot:
		r.stepInstallSnapshot(m)
	case Heartbeat:
		r.commitTo(min(m.Commit, r.log.last()))
		r.send(Message{Kind: HeartbeatReply, To: m.From, ToName: m.FromName, Term: r.hard.Term, Sent: m.Sent}, true)
	}
}

func (r *Replica) stepAppend(m Message) {
	reply := Message{Kind: AppendReply, To: m.From, ToName: m.FromName, Term: r.hard.Term, Sent: m.Sent}
	if m.Index < r.commit {
		m = skipCommitted(m, r.commit)
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
		r.truncateLog(e.Index - 1)
		r.log.entries = append(r.log.entries, m.Entries[i:]...)
		r.recordConfigurations(m.Entries[i:])
		break
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, reply.Index))
	r.send(reply, true)
}

// skipCommitted returns m without the entries up to index, which are committed and so
// match the leader's. LogTerm stays the term of the earlier Index.
func skipCommitted(m Message, index uint64) Message {
	n := min(index-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[n:]
	m.Index = index
	return m
}

// truncateLog drops the entries after index, which are not committed, and their
// configurations.
func (r *Replica) truncateLog(index uint64) {
	r.log.truncate(index)
	r.taken = min(r.taken, index)
	r.synced = min(r.synced, index)
	for n := len(r.configurations) - 1; n > 0 && r.configurations[n].index > index; n-- {
		r.configurations = r.configurations[:n]
	}
}

func (r *Replica) stepInstallSnapshot(m Message) {
	s := m.Snapshot
	reply := Message{Kind: AppendReply, To: m.From, ToName: m.FromName, Term: r.hard.Term, Sent: m.Sent}
	if s.Index > r.commit {
		r.snapshot = *s
		r.receivedSnapshot = s
		r.log = memoryLog{offset: s.Index, offsetTerm: s.Term}
		r.configurations = []configuration{{index: s.Index, members: s.Members}}
		r.commit, r.applied, r.taken, r.synced = s.Index, s.Index, s.Index, s.Index
	}
	reply.Index = max(s.Index, r.commit)
	r.send(reply, true)
}

func (r *Replica) commitTo(index uint64) {
	r.commit = max(r.commit, index)
}
