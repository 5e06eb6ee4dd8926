package raft

import (
	"slices"
	"time"
)

func (r *Replica) tickLeader(now time.Time) {
	if now.Before(r.nextBeat) && !r.newCommit {
		return
	}
	a, ok := r.answered()
	heard := ok && now.Sub(r.start)-a < r.Election
	if !heard && now.Sub(r.elected) >= r.Election {
		r.follow(r.hard.Term, "")
		r.resetDeadline(now)
		return
	}
	r.promote(now)
	r.trim(now)
	r.beat(now)
}

// beat sends heartbeats, and again what was sent before the last one and has
// not been answered.
func (r *Replica) beat(now time.Time) {
	r.nextBeat = now.Add(r.Heartbeat)
	r.newCommit = false
	for _, p := range r.ordered() {
		r.send(Message{
			Kind: Heartbeat, To: p.Identity, ToName: p.Name, Term: r.hard.Term,
			Commit: min(r.commit, p.match), Sent: now.Sub(r.start),
		}, false)
		if p.match < r.log.last() && p.match == p.beaten {
			if p.known {
				p.next = p.match + 1
			}
			r.sendTo(now, p)
		}
		p.beaten = p.match
	}
}

// replicate sends each peer the entries that it has not been sent.
func (r *Replica) replicate() {
	for _, p := range r.ordered() {
		if p.known && p.next <= r.log.last() && p.next-p.match <= maxInFlight {
			r.sendEntries(p)
		}
	}
}

// ordered returns the peers in the order of the configuration.
func (r *Replica) ordered() []*peer {
	list := make([]*peer, 0, len(r.peers))
	for _, m := range r.members() {
		if p := r.peers[m.Identity]; p != nil {
			list = append(list, p)
		}
	}
	return list
}

// sendTo sends p its next entries, or a snapshot where they are gone.
func (r *Replica) sendTo(now time.Time, p *peer) {
	if p.next > r.log.offset {
		r.sendEntries(p)
		return
	}
	if now.Before(p.resume) {
		return
	}
	p.resume = now.Add(installPause * r.Heartbeat)
	s := r.snapshot
	r.send(Message{Kind: Install, To: p.Identity, ToName: p.Name, Term: r.hard.Term, Snapshot: &s}, false)
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
	if p.known {
		p.next += uint64(len(m.Entries))
	}
	r.send(m, false)
}

// stepAnswer takes in the reply to an Append, an Install or a Heartbeat.
func (r *Replica) stepAnswer(now time.Time, m Message) {
	p := r.peers[m.From]
	if r.role != leading || p == nil {
		return
	}
	p.answered = max(p.answered, m.Sent)
	switch {
	case m.Kind == HeartbeatReply:
		return
	case m.Reject:
		p.next = max(p.match+1, min(p.next, r.agree(m)+1))
		r.sendTo(now, p)
	default:
		p.known = true
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		r.advance()
		if p.next <= r.log.last() {
			r.replicate()
		}
	}
}

// agree returns the last entry that may be the same here and at a replica that
// rejected an Append.
func (r *Replica) agree(m Message) uint64 {
	i, _ := r.log.backtrack(m.Index, m.LogTerm)
	if m.Index < r.log.offset {
		return m.Index
	}
	return i
}

// advance commits what a quorum has saved in this term.
func (r *Replica) advance() {
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
	i := nth(matches, r.quorum())
	if t, ok := r.log.term(i); ok && t == r.hard.Term && i > r.commit {
		r.commit = i
		r.newCommit = r.MaxVoters > 0
	}
}

// answered returns the latest instant, since start, such that a quorum answered
// what was sent then or later.
func (r *Replica) answered() (time.Duration, bool) {
	var times []time.Duration
	for _, m := range r.members() {
		switch {
		case !m.Voter:
		case m.Identity == r.Identity:
			times = append(times, r.nextBeat.Add(-r.Heartbeat).Sub(r.start))
		default:
			times = append(times, r.peers[m.Identity].answered)
		}
	}
	a := nth(times, r.quorum())
	return a, a > 0
}

// nth returns the n-th largest of list, or zero.
func nth[T uint64 | time.Duration](list []T, n int) T {
	if n == 0 || len(list) < n {
		return 0
	}
	slices.Sort(list)
	return list[len(list)-n]
}
