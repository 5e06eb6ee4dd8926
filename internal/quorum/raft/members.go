package raft

import (
	"slices"
	"time"
)

// members returns the latest configuration in the log.
func (r *Replica) members() []Member {
	return r.changes[len(r.changes)-1].members
}

// MemberNames returns the names in the latest configuration, sorted.
func (r *Replica) MemberNames() []string {
	list := make([]string, 0, len(r.members()))
	for _, m := range r.members() {
		list = append(list, m.Name)
	}
	slices.Sort(list)
	return list
}

// SilentNames returns the names of the members that have not answered this leader
// for an election timeout, sorted. It is empty at any other replica.
func (r *Replica) SilentNames(now time.Time) []string {
	var list []string
	for _, m := range r.members() {
		if p := r.peers[m.Identity]; p != nil && r.silent(now, p) > r.Election {
			list = append(list, m.Name)
		}
	}
	slices.Sort(list)
	return list
}

// MembersAt returns the configuration after the entry at index, which is in the
// log or the last of a snapshot.
func (r *Replica) MembersAt(index uint64) []Member {
	var m []Member
	for _, c := range r.changes {
		if c.index <= index {
			m = c.members
		}
	}
	return m
}

func (r *Replica) quorum() int { return r.voters()/2 + 1 }

func (r *Replica) voter(identity string) bool {
	for _, m := range r.members() {
		if m.Identity == identity {
			return m.Voter
		}
	}
	return false
}

// note takes in the configurations among appended entries.
func (r *Replica) note(entries []Entry) {
	for _, e := range entries {
		if e.Kind == Change {
			r.changes = append(r.changes, change{index: e.Index, members: e.Members})
		}
	}
}

// meetPeers makes the peers of a leader those of the configuration.
func (r *Replica) meetPeers() {
	keep := map[string]*peer{}
	for _, m := range r.members() {
		if m.Identity == r.Identity {
			continue
		}
		p := r.peers[m.Identity]
		if p == nil {
			p = &peer{next: r.log.last() + 1, met: r.now.Sub(r.start)}
		}
		p.Member = m
		keep[m.Identity] = p
	}
	r.peers = keep
}

// settled returns whether a leader may change the configuration: its last change
// and an entry of its own term are committed.
func (r *Replica) settled() bool {
	return r.role == leading && r.commit >= r.first && r.changes[len(r.changes)-1].index <= r.commit
}

func (r *Replica) change(members []Member) {
	r.extend([]Entry{{Kind: Change, Members: members}})
	r.meetPeers()
	r.replicate()
}

// lonely returns whether the replica has no configuration, or has had no leader
// for so long that it may have been taken out of it.
func (r *Replica) lonely(now time.Time) bool {
	return len(r.members()) == 0 || now.Sub(r.heard) > lonelyTimeouts*r.Election
}

// join asks all other configured instances to be let in.
func (r *Replica) join(now time.Time) {
	for _, n := range r.Names {
		if n != r.Name {
			r.send(Message{Kind: Join, ToName: n, Sent: now.Sub(r.start)}, true)
		}
	}
	r.found(now)
}

func (r *Replica) stepJoin(m Message) {
	if r.hard.Group == "" {
		r.send(Message{Kind: JoinReply, To: m.From, ToName: m.FromName, Sent: m.Sent}, true)
		return
	}
	foreign := m.Group != "" && m.Group != r.hard.Group
	known := r.MaxVoters > 0 || slices.Contains(r.Names, m.FromName)
	if r.role != leading && r.MaxVoters > 0 && !foreign {
		r.refer(m)
	}
	if !r.settled() || m.FromName == r.Name || foreign || !known {
		return
	}
	r.admit(m.FromName, m.From)
}

// refer answers a Join with the members, one of which leads.
func (r *Replica) refer(m Message) {
	list := []Entry{{Kind: Change, Members: r.members()}}
	r.send(Message{Kind: JoinReply, To: m.From, ToName: m.FromName, Sent: m.Sent, Entries: list}, true)
}

// learn adds the members that a reply refers to.
func (r *Replica) learn(entries []Entry) {
	for _, e := range entries {
		for _, m := range e.Members {
			if !slices.Contains(r.Names, m.Name) {
				r.Names = append(r.Names, m.Name)
			}
		}
	}
}

// admit takes the next step to make identity a member under name.
func (r *Replica) admit(name, identity string) {
	var next []Member
	for _, m := range r.members() {
		if m.Identity == identity {
			return
		}
		if m.Name != name {
			next = append(next, m)
			continue
		}
		if m.Voter {
			r.change(without(r.members(), name))
			return
		}
	}
	r.change(append(next, Member{Name: name, Identity: identity}))
}

func without(list []Member, name string) []Member {
	var rest []Member
	for _, m := range list {
		if m.Name != name {
			rest = append(rest, m)
		}
	}
	return rest
}

// promote makes a learner that has the committed log a voter. Where there is no
// place for one, a voter that is out of reach is taken out first.
func (r *Replica) promote(now time.Time) {
	if !r.settled() {
		return
	}
	for i, m := range r.members() {
		if m.Voter {
			continue
		}
		p := r.peers[m.Identity]
		if p.match < r.commit || r.silent(now, p) > r.Election {
			continue
		}
		if r.MaxVoters > 0 && r.voters() >= r.MaxVoters {
			r.makeRoom(now)
			return
		}
		next := slices.Clone(r.members())
		next[i].Voter = true
		r.change(next)
		return
	}
}

// makeRoom takes out a voter that is out of reach.
func (r *Replica) makeRoom(now time.Time) {
	for _, m := range r.members() {
		p := r.peers[m.Identity]
		if m.Voter && p != nil && r.silent(now, p) > replaceTimeouts*r.Election {
			r.change(without(r.members(), m.Name))
			return
		}
	}
}

// trim takes out a learner that is out of reach for long.
func (r *Replica) trim(now time.Time) {
	if r.MaxVoters == 0 || !r.settled() {
		return
	}
	for _, m := range r.members() {
		p := r.peers[m.Identity]
		if !m.Voter && p != nil && r.silent(now, p) > forgetTimeouts*r.Election {
			r.change(without(r.members(), m.Name))
			return
		}
	}
}

// silent returns the time since the peer p last answered, and at most since this
// leader met it.
func (r *Replica) silent(now time.Time, p *peer) time.Duration {
	return now.Sub(r.start) - max(p.answered, p.met)
}

func (r *Replica) voters() int {
	n := 0
	for _, m := range r.members() {
		if m.Voter {
			n++
		}
	}
	return n
}

func (r *Replica) stepJoinReply(now time.Time, m Message) {
	if r.MaxVoters > 0 && (r.hard.Group == "" || r.hard.Group == m.Group) {
		r.learn(m.Entries)
	}
	if r.hard.Group != "" || m.Group != "" {
		return
	}
	r.blank[m.FromName] = sighting{identity: m.From, asked: m.Sent}
	r.found(now)
}

// found starts a group where this is the first configured instance and all of
// them are blank.
func (r *Replica) found(now time.Time) {
	if r.hard.Group != "" || r.JoinOnly || len(r.Names) == 0 || r.Name != r.Names[0] {
		return
	}
	var members []Member
	for _, n := range r.Names {
		s, ok := r.blank[n]
		if n == r.Name {
			s, ok = sighting{identity: r.Identity, asked: now.Sub(r.start)}, true
		}
		if !ok || now.Sub(r.start)-s.asked > r.Election {
			return
		}
		members = append(members, Member{Name: n, Identity: s.identity, Voter: true})
	}
	r.hard = HardState{Term: 1, Vote: r.Identity, Group: r.Identity}
	r.dirty = true
	r.extend([]Entry{{Kind: Change, Members: members}})
	r.lead(now)
}
