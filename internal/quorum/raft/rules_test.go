package raft_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// later is a term that no schedule reaches.
const later = 100

// healed returns a fleet of three without faults, its leader and a follower.
func healed(t *testing.T) (f *fleet, leader, other *node) {
	f = newFleet(1, 3)
	f.heal()
	if f.problem != nil {
		t.Fatal(f.problem)
	}
	for _, n := range f.names {
		if f.nodes[n].Leads() {
			leader = f.nodes[n]
		} else {
			other = f.nodes[n]
		}
	}
	f.network = nil
	return f, leader, other
}

// ask returns whether n grants its vote to from, who has a long log.
func (f *fleet) ask(n *node, to, from string) bool {
	f.network = nil
	n.Step(f.clock(n), raft.Message{
		Kind: raft.Vote, From: from, To: to, Group: f.group, Term: later, Index: 1000, LogTerm: later - 1,
	})
	f.settle(n, false)
	for _, m := range f.network {
		if m.Kind == raft.VoteReply && !m.Reject && m.To == from {
			return true
		}
	}
	return false
}

func TestNoVoteSoonAfterAStart(t *testing.T) {
	f, _, n := healed(t)
	f.now = f.now.Add(time.Hour)
	f.restart(n.Name)
	if f.ask(n, n.Identity, "x") {
		t.Fatal("granted a vote at the start")
	}
	f.now = f.now.Add(2 * election)
	if !f.ask(n, n.Identity, "x") {
		t.Fatal("granted no vote later")
	}
}

func TestVoteOutlivesARestart(t *testing.T) {
	f, _, n := healed(t)
	f.now = f.now.Add(time.Hour)
	n.Step(f.clock(n), raft.Message{Kind: raft.VoteReply, Reject: true, From: "x", To: n.Identity, Group: f.group, Term: later})
	f.settle(n, false)
	if !f.ask(n, n.Identity, "x") {
		t.Fatal("granted no vote")
	}
	f.restart(n.Name)
	f.now = f.now.Add(2 * election)
	if f.ask(n, n.Identity, "y") || !f.ask(n, n.Identity, "x") {
		t.Fatal("the vote was forgotten")
	}
}

func TestReplacedDiskDoesNotVoteAsTheOldOne(t *testing.T) {
	f, _, n := healed(t)
	f.replace(n.Name)
	f.now = f.now.Add(time.Hour)
	if f.ask(f.nodes[n.Name], n.Identity, "x") {
		t.Fatal("answered for the old disk")
	}
}

func TestVoteOfAnUnknownDiskDoesNotCount(t *testing.T) {
	f, _, n := healed(t)
	f.now = f.now.Add(time.Hour)
	f.tick(n, false)
	for _, k := range []raft.Kind{raft.PreVoteReply, raft.VoteReply} {
		for _, term := range []uint64{n.Term(), n.Term() + 1} {
			n.Step(f.clock(n), raft.Message{Kind: k, From: "new disk", FromName: "a", To: n.Identity, Group: f.group, Term: term})
			if n.Leads() {
				t.Fatal("elected by a disk outside the configuration")
			}
		}
	}
}

func TestLeaseCountsFromSending(t *testing.T) {
	f, l, _ := healed(t)
	f.now = f.now.Add(heartbeat + time.Millisecond)
	sent := f.clock(l)
	f.tick(l, false)
	list := f.network
	f.network = nil
	for _, m := range list {
		n := f.nodes[m.ToName]
		n.Step(f.clock(n), m)
		f.settle(n, false)
	}
	f.now = f.now.Add(election / 2)
	for _, m := range f.network {
		l.Step(f.clock(l), m)
	}
	until, _, ok := l.Lease()
	if !ok || until.Before(sent) || !until.Before(sent.Add(election)) {
		t.Fatalf("lease until %v, sent %v", until, sent)
	}
}

func TestLeaderCountsItselfOnlyWhenSynced(t *testing.T) {
	f, l, n := healed(t)
	index, _, _ := l.Propose([][]byte{[]byte("x")})
	d := l.Take()
	f.save(l, &d)
	for _, m := range d.Before {
		if m.ToName == n.Name {
			n.Step(f.clock(n), m)
		}
	}
	f.settle(n, false)
	for _, m := range f.network {
		l.Step(f.clock(l), m)
	}
	if d := l.Take(); len(d.Committed) > 0 {
		t.Fatalf("committed %v before the sync", d.Committed)
	}
	l.Synced()
	if d := l.Take(); len(d.Committed) != 1 || d.Committed[0].Index != index {
		t.Fatalf("committed %v after the sync", d.Committed)
	}
}

func TestOneChangeAtATime(t *testing.T) {
	f, l, _ := healed(t)
	for _, n := range f.names {
		l.Step(f.clock(l), raft.Message{Kind: raft.Join, From: "new " + n, FromName: n})
	}
	changes := 0
	for _, e := range l.Take().Entries {
		if e.Kind == raft.Change {
			changes++
		}
	}
	if changes != 1 {
		t.Fatalf("%d changes at once", changes)
	}
}

// TestNewLeaderCommitsItsOwnTermFirst elects a replica with an entry of an earlier
// term, which alone neither commits nor makes a lease.
func TestNewLeaderCommitsItsOwnTermFirst(t *testing.T) {
	f, l, n := healed(t)
	index, _, _ := l.Propose([][]byte{[]byte("x")})
	f.settle(l, false)
	f.restart(l.Name)
	f.now = f.now.Add(3 * election)
	f.tick(l, false)
	reply := raft.Message{From: n.Identity, To: l.Identity, Group: f.group, Term: l.Term() + 1}
	for _, k := range []raft.Kind{raft.PreVoteReply, raft.VoteReply} {
		reply.Kind = k
		l.Step(f.clock(l), reply)
		f.settle(l, false)
	}
	for _, k := range []raft.Kind{raft.AppendReply, raft.HeartbeatReply} {
		reply.Kind, reply.Index, reply.Sent = k, index, 3*election/2
		l.Step(f.clock(l), reply)
	}
	if _, _, ok := l.Lease(); ok || !l.Leads() || len(l.Take().Committed) > 0 {
		t.Fatalf("leads %v, lease %v", l.Leads(), ok)
	}
	reply.Kind, reply.Index = raft.AppendReply, index+1
	l.Step(f.clock(l), reply)
	if d := l.Take(); len(d.Committed) == 0 || d.Committed[len(d.Committed)-1].Index != index+1 {
		t.Fatalf("committed %v", d.Committed)
	}
}

// TestTickWaitsUntilDue shows for each kind of replica that Tick does nothing
// before Due, and that what it does then moves Due on.
func TestTickWaitsUntilDue(t *testing.T) {
	f, l, n := healed(t)
	f.replace("b")
	kinds := []struct {
		name string
		node *node
	}{{"leader", l}, {"follower", n}, {"blank", f.nodes["b"]}}
	for _, k := range kinds {
		for range 50 {
			due := k.node.Due()
			k.node.Tick(due.Add(-1))
			if d := k.node.Take(); !d.Empty() {
				t.Fatalf("%s: %+v before it was due", k.name, d)
			}
			k.node.Tick(due)
			if next := k.node.Due(); !next.After(due) {
				t.Fatalf("%s: due at %v after a tick at %v", k.name, next, due)
			}
			k.node.Take()
			k.node.Synced()
		}
	}
	joins := 0
	for range 50 {
		n.Tick(n.Due())
		for _, m := range n.Take().After {
			if m.Kind == raft.Join {
				joins++
			}
		}
	}
	if joins == 0 {
		t.Fatal("a replica without a leader never asked to join")
	}
}
