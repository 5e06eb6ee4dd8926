package raft

import (
	"slices"
	"time"
)

// blankReplica is a replica without a group that answered a Join.
type blankReplica struct {
	identity string
	// seeds are the instances of the first start, if the replica was there.
	seeds []string
	// joinSent is when the answered Join was sent, counted from Replica.start.
	joinSent time.Duration
}

// mustJoin reports whether the replica has no configuration, or has had no leader for
// so long that it may have been removed from the configuration.
func (r *Replica) mustJoin(now time.Time) bool {
	return len(r.members()) == 0 || now.Sub(r.lastContact) > rejoinTimeouts*r.Election
}

// sendJoins sends a Join to all other configured instances and to the members that it knows, and
// starts a group if it can. None of the configured instances may be left.
func (r *Replica) sendJoins(now time.Time) {
	names := slices.Concat(r.Names, r.Seeds, r.MemberNames())
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		if n != r.Name {
			r.send(Message{Kind: Join, ToName: n, Sent: now.Sub(r.start)}, true)
		}
	}
	r.bootstrap(now)
}

// stepJoin handles a Join of a replica that is blank or has no leader. A blank replica
// and, in an open group, a member that does not lead answer it. A leader admits the
// sender if its instance may join.
func (r *Replica) stepJoin(m Message) {
	if r.hard.Group == "" {
		r.send(Message{Kind: JoinReply, To: m.From, ToName: m.FromName, Sent: m.Sent, Entries: r.replySeeds()}, true)
		return
	}
	otherGroup := m.Group != "" && m.Group != r.hard.Group
	mayJoin := r.MaxVoters > 0 || slices.Contains(r.Names, m.FromName)
	if r.role != leader && r.MaxVoters > 0 && !otherGroup {
		r.replyWithMembers(m)
	}
	if !r.canChangeMembers() || m.FromName == r.Name || otherGroup || !mayJoin {
		return
	}
	r.admit(m.FromName, m.From)
}

// replyWithMembers answers a Join with the members, so that the sender can reach
// the leader among them.
func (r *Replica) replyWithMembers(m Message) {
	list := []Entry{{Kind: ConfigChange, Members: r.members()}}
	r.send(Message{Kind: JoinReply, To: m.From, ToName: m.FromName, Sent: m.Sent, Entries: list}, true)
}

// addNames adds the members listed in a JoinReply to Names.
func (r *Replica) addNames(entries []Entry) {
	for _, e := range entries {
		for _, m := range e.Members {
			if !slices.Contains(r.Names, m.Name) {
				r.Names = append(r.Names, m.Name)
			}
		}
	}
}

// admit starts the next change that makes identity a member under name: it removes
// a voter of the same name, or else adds identity as a learner in place of any
// learner of that name.
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
			r.changeMembers(withoutMember(r.members(), name))
			return
		}
	}
	r.changeMembers(append(next, Member{Name: name, Identity: identity}))
}

func (r *Replica) stepJoinReply(now time.Time, m Message) {
	if r.MaxVoters > 0 && (r.hard.Group == "" || r.hard.Group == m.Group) {
		r.addNames(m.Entries)
	}
	if m.Group != "" {
		r.groupFound = true
	}
	if r.hard.Group != "" || r.groupFound {
		return
	}
	r.blankReplicas[m.FromName] = blankReplica{identity: m.From, seeds: namesOf(m.Entries), joinSent: m.Sent}
	r.bootstrap(now)
}

// replySeeds returns the seeds as the entries of a JoinReply, or none if the disk of this replica
// wasn't there at the first start.
func (r *Replica) replySeeds() []Entry {
	if r.JoinOnly {
		return nil
	}
	var members []Member
	for _, n := range r.Seeds {
		members = append(members, Member{Name: n})
	}
	return []Entry{{Kind: ConfigChange, Members: members}}
}

// namesOf returns the names of the members that a JoinReply lists.
func namesOf(entries []Entry) []string {
	var list []string
	for _, e := range entries {
		for _, m := range e.Members {
			list = append(list, m.Name)
		}
	}
	return list
}

// knownSeeds returns the seeds of the first start, as its own disk keeps them, or as another
// replica that was there has told, or none.
func (r *Replica) knownSeeds() []string {
	if !r.JoinOnly {
		return r.Seeds
	}
	for _, b := range r.blankReplicas {
		if len(b.seeds) > 1 {
			return b.seeds
		}
	}
	return nil
}

// bootstrap starts a group if this is the first seed, all seeds have been blank within the last
// election timeout, and this one, or each of the others, was there at the first start.
func (r *Replica) bootstrap(now time.Time) {
	seeds := r.knownSeeds()
	if r.hard.Group != "" || r.groupFound || len(seeds) == 0 || r.Name != seeds[0] {
		return
	}
	members := []Member{{Name: r.Name, Identity: r.Identity, Voter: true}}
	for _, n := range seeds[1:] {
		b, ok := r.blankReplicas[n]
		if !ok || now.Sub(r.start)-b.joinSent > r.Election || r.JoinOnly && !slices.Equal(b.seeds, seeds) {
			return
		}
		members = append(members, Member{Name: n, Identity: b.identity, Voter: true})
	}
	r.hard = HardState{Term: 1, Vote: r.Identity, Group: r.Identity}
	r.hardChanged = true
	r.appendEntries([]Entry{{Kind: ConfigChange, Members: members}})
	r.becomeLeader(now)
}
