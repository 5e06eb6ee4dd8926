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
	due := r.electionDeadline
	if join.Before(due) {
		due = join
	}
	if r.mustLeave() && r.nextLeave.Before(due) {
		due = r.nextLeave
	}
	return due
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
	if r.mustLeave() && !now.Before(r.nextLeave) {
		r.sendLeave(now)
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

// starting reports whether the replica has had no leader since its start and may vote.
// After a power loss of the whole group, replicas start one after the other, so that the
// first pre-votes reach too few and the first elections may be split. Such a replica tries
// again after a fraction of the election timeout.
func (r *Replica) starting() bool { return r.Leaseless && !r.hadLeader }

// roundTimeout returns the least time until the pre-vote after the one that begins now.
func (r *Replica) roundTimeout() time.Duration {
	if !r.starting() {
		return r.Election
	}
	return doubled(r.startRound(), r.rounds/startRounds, r.Election)
}

// startRound returns the least time between the first pre-votes after a start. It grows with
// the voters beyond startVoters, since each of them sends one to all others.
func (r *Replica) startRound() time.Duration {
	n := max(r.voterCount(), startVoters)
	return min(r.Election/startRoundDivisor*time.Duration(n)/startVoters, r.Election)
}

// electionTimeout returns the least time that a candidate is given for its election.
func (r *Replica) electionTimeout() time.Duration {
	if !r.starting() {
		return r.Election
	}
	return doubled(r.Election/startElectionDivisor, r.elections, r.Election)
}

// doubled returns d, doubled n times, but at most limit.
func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		if d >= limit {
			break
		}
		d *= 2
	}
	return min(d, limit)
}

// setElectionDeadline sets the next pre-vote to a random time from timeout to twice that.
func (r *Replica) setElectionDeadline(now time.Time, timeout time.Duration) {
	r.electionDeadline = now.Add(timeout + r.randomUpTo(timeout))
}

// resetElectionDeadline sets the next pre-vote to after the time that an election is given.
func (r *Replica) resetElectionDeadline(now time.Time) {
	r.setElectionDeadline(now, r.electionTimeout())
}

// randomUpTo returns a random time below d.
func (r *Replica) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(r.Random(int64(d)))
}

// startPreVote asks the voters whether they would vote for this replica in the
// next term. Only a voter does so.
func (r *Replica) startPreVote(now time.Time) {
	if r.role == preCandidate || r.role == candidate {
		q := r.Quorum()
		r.lostRound = &q
	}
	r.setElectionDeadline(now, r.roundTimeout())
	r.rounds++
	r.deferred = false
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
	r.elections++
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
	switch {
	case r.role == leader:
		r.answerAsLeader(now, m.From)
	case r.starting() && !r.refusesVotes(now):
		r.adjustElection(now, grant)
	}
}

// answerAsLeader sends a heartbeat to a peer that holds a pre-vote, so that a replica that has
// just started needn't wait for the next one.
func (r *Replica) answerAsLeader(now time.Time, identity string) {
	if p := r.peers[identity]; p != nil {
		r.sendHeartbeat(now, p)
	}
}

// adjustElection changes the time of the next pre-vote of a starting replica that has just
// answered the pre-vote of another one. If it granted that, it waits for the other's election,
// once for each of its own pre-votes. If it refused, it holds its own soon, since the other is
// reachable and can't be elected.
func (r *Replica) adjustElection(now time.Time, granted bool) {
	round := r.startRound()
	switch {
	case r.role == candidate:
	case !granted:
		if next := now.Add(r.randomUpTo(round)); next.Before(r.electionDeadline) {
			r.electionDeadline = next
		}
	case !r.deferred:
		r.deferred = true
		if next := now.Add(round + r.randomUpTo(round)); next.After(r.electionDeadline) {
			r.electionDeadline = next
		}
	}
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
	r.hadLeader = true
	r.electedAt = now
	r.earlierCommit, r.notedCommit, r.notedAt = r.commit, r.commit, now
	r.peers = map[string]*peer{}
	r.leaving = map[string]string{}
	if r.leaves {
		r.leaving[r.Identity] = r.Name
	}
	r.firstIndex = r.log.last() + 1
	r.updatePeers()
	r.appendEntries([]Entry{{Kind: NoOp}})
	r.sendHeartbeats(now)
	r.replicate()
}
