package raft_test

import (
	"slices"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// open makes r a member of an open group of at most three voters.
func open(r *raft.Replica) {
	r.Leaseless = true
	r.MaxVoters = 3
}

// join adds a blank replica that asks the first of the group to be let in.
func (g *group) join(name string) {
	r := &raft.Replica{
		Name: name, Identity: "id-" + name, Names: []string{g.replicas[0].Name}, Heartbeat: heartbeat, Election: election,
		Random: g.replicas[0].Random, JoinOnly: true,
	}
	open(r)
	r.Start(g.now, raft.HardState{}, raft.Snapshot{}, nil)
	g.replicas = append(g.replicas, r)
}

// stop stops the named replica.
func (g *group) stop(name string) {
	g.replicas = slices.DeleteFunc(g.replicas, func(r *raft.Replica) bool { return r.Name == name })
}

// pass lets time pass.
func (g *group) pass(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(time.Millisecond)
		for _, r := range g.replicas {
			r.Tick(g.now)
			g.deliver(r)
		}
	}
}

func (g *group) leader() *raft.Replica {
	for _, r := range g.replicas {
		if r.Leads() {
			return r
		}
	}
	return nil
}

// members returns the members of the leader's configuration and the number of
// changes that made it.
func (g *group) members() []string { return g.leader().MemberNames() }

// TestLearnerJoinsLongAfterTheElection shows that a replica that joins late in a term
// stays a member, though it never answered before it was one.
func TestLearnerJoinsLongAfterTheElection(t *testing.T) {
	g := newGroup(1, []string{"a", "b", "c"}, open)
	g.pass(40 * election)
	g.join("d")
	g.pass(4 * election)
	if m := g.members(); !slices.Equal(m, []string{"a", "b", "c", "d"}) {
		t.Fatalf("the members are %v", m)
	}
	index := g.leader().LastIndex()
	g.pass(10 * election)
	if n := g.leader().LastIndex() - index; n > 0 {
		t.Errorf("%d entries were added with nothing to change", n)
	}
}

// TestLearnerTakesThePlaceOfASilentVoter shows how a lost member is replaced, and
// that the group bears the loss of another one after that.
func TestLearnerTakesThePlaceOfASilentVoter(t *testing.T) {
	g := newGroup(1, []string{"a", "b", "c"}, open)
	g.pass(40 * election)
	gone := "c"
	if g.leader().Name == gone {
		gone = "b"
	}
	g.stop(gone)
	g.join("d")
	g.pass(8 * election)
	m := g.members()
	if slices.Contains(m, gone) || !slices.Contains(m, "d") || len(m) != 3 {
		t.Fatalf("the members are %v after the loss of %s", m, gone)
	}
	g.stop(g.leader().Name)
	g.pass(8 * election)
	if g.leader() == nil {
		t.Error("no leader after another loss")
	}
}

// TestSilentVoterKeepsItsPlace shows that nobody is taken out where nobody waits.
func TestSilentVoterKeepsItsPlace(t *testing.T) {
	g := newGroup(1, []string{"a", "b", "c"}, open)
	g.pass(4 * election)
	gone := "c"
	if g.leader().Name == gone {
		gone = "b"
	}
	g.stop(gone)
	g.pass(100 * election)
	if m := g.members(); !slices.Contains(m, gone) {
		t.Errorf("the members are %v", m)
	}
}
