package raft

import (
	"maps"
	"slices"
	"time"
)

// changeMembersIfDue starts the next change of the members that is due, if there is one: it
// promotes a learner, removes a voter that is not to count any longer, spreads the voters over
// places, or removes a learner.
func (r *Replica) changeMembersIfDue(now time.Time) {
	if !r.canChangeMembers() {
		return
	}
	i := r.readyLearner(now)
	if i >= 0 && (r.MaxVoters == 0 || r.voterCount()-r.leavingVoters() < r.MaxVoters) {
		r.setVoter(i, true)
		return
	}
	if r.MaxVoters == 0 {
		return
	}
	if m, ok := r.voterToRemove(now, i >= 0); ok {
		r.changeMembers(withoutMember(r.members(), m.Name))
		return
	}
	if surplus := r.surplusVoter(now); surplus >= 0 {
		r.setVoter(surplus, false)
		return
	}
	if i >= 0 && r.voterCount() == r.MaxVoters && r.improvesSpread(now, r.members()[i]) {
		r.setVoter(i, true)
		return
	}
	r.removeUnresponsiveLearner(now)
}

// setVoter makes the member at position i a voter, or a learner.
func (r *Replica) setVoter(i int, voter bool) {
	next := slices.Clone(r.members())
	next[i].Voter = voter
	r.changeMembers(next)
}

// readyLearner returns the position of a learner that is ready to be a voter, or -1: one in a place
// with as few voters as any. A learner is ready if it answers and has what was committed a heartbeat
// interval ago: while entries are committed all the time, it may never have the last one.
func (r *Replica) readyLearner(now time.Time) int {
	s, position, least := r.voterSpread(now), -1, 0
	for i, m := range r.members() {
		p := r.peers[m.Identity]
		if m.Voter || !p.matchKnown || p.match < r.earlierCommit || r.sinceContact(now, p) > r.Election {
			continue
		}
		if n := s[r.place(m)]; position < 0 || n < least {
			position, least = i, n
		}
	}
	return position
}

// noteCommit keeps the commit index for readyLearner.
func (r *Replica) noteCommit(now time.Time) {
	if now.Sub(r.notedAt) < r.Heartbeat {
		return
	}
	r.earlierCommit, r.notedCommit, r.notedAt = r.notedCommit, r.commit, now
}

// voterToRemove returns a voter of an open group that is gone or leaves, if the group tolerates as
// many losses without it, or more: it still adds to the quorum that the others need. Two are removed
// one after the other; one alone that is gone is removed from an even number of voters, since a
// majority of an odd number is no larger without it. No removal leaves less than MinVoters, unless a
// learner waits to take the place. This leader leaves last, when it knows which others are gone,
// since the next one has to find that out anew.
func (r *Replica) voterToRemove(now time.Time, learnerWaits bool) (Member, bool) {
	var gone, leaving []Member
	unsure := false
	for _, m := range r.members() {
		switch {
		case !m.Voter:
		case r.isLeaving(m.Identity):
			leaving = append(leaving, m)
		case r.isGone(now, m):
			gone = append(gone, m)
		case m.Identity != r.Identity && r.sinceContact(now, r.peers[m.Identity]) > 2*r.Heartbeat:
			unsure = true
		}
	}
	mayShrink := r.voterCount() > r.minVoters()
	if len(gone) > 0 && (learnerWaits || mayShrink && (r.voterCount()%2 == 0 || len(gone)+len(leaving) > 1)) {
		return gone[0], true
	}
	for _, m := range leaving {
		if mayShrink && (m.Identity != r.Identity || len(leaving) == 1 && !unsure) {
			return m, true
		}
	}
	return Member{}, false
}

// minVoters returns the number of voters that a removal without a learner leaves at least.
func (r *Replica) minVoters() int {
	if r.MinVoters == 0 {
		return r.MaxVoters
	}
	return min(r.MinVoters, r.MaxVoters)
}

// isGone reports whether the peer m has not answered for replaceVoterTimeouts election timeouts. That
// of a former leader counts from its last message, once it has had an election timeout to answer this
// leader.
func (r *Replica) isGone(now time.Time, m Member) bool {
	p := r.peers[m.Identity]
	if p == nil {
		return false
	}
	silence := r.sinceContact(now, p)
	if last, ok := r.leaders[m.Identity]; ok && silence > r.Election {
		silence = min(now.Sub(last), now.Sub(r.start)-p.lastContact)
	}
	return silence > replaceVoterTimeouts*r.Election
}

// noteLeaderContact notes a message of the leader with identity. Leaders that aren't members any
// longer are forgotten.
func (r *Replica) noteLeaderContact(now time.Time, identity string) {
	r.lastContact = now
	if _, ok := r.leaders[identity]; !ok {
		maps.DeleteFunc(r.leaders, func(id string, _ time.Time) bool { return !r.isMember(id) })
	}
	r.leaders[identity] = now
}
