package raft_test

import (
	"slices"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// setOpen makes r a replica of an open, leaseless group of at most three voters.
func setOpen(r *raft.Replica) {
	r.Leaseless = true
	r.MaxVoters = 3
}

// addJoiner adds a blank replica that sends its Joins to the first one of the group.
func (g *group) addJoiner(name string) {
	r := &raft.Replica{
		Name: name, Identity: "id-" + name, Names: []string{g.replicas[0].Name}, Heartbeat: heartbeat, Election: election,
		Random: g.replicas[0].Random, JoinOnly: true,
	}
	setOpen(r)
	r.Start(g.now, raft.HardState{}, raft.Snapshot{}, nil)
	g.replicas = append(g.replicas, r)
}

// stop removes the named replica from the network.
func (g *group) stop(name string) {
	g.replicas = slices.DeleteFunc(g.replicas, func(r *raft.Replica) bool { return r.Name == name })
}

// advance runs the group for the duration d, in steps of a millisecond.
func (g *group) advance(d time.Duration) {
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

// members returns the names of the members in the leader's configuration, sorted.
func (g *group) members() []string { return g.leader().MemberNames() }

// TestLearnerThatJoinsLongAfterTheElectionStays guards against a learner that is removed
// again as unresponsive: it joins late in a term and has answered nothing so far, so
// its time without an answer must count from the join and not from the election.
func TestLearnerThatJoinsLongAfterTheElectionStays(t *testing.T) {
	g := newGroup(1, []string{"a", "b", "c"}, setOpen)
	g.advance(40 * election)
	g.addJoiner("d")
	g.advance(4 * election)
	if m := g.members(); !slices.Equal(m, []string{"a", "b", "c", "d"}) {
		t.Fatalf("the members are %v, want a to d", m)
	}
	index := g.leader().LastIndex()
	g.advance(10 * election)
	if n := g.leader().LastIndex() - index; n > 0 {
		t.Errorf("%d entries were appended after the join, want none while the members stay", n)
	}
}

// TestLearnerReplacesAnUnresponsiveVoter guards against a group that keeps a failed
// voter although a learner could replace it, and so loses its quorum when another
// voter fails.
func TestLearnerReplacesAnUnresponsiveVoter(t *testing.T) {
	g := newGroup(1, []string{"a", "b", "c"}, setOpen)
	g.advance(40 * election)
	stopped := "c"
	if g.leader().Name == stopped {
		stopped = "b"
	}
	g.stop(stopped)
	g.addJoiner("d")
	g.advance(8 * election)
	m := g.members()
	if slices.Contains(m, stopped) || !slices.Contains(m, "d") || len(m) != 3 {
		t.Fatalf("the members are %v, want three, with d in place of the failed %s", m, stopped)
	}
	g.stop(g.leader().Name)
	g.advance(8 * election)
	if g.leader() == nil {
		t.Error("no leader after the failure of a second voter, want one elected by the other two")
	}
}

// TestUnresponsiveVoterStaysWithoutALearner guards against the removal of an
// unresponsive voter without a learner to replace it, which would only shrink the
// group.
func TestUnresponsiveVoterStaysWithoutALearner(t *testing.T) {
	g := newGroup(1, []string{"a", "b", "c"}, setOpen)
	g.advance(4 * election)
	stopped := "c"
	if g.leader().Name == stopped {
		stopped = "b"
	}
	g.stop(stopped)
	g.advance(100 * election)
	if m := g.members(); !slices.Contains(m, stopped) {
		t.Errorf("an unresponsive voter was removed: the members are %v", m)
	}
}
