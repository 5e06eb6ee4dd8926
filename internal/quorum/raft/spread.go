package raft

import "time"

// spread counts the voters of a group by their place: those that answer, or may still do, and
// don't leave. Voters whose place isn't known don't count.
type spread map[string]int

// voterSpread returns how the voters are spread over places.
func (r *Replica) voterSpread(now time.Time) spread {
	s := spread{}
	for _, m := range r.members() {
		if place := r.place(m); m.Voter && place != "" && !r.isLeaving(m.Identity) && !r.isGone(now, m) {
			s[place]++
		}
	}
	return s
}

// most returns the number of voters in the place that has most of them.
func (s spread) most() int {
	most := 0
	for _, n := range s {
		most = max(most, n)
	}
	return most
}

// place returns the place of m, or "" if it isn't known.
func (r *Replica) place(m Member) string {
	if r.Place == nil {
		return ""
	}
	return r.Place(m.Name)
}

// improvesSpread reports whether the voters are spread better with the learner m in place of one in
// the place that has most of them: the loss of one place costs fewer of them then.
func (r *Replica) improvesSpread(now time.Time, m Member) bool {
	s, place := r.voterSpread(now), r.place(m)
	return place != "" && s.most()-s[place] >= 2
}

// surplusVoter returns the position of a voter that becomes a learner again, or -1: there are more
// than MaxVoters since a learner has been promoted that improves the spread. It is one in the place
// that has most voters, and not this leader. None is returned while a voter is silent, which may be
// gone itself.
func (r *Replica) surplusVoter(now time.Time) int {
	if r.voterCount()-r.leavingVoters() <= r.MaxVoters {
		return -1
	}
	s, position, most := r.voterSpread(now), -1, 0
	for i, m := range r.members() {
		if !m.Voter || r.isLeaving(m.Identity) || m.Identity == r.Identity {
			continue
		}
		if r.sinceContact(now, r.peers[m.Identity]) > r.Election {
			return -1
		}
		if n := s[r.place(m)]; position < 0 || n > most {
			position, most = i, n
		}
	}
	return position
}
