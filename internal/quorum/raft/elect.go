package raft

import "time"

// Due returns when Tick has something to do, as far as is known now.
func (r *Replica) Due() time.Time {
	if r.role == leading && r.newCommit {
		return time.Time{}
	}
	if r.role == leading {
		return r.nextBeat
	}
	join := r.nextJoin
	if alone := r.heard.Add(lonelyTimeouts*r.Election + 1); len(r.members()) > 0 && alone.After(join) {
		join = alone
	}
	if join.Before(r.deadline) {
		return join
	}
	return r.deadline
}

// Tick does what is due at the instant now. It is called when Due has come, and
// may be called at any time.
func (r *Replica) Tick(now time.Time) {
	r.now = now
	if r.role == leading {
		r.tickLeader(now)
		return
	}
	if r.lonely(now) && !now.Before(r.nextJoin) {
		r.nextJoin = now.Add(r.Heartbeat)
		r.join(now)
	}
	if !now.Before(r.deadline) {
		r.campaign(now)
	}
}

// sticky returns whether the replica owes it to a leader to grant no vote.
func (r *Replica) sticky(now time.Time) bool {
	return r.role == leading || now.Before(r.heard.Add(r.Election))
}

// campaign asks the voters whether they would vote for this replica.
func (r *Replica) campaign(now time.Time) {
	r.resetDeadline(now)
	r.leader = ""
	if !r.voter(r.Identity) {
		return
	}
	r.role = preCandidate
	r.ask(now, PreVote, r.hard.Term+1)
}

// stand asks the voters for their votes in a new term.
func (r *Replica) stand(now time.Time) {
	r.resetDeadline(now)
	r.role = candidate
	r.hard.Term++
	r.hard.Vote = r.Identity
	r.dirty = true
	r.ask(now, Vote, r.hard.Term)
}

func (r *Replica) ask(now time.Time, k Kind, term uint64) {
	r.votes = map[string]bool{r.Identity: true}
	for _, m := range r.members() {
		if m.Voter && m.Identity != r.Identity {
			r.send(Message{Kind: k, To: m.Identity, ToName: m.Name, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm()}, true)
		}
	}
	r.count(now)
}

// count moves on where the votes are a quorum.
func (r *Replica) count(now time.Time) {
	n := 0
	for _, m := range r.members() {
		if m.Voter && r.votes[m.Identity] {
			n++
		}
	}
	switch {
	case n < r.quorum():
	case r.role == preCandidate:
		r.stand(now)
	case r.role == candidate:
		r.lead(now)
	}
}

func (r *Replica) upToDate(m Message) bool {
	t := r.log.lastTerm()
	return m.LogTerm > t || m.LogTerm == t && m.Index >= r.log.last()
}

func (r *Replica) stepPreVote(now time.Time, m Message) {
	grant := m.Term > r.hard.Term && r.upToDate(m) && !r.sticky(now)
	reply := Message{Kind: PreVoteReply, To: m.From, ToName: m.FromName, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = r.hard.Term
	}
	r.send(reply, true)
}

func (r *Replica) stepVote(now time.Time, m Message) {
	free := r.hard.Vote == "" || r.hard.Vote == m.From
	grant := free && r.upToDate(m) && !r.sticky(now)
	if grant {
		r.hard.Vote = m.From
		r.dirty = true
		r.resetDeadline(now)
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
	r.count(now)
}

// lead makes the replica the leader of its term.
func (r *Replica) lead(now time.Time) {
	r.role = leading
	r.leader = r.Identity
	r.elected = now
	r.peers = map[string]*peer{}
	r.first = r.log.last() + 1
	r.meetPeers()
	r.extend([]Entry{{Kind: Empty}})
	r.beat(now)
	r.replicate()
}
