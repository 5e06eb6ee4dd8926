package raft

import (
	"slices"
	"time"
)

// members returns the latest configuration in the log.
func (r *Replica) members() []Member {
	return r.configurations[len(r.configurations)-1].members
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

// UnresponsiveNames returns the sorted names of the members that have not answered this
// leader for an election timeout. It is empty if the replica does not lead.
func (r *Replica) UnresponsiveNames(now time.Time) []string {
	var list []string
	for _, m := range r.members() {
		if p := r.peers[m.Identity]; p != nil && r.sinceContact(now, p) > r.Election {
			list = append(list, m.Name)
		}
	}
	slices.Sort(list)
	return list
}

// MembersAt returns the configuration after the entry at index. The entry must be in
// the log or the last one of the snapshot.
func (r *Replica) MembersAt(index uint64) []Member {
	var m []Member
	for _, c := range r.configurations {
		if c.index <= index {
			m = c.members
		}
	}
	return m
}

func (r *Replica) quorum() int { return r.voterCount()/2 + 1 }

func (r *Replica) isMember(identity string) bool {
	return slices.ContainsFunc(r.members(), func(m Member) bool { return m.Identity == identity })
}

func (r *Replica) isVoter(identity string) bool {
	for _, m := range r.members() {
		if m.Identity == identity {
			return m.Voter
		}
	}
	return false
}

// recordConfigurations records the configurations among appended entries.
func (r *Replica) recordConfigurations(entries []Entry) {
	for _, e := range entries {
		if e.Kind == ConfigChange {
			r.configurations = append(r.configurations, configuration{index: e.Index, members: e.Members})
		}
	}
}

// updatePeers sets the peers of a leader to the other members of its configuration.
func (r *Replica) updatePeers() {
	peers := map[string]*peer{}
	for _, m := range r.members() {
		if m.Identity == r.Identity {
			continue
		}
		p := r.peers[m.Identity]
		if p == nil {
			p = &peer{next: r.log.last() + 1, added: r.now.Sub(r.start)}
		}
		p.Member = m
		peers[m.Identity] = p
	}
	r.peers = peers
}

// canChangeMembers reports whether the replica leads and may change the configuration:
// the last change and an entry of its own term must be committed.
func (r *Replica) canChangeMembers() bool {
	return r.role == leader && r.commit >= r.firstIndex && r.configurations[len(r.configurations)-1].index <= r.commit
}

func (r *Replica) changeMembers(members []Member) {
	r.appendEntries([]Entry{{Kind: ConfigChange, Members: members}})
	r.updatePeers()
	r.replicate()
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

func withoutMember(list []Member, name string) []Member {
	var rest []Member
	for _, m := range list {
		if m.Name != name {
			rest = append(rest, m)
		}
	}
	return rest
}

// removeUnresponsiveLearner removes a learner of an open group that has not answered
// for removeLearnerTimeouts election timeouts.
func (r *Replica) removeUnresponsiveLearner(now time.Time) {
	for _, m := range r.members() {
		p := r.peers[m.Identity]
		if !m.Voter && p != nil && r.sinceContact(now, p) > removeLearnerTimeouts*r.Election {
			r.changeMembers(withoutMember(r.members(), m.Name))
			return
		}
	}
}

// sinceContact returns the time since p was sent the latest heartbeat that it answered,
// or since this leader began to send to p if that is shorter.
func (r *Replica) sinceContact(now time.Time, p *peer) time.Duration {
	return now.Sub(r.start) - max(p.lastContact, p.added)
}

func (r *Replica) voterCount() int {
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
