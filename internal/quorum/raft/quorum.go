package raft

import "slices"

// Quorum tells who counts in the group, as one replica sees it.
type Quorum struct {
	// Voters are the names of the voters in the latest configuration of the log, sorted.
	Voters []string
	// Needed is the number of voters that make a quorum.
	Needed int
	// Granted are the names of the voters that have granted the last pre-vote or vote of this
	// replica, this one included, sorted. It is empty if the replica follows a leader.
	Granted []string
}

// Quorum returns who counts in the group.
func (r *Replica) Quorum() Quorum {
	q := Quorum{Needed: r.quorum()}
	for _, m := range r.members() {
		if !m.Voter {
			continue
		}
		q.Voters = append(q.Voters, m.Name)
		if r.votes[m.Identity] {
			q.Granted = append(q.Granted, m.Name)
		}
	}
	slices.Sort(q.Voters)
	slices.Sort(q.Granted)
	return q
}

// TakeLostRound returns the quorum as it was at the end of the last pre-vote or election of this
// replica that too few have granted, or nil if there was none since the last call.
func (r *Replica) TakeLostRound() *Quorum {
	q := r.lostRound
	r.lostRound = nil
	return q
}
