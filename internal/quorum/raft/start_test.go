package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// group is a few replicas on a network that delivers at once.
type group struct {
	now      time.Time
	replicas []*raft.Replica
}

// newGroup starts replicas that have been a group before.
func newGroup(seed uint64, names []string, change func(r *raft.Replica)) *group {
	g := &group{now: time.Unix(1000, 0)}
	var members []raft.Member
	for _, n := range names {
		members = append(members, raft.Member{Name: n, Identity: "id-" + n, Voter: true})
	}
	log := []raft.Entry{{Index: 1, Term: 1, Kind: raft.Change, Members: members}}
	random := rand.New(rand.NewPCG(seed, 1))
	for _, n := range names {
		r := &raft.Replica{
			Name: n, Identity: "id-" + n, Names: names, Heartbeat: heartbeat, Election: election, Random: random.Int64N,
		}
		change(r)
		r.Start(g.now, raft.HardState{Term: 1, Group: "g"}, raft.Snapshot{}, log)
		g.replicas = append(g.replicas, r)
	}
	return g
}

// run lets time pass until a replica leads, and returns how much did.
func (g *group) run(limit time.Duration) time.Duration {
	begun := g.now
	for g.now.Sub(begun) < limit {
		g.now = g.now.Add(time.Millisecond)
		for _, r := range g.replicas {
			r.Tick(g.now)
			g.deliver(r)
		}
		for _, r := range g.replicas {
			if r.Leads() {
				return g.now.Sub(begun)
			}
		}
	}
	return limit
}

func (g *group) deliver(from *raft.Replica) {
	for {
		d := from.Take()
		if d.Empty() {
			return
		}
		from.Synced()
		for _, m := range append(d.Before, d.After...) {
			for _, r := range g.replicas {
				if r.Name == m.ToName {
					r.Step(g.now, m)
				}
			}
		}
		for _, r := range g.replicas {
			if r != from {
				g.deliver(r)
			}
		}
	}
}

// TestLeaselessGroupElectsSoonAfterAStart shows that replicas which start together,
// as after a loss of power of all, need not wait for an old leader's lease where
// nobody holds one.
func TestLeaselessGroupElectsSoonAfterAStart(t *testing.T) {
	for seed := range uint64(200) {
		g := newGroup(seed, []string{"a", "b", "c", "d", "e"}, func(r *raft.Replica) { r.Leaseless = true })
		if took := g.run(10 * election); took > election {
			t.Errorf("seed %d: a leader after %v, want one within %v", seed, took, election)
		}
	}
}

// TestGroupWithLeasesWaitsForThem shows the same start where leases count.
func TestGroupWithLeasesWaitsForThem(t *testing.T) {
	for seed := range uint64(200) {
		g := newGroup(seed, []string{"a", "b", "c"}, func(*raft.Replica) {})
		if took := g.run(10 * election); took < election {
			t.Errorf("seed %d: a leader after %v, before a lease of %v can have lapsed", seed, took, election)
		}
	}
}
