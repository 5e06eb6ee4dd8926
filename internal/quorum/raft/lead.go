package raft

import (
	"slices"
	"time"
)

// peer is a leader's record of the progress of another replica.
type peer struct {
	Member
	// match is the last entry that the peer is known to have saved, next the first
	// one to send to it.
	match uint64
	next  uint64
	// matchKnown is set once the peer has accepted an Append or a snapshot. Until then
	// match is zero and next is only an estimate.
	matchKnown bool
	// added is when this leader began to send to the peer, counted from Replica.start.
	added time.Duration
	// heartbeatMatch is the value of match at the last heartbeat.
	heartbeatMatch uint64
	// lastContact is when the latest heartbeat that the peer answered was sent,
	// counted from Replica.start.
	lastContact time.Duration
	// resent is when entries were last resent, counted from Replica.start.
	resent time.Duration
	// nextSnapshot is the earliest time to send a snapshot again. snapshotSent is when the
	// last one was sent, counted from Replica.start.
	nextSnapshot time.Time
	snapshotSent time.Duration
}

// tickLeader sends heartbeats and changes the members as needed. The leader steps down
// if no quorum has answered a heartbeat sent within the last election timeout.
func (r *Replica) tickLeader(now time.Time) {
	if now.Before(r.nextHeartbeat) && !r.announceCommit {
		return
	}
	contact, ok := r.quorumContact()
	quorumAnswers := ok && now.Sub(r.start)-contact < r.Election
	if !quorumAnswers && now.Sub(r.electedAt) >= r.Election {
		r.becomeFollower(r.hard.Term, "")
		r.resetElectionDeadline(now)
		return
	}
	r.noteCommit(now)
	r.answerLeaving(now)
	if r.endTermIfRemoved(now); r.role != leader {
		return
	}
	r.changeMembersIfDue(now)
	r.sendHeartbeats(now)
}

// sendHeartbeats sends each peer a heartbeat. A peer that lags and has acknowledged
// nothing since the last heartbeat is also resent the entries after its match, unless it has
// been silent since they were resent. Then its next reply to a heartbeat leads to that.
func (r *Replica) sendHeartbeats(now time.Time) {
	r.nextHeartbeat = now.Add(r.Heartbeat)
	r.announceCommit = false
	for _, p := range r.orderedPeers() {
		r.sendHeartbeat(now, p)
		if p.match == p.heartbeatMatch && p.lastContact >= p.resent {
			r.resend(now, p)
		}
		p.heartbeatMatch = p.match
	}
}

func (r *Replica) sendHeartbeat(now time.Time, p *peer) {
	r.send(Message{
		Kind: Heartbeat, To: p.Identity, ToName: p.Name, Term: r.hard.Term,
		Commit: min(r.commit, p.match), Sent: now.Sub(r.start),
	}, false)
}

// resend sends p the entries after its match again, if it lags.
func (r *Replica) resend(now time.Time, p *peer) {
	if p.match >= r.log.last() {
		return
	}
	p.resent = now.Sub(r.start)
	if p.matchKnown {
		p.next = p.match + 1
	}
	r.sendNext(now, p)
}

// replicate sends new entries to each peer whose match is known and that has fewer
// than maxInFlightEntries unacknowledged.
func (r *Replica) replicate() {
	for _, p := range r.orderedPeers() {
		if p.matchKnown && p.next <= r.log.last() && p.next-p.match <= maxInFlightEntries {
			r.sendEntries(p)
		}
	}
}

// orderedPeers returns the peers in the order of the configuration.
func (r *Replica) orderedPeers() []*peer {
	list := make([]*peer, 0, len(r.peers))
	for _, m := range r.members() {
		if p := r.peers[m.Identity]; p != nil {
			list = append(list, p)
		}
	}
	return list
}

// sendNext sends p its next entries, or a snapshot if the log no longer has them.
func (r *Replica) sendNext(now time.Time, p *peer) {
	if p.next > r.log.offset {
		r.sendEntries(p)
		return
	}
	if now.Before(p.nextSnapshot) && !r.isSnapshotLost(p) {
		return
	}
	p.nextSnapshot = now.Add(snapshotResendHeartbeats * r.Heartbeat)
	p.snapshotSent = now.Sub(r.start)
	s := r.snapshot
	r.send(Message{Kind: InstallSnapshot, To: p.Identity, ToName: p.Name, Term: r.hard.Term, Snapshot: &s}, false)
}

// isSnapshotLost reports whether p, which lacks the snapshot that it was sent, has answered a
// heartbeat that was sent an election timeout later. Messages to a peer are delivered in order, and
// the answer to a snapshot comes before those to what was sent after it.
func (r *Replica) isSnapshotLost(p *peer) bool {
	return p.lastContact > p.snapshotSent+r.Election
}

func (r *Replica) sendEntries(p *peer) {
	t, ok := r.log.term(p.next - 1)
	if !ok {
		return
	}
	m := Message{
		Kind: Append, To: p.Identity, ToName: p.Name, Term: r.hard.Term,
		Index: p.next - 1, LogTerm: t, Commit: r.commit, Entries: r.log.batch(p.next - 1),
	}
	if p.matchKnown {
		p.next += uint64(len(m.Entries))
	}
	r.send(m, false)
}

// stepReply handles the reply to an Append, an InstallSnapshot or a Heartbeat.
func (r *Replica) stepReply(now time.Time, m Message) {
	p := r.peers[m.From]
	if r.role != leader || p == nil {
		return
	}
	wasSilent := p.lastContact < p.resent
	p.lastContact = max(p.lastContact, m.Sent)
	switch {
	case m.Kind == HeartbeatReply:
		if wasSilent && m.Sent > p.resent {
			r.resend(now, p)
		}
	case m.Reject:
		p.next = max(p.match+1, min(p.next, r.possibleMatch(m)+1))
		r.sendNext(now, p)
	default:
		p.matchKnown = true
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		r.advanceCommit()
		if p.next <= r.log.last() {
			r.replicate()
		}
	}
}

// possibleMatch returns the index of the last entry that may be the same here and at
// the replica that rejected an Append with m.
func (r *Replica) possibleMatch(m Message) uint64 {
	i, _ := r.log.backtrack(m.Index, m.LogTerm)
	if m.Index < r.log.offset {
		return m.Index
	}
	return i
}

// advanceCommit commits up to the last entry that a quorum has saved, if it is of
// this term.
func (r *Replica) advanceCommit() {
	var matches []uint64
	for _, m := range r.members() {
		switch {
		case !m.Voter:
		case m.Identity == r.Identity:
			matches = append(matches, r.synced)
		default:
			matches = append(matches, r.peers[m.Identity].match)
		}
	}
	i := nthLargest(matches, r.quorum())
	if t, ok := r.log.term(i); ok && t == r.hard.Term && i > r.commit {
		r.commit = i
		r.announceCommit = r.MaxVoters > 0
	}
}

// quorumContact returns the latest time, counted from start, such that a quorum has
// answered a heartbeat sent then or later. It returns false if no quorum has answered.
func (r *Replica) quorumContact() (time.Duration, bool) {
	var times []time.Duration
	for _, m := range r.members() {
		switch {
		case !m.Voter:
		case m.Identity == r.Identity:
			times = append(times, r.nextHeartbeat.Add(-r.Heartbeat).Sub(r.start))
		default:
			times = append(times, r.peers[m.Identity].lastContact)
		}
	}
	contact := nthLargest(times, r.quorum())
	return contact, contact > 0
}

// nthLargest returns the n-th largest value of list, or zero if it has fewer. It
// sorts list.
func nthLargest[T uint64 | time.Duration](list []T, n int) T {
	if n == 0 || len(list) < n {
		return 0
	}
	slices.Sort(list)
	return list[len(list)-n]
}
