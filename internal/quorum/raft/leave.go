package raft

import "time"

// Leave tells the replica that its process is about to end. A voter of an open group asks the
// leader to remove it first, so that it doesn't count while it is away; if it comes back, it joins
// the group again. HasLeft reports when it needs to wait no longer. Any other replica stays what
// it is.
func (r *Replica) Leave(now time.Time) {
	if r.MaxVoters == 0 || !r.isVoter(r.Identity) {
		r.hasLeft, r.leaveRefused = true, true
		return
	}
	r.leaves = true
	r.nextLeave = now
	if r.role == leader {
		r.leaving[r.Identity] = r.Name
		r.nextHeartbeat = now
	}
}

// HasLeft reports whether, after a call of Leave, the leader has answered: the replica is removed,
// or refused is true since the others are too few without it.
func (r *Replica) HasLeft() (ok, refused bool) { return r.hasLeft, r.leaveRefused }

// mustLeave reports whether the replica must ask the leader to remove it.
func (r *Replica) mustLeave() bool { return r.leaves && !r.hasLeft }

// sendLeave asks the leader, if it is known, to remove this replica.
func (r *Replica) sendLeave(now time.Time) {
	r.nextLeave = now.Add(r.Heartbeat)
	for _, m := range r.members() {
		if m.Identity == r.leader {
			r.send(Message{Kind: Leave, To: m.Identity, ToName: m.Name, Term: r.hard.Term}, true)
		}
	}
}

// stepLeave notes that the process of the sender is about to end, and starts its removal.
func (r *Replica) stepLeave(now time.Time, m Message) {
	if r.role != leader || r.MaxVoters == 0 {
		return
	}
	r.leaving[m.From] = m.FromName
	r.answerLeaving(now)
	r.changeMembersIfDue(now)
}

// answerLeaving answers the members that leave and whose removal is committed, or refused.
func (r *Replica) answerLeaving(now time.Time) {
	if len(r.leaving) == 0 || !r.canChangeMembers() {
		return
	}
	for identity, name := range r.leaving {
		removed := !r.isVoter(identity)
		if !removed && r.mayLeave(now) {
			continue
		}
		delete(r.leaving, identity)
		if identity == r.Identity {
			r.hasLeft, r.leaveRefused = true, !removed
			continue
		}
		r.send(Message{Kind: LeaveReply, To: identity, ToName: name, Term: r.hard.Term, Reject: !removed}, true)
	}
}

// endTermIfRemoved ends the term of a leader whose own removal is committed. The others learn of the
// commit first.
func (r *Replica) endTermIfRemoved(now time.Time) {
	if !r.hasLeft || r.leaveRefused {
		return
	}
	r.sendHeartbeats(now)
	r.becomeFollower(r.hard.Term, "")
	r.resetElectionDeadline(now)
}

// mayLeave reports whether a voter can be removed, now or soon: enough others stay, or a learner
// answers that will be a voter once it has the log.
func (r *Replica) mayLeave(now time.Time) bool {
	if r.voterCount() > r.minVoters() {
		return true
	}
	for _, m := range r.members() {
		if !m.Voter && r.sinceContact(now, r.peers[m.Identity]) <= r.Election {
			return true
		}
	}
	return false
}

// isLeaving reports whether the member with identity has asked this leader to be removed.
func (r *Replica) isLeaving(identity string) bool {
	_, ok := r.leaving[identity]
	return ok
}

// leavingVoters returns the number of voters that leave.
func (r *Replica) leavingVoters() int {
	n := 0
	for identity := range r.leaving {
		if r.isVoter(identity) {
			n++
		}
	}
	return n
}
