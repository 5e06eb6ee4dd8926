package raft

import (
	"slices"
	"time"
)

// configuration holds the members of the group from the entry at index on.
type configuration struct {
	index   uint64
	members []Member
}

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
