package raft_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// laterTerm is higher than any term that these tests reach.
const laterTerm = 100

// healthyFleet returns a converged fleet of three, its leader and a follower.
func healthyFleet(t *testing.T) (f *fleet, leader, follower *node) {
	f = newFleet(1, 3)
	f.heal()
	if f.failure != nil {
		t.Fatal(f.failure)
	}
	for _, n := range f.names {
		if f.nodes[n].Leads() {
			leader = f.nodes[n]
		} else {
			follower = f.nodes[n]
		}
	}
	f.network = nil
	return f, leader, follower
}

// grantsVote reports whether n grants its vote to from in laterTerm, on a request
// that is addressed to the identity to. The log of from is longer than any other.
func (f *fleet) grantsVote(n *node, to, from string) bool {
	f.network = nil
	n.Step(f.clock(n), raft.Message{
		Kind: raft.Vote, From: from, To: to, Group: f.group, Term: laterTerm, Index: 1000, LogTerm: laterTerm - 1,
	})
	f.process(n, false)
	for _, m := range f.network {
		if m.Kind == raft.VoteReply && !m.Reject && m.To == from {
			return true
		}
	}
	return false
}

// TestNoVoteWithinAnElectionTimeoutOfAStart guards against two leases at once: a
// replica that restarts no longer knows that it answered a leader, and must not help
// to elect another one while that leader's lease may run.
func TestNoVoteWithinAnElectionTimeoutOfAStart(t *testing.T) {
	f, _, n := healthyFleet(t)
	f.now = f.now.Add(time.Hour)
	f.restart(n.Name)
	if f.grantsVote(n, n.Identity, "x") {
		t.Fatal("granted a vote directly after the start")
	}
	f.now = f.now.Add(2 * election)
	if !f.grantsVote(n, n.Identity, "x") {
		t.Fatal("granted no vote after two election timeouts")
	}
}

// TestVoteSurvivesARestart guards against two leaders in a term, which a replica that
// forgets its vote in a restart and votes again would allow.
func TestVoteSurvivesARestart(t *testing.T) {
	f, _, n := healthyFleet(t)
	f.now = f.now.Add(time.Hour)
	n.Step(f.clock(n), raft.Message{Kind: raft.VoteReply, Reject: true, From: "x", To: n.Identity, Group: f.group, Term: laterTerm})
	f.process(n, false)
	if !f.grantsVote(n, n.Identity, "x") {
		t.Fatal("granted no vote before the restart")
	}
	f.restart(n.Name)
	f.now = f.now.Add(2 * election)
	if f.grantsVote(n, n.Identity, "y") || !f.grantsVote(n, n.Identity, "x") {
		t.Fatal("forgot its vote in the restart")
	}
}

// TestReplacedDiskDoesNotVoteAsTheOldOne guards against a second vote in a term by a
// blank disk, which does not know how the disk it replaces voted.
func TestReplacedDiskDoesNotVoteAsTheOldOne(t *testing.T) {
	f, _, n := healthyFleet(t)
	f.replace(n.Name)
	f.now = f.now.Add(time.Hour)
	if f.grantsVote(f.nodes[n.Name], n.Identity, "x") {
		t.Fatal("the new disk granted a vote as the old one")
	}
}

// TestVoteOfAnUnknownDiskDoesNotCount guards against a leader elected by a disk that
// is not in the configuration.
func TestVoteOfAnUnknownDiskDoesNotCount(t *testing.T) {
	f, _, n := healthyFleet(t)
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

// TestLeaseCountsFromSending guards against a lease that is too long because it counts
// from the arrival of the answers. The followers' timeouts began when the heartbeat
// reached them, and may end before such a lease.
func TestLeaseCountsFromSending(t *testing.T) {
	f, l, _ := healthyFleet(t)
	f.now = f.now.Add(heartbeat + time.Millisecond)
	sent := f.clock(l)
	f.tick(l, false)
	list := f.network
	f.network = nil
	for _, m := range list {
		n := f.nodes[m.ToName]
		n.Step(f.clock(n), m)
		f.process(n, false)
	}
	f.now = f.now.Add(election / 2)
	for _, m := range f.network {
		l.Step(f.clock(l), m)
	}
	until, _, ok := l.Lease()
	if !ok || until.Before(sent) || !until.Before(sent.Add(election)) {
		t.Fatalf("the lease ends at %v, want less than an election timeout after the heartbeat sent at %v", until, sent)
	}
}

// TestLeaderCountsItselfOnlyAfterSaving guards against the loss of a committed entry: if
// a leader of three counted itself before it has saved an entry, its crash could
// leave the committed entry on a single disk.
func TestLeaderCountsItselfOnlyAfterSaving(t *testing.T) {
	f, l, n := healthyFleet(t)
	index, _, _ := l.Propose([][]byte{[]byte("x")})
	d := l.Take()
	f.save(l, &d)
	for _, m := range d.Before {
		if m.ToName == n.Name {
			n.Step(f.clock(n), m)
		}
	}
	f.process(n, false)
	for _, m := range f.network {
		l.Step(f.clock(l), m)
	}
	if d := l.Take(); len(d.Committed) > 0 {
		t.Fatalf("committed %v before the sync, want nothing", d.Committed)
	}
	l.Synced()
	if d := l.Take(); len(d.Committed) != 1 || d.Committed[0].Index != index {
		t.Fatalf("committed %v after the sync, want only the proposed entry", d.Committed)
	}
}

// TestOneConfigurationChangeAtATime guards against configurations whose quorums do
// not overlap, which several uncommitted changes could create.
func TestOneConfigurationChangeAtATime(t *testing.T) {
	f, l, _ := healthyFleet(t)
	for _, n := range f.names {
		l.Step(f.clock(l), raft.Message{Kind: raft.Join, From: "new " + n, FromName: n})
	}
	changes := 0
	for _, e := range l.Take().Entries {
		if e.Kind == raft.ConfigChange {
			changes++
		}
	}
	if changes != 1 {
		t.Fatalf("%d configuration changes appended at once, want 1", changes)
	}
}

// TestNewLeaderCommitsItsOwnTermFirst guards against the loss of a committed entry. An
// entry of an earlier term may still be overwritten although a quorum has it, so a
// new leader must neither commit it nor hold a lease before an entry of its own term
// is on a quorum.
func TestNewLeaderCommitsItsOwnTermFirst(t *testing.T) {
	f, l, n := healthyFleet(t)
	index, _, _ := l.Propose([][]byte{[]byte("x")})
	f.process(l, false)
	f.restart(l.Name)
	f.now = f.now.Add(3 * election)
	f.tick(l, false)
	reply := raft.Message{From: n.Identity, To: l.Identity, Group: f.group, Term: l.Term() + 1}
	for _, k := range []raft.Kind{raft.PreVoteReply, raft.VoteReply} {
		reply.Kind = k
		l.Step(f.clock(l), reply)
		f.process(l, false)
	}
	for _, k := range []raft.Kind{raft.AppendReply, raft.HeartbeatReply} {
		reply.Kind, reply.Index, reply.Sent = k, index, 3*election/2
		l.Step(f.clock(l), reply)
	}
	if _, _, ok := l.Lease(); ok || !l.Leads() || len(l.Take().Committed) > 0 {
		t.Fatalf("leads %v, holds a lease %v, want true, false and no committed entry", l.Leads(), ok)
	}
	reply.Kind, reply.Index = raft.AppendReply, index+1
	l.Step(f.clock(l), reply)
	if d := l.Take(); len(d.Committed) == 0 || d.Committed[len(d.Committed)-1].Index != index+1 {
		t.Fatalf("committed %v, want up to the leader's own first entry", d.Committed)
	}
}

// TestTickWaitsUntilDue guards against a driver that spins or wakes too late: for a
// leader, a follower and a blank replica, Tick does nothing before Due, and a Tick at
// Due moves Due to a later time. A follower without a leader must send Joins in the end.
func TestTickWaitsUntilDue(t *testing.T) {
	f, l, n := healthyFleet(t)
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
				t.Fatalf("%s: Tick before Due returned %+v", k.name, d)
			}
			k.node.Tick(due)
			if next := k.node.Due(); !next.After(due) {
				t.Fatalf("%s: Due is %v after a Tick at %v, want a later time", k.name, next, due)
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
		t.Fatal("a replica without a leader sent no Join")
	}
}
