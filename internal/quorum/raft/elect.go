package raft

import "time"

// Due returns the time of the next call of Tick that has something to do. It is
// zero if Tick is due immediately, and may change with any other call.
func (r *Replica) Due() time.Time {
	if r.role == leader && r.announceCommit {
		return time.Time{}
	}
	if r.role == leader {
		return r.nextHeartbeat
	}
	join := r.nextJoinRequest
	if rejoin := r.lastContact.Add(rejoinTimeouts*r.Election + 1); len(r.members()) > 0 && rejoin.After(join) {
		join = rejoin
	}
	if join.Before(r.electionDeadline) {
		return join
	}
	return r.electionDeadline
}

// Tick does what is due at the time now. It must be called at Due and may be called
// at any time.
func (r *Replica) Tick(now time.Time) {
	r.now = now
	if r.role == leader {
		r.tickLeader(now)
		return
	}
	if r.mustJoin(now) && !now.Before(r.nextJoinRequest) {
		r.nextJoinRequest = now.Add(r.Heartbeat)
		r.sendJoins(now)
	}
	if !now.Before(r.electionDeadline) {
		r.startPreVote(now)
	}
}

// refusesVotes reports whether the replica must grant no vote, because it leads or
// another leader may rely on its answer for a lease.
func (r *Replica) refusesVotes(now time.Time) bool {
	return r.role == leader || now.Before(r.lastContact.Add(r.Election))
}

// startPreVote asks the voters whether they would vote for this replica in the
// next term. Only a voter does so.
func (r *Replica) startPreVote(now time.Time) {
	r.resetElectionDeadline(now)
	r.leader = ""
	if !r.isVoter(r.Identity) {
		return
	}
	r.role = preCandidate
	r.requestVotes(now, PreVote, r.hard.Term+1)
}

// startElection begins a new term and requests the votes of the voters.
func (r *Replica) startElection(now time.Time) {
	r.resetElectionDeadline(now)
	r.role = candidate
	r.hard.Term++
	r.hard.Vote = r.Identity
	r.hardChanged = true
	r.requestVotes(now, Vote, r.hard.Term)
}

func (r *Replica) requestVotes(now time.Time, kind Kind, term uint64) {
	r.votes = map[string]bool{r.Identity: true}
	for _, m := range r.members() {
		if m.Voter && m.Identity != r.Identity {
			r.send(Message{Kind: kind, To: m.Identity, ToName: m.Name, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm()}, true)
		}
	}
	r.countVotes(now)
}

// countVotes starts the election after a quorum of pre-votes, and makes the
// candidate the leader after a quorum of votes.
func (r *Replica) countVotes(now time.Time) {
	n := 0
	for _, m := range r.members() {
		if m.Voter && r.votes[m.Identity] {
			n++
		}
	}
	switch {
	case n < r.quorum():
	case r.role == preCandidate:
		r.startElection(now)
	case r.role == candidate:
		r.becomeLeader(now)
	}
}

// upToDate reports whether the log of the candidate that sent m is at least as up to
// date as the one here: its last entry has a later term, or the same term and no
// lower index.
func (r *Replica) upToDate(m Message) bool {
	t := r.log.lastTerm()
	return m.LogTerm > t || m.LogTerm == t && m.Index >= r.log.last()
}

func (r *Replica) stepPreVote(now time.Time, m Message) {
	grant := m.Term > r.hard.Term && r.upToDate(m) && !r.refusesVotes(now)
	reply := Message{Kind: PreVoteReply, To: m.From, ToName: m.FromName, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = r.hard.Term
	}
	r.send(reply, true)
}

func (r *Replica) stepVote(now time.Time, m Message) {
	canVote := r.hard.Vote == "" || r.hard.Vote == m.From
	grant := canVote && r.upToDate(m) && !r.refusesVotes(now)
	if grant {
		r.hard.Vote = m.From
		r.hardChanged = true
		r.resetElectionDeadline(now)
	}
	r.send(Message{Kind: VoteReply, To: m.From, ToName: m.FromName, Term: r.hard.Term, Reject: !grant}, true)
}

func (r *Replica) stepVoteReply(now time.Time, m Message) {
	pre := m.Kind == PreVoteReply && r.role == preCandidate && m.Term == r.hard.Term+1
	vote := m.Kind == VoteReply && r.role == candidate && m.Term == r.hard.Term
	if m.Reject || !pre && !vote {
		return
	}
	r.votes[m.From] = true
	r.countVotes(now)
}

// becomeLeader makes the replica the leader of its term.
func (r *Replica) becomeLeader(now time.Time) {
	r.role = leader
	r.leader = r.Identity
	r.electedAt = now
	r.peers = map[string]*peer{}
	r.firstIndex = r.log.last() + 1
	r.updatePeers()
	r.appendEntries([]Entry{{Kind: NoOp}})
	r.sendHeartbeats(now)
	r.replicate()
}
