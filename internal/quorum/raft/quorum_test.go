package raft_test

import (
	"slices"
	"testing"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// TestLostRoundTellsWhoGranted guards against a replica without a quorum that doesn't tell which
// voters it needs and which of them answer.
func TestLostRoundTellsWhoGranted(t *testing.T) {
	g := newGroup(1, []string{"a", "b", "c", "d", "e"}, func(r *raft.Replica) { r.Leaseless = true })
	for _, name := range []string{"c", "d", "e"} {
		g.stop(name)
	}
	g.advance(10 * election)
	for _, r := range g.replicas {
		q := r.TakeLostRound()
		if q == nil || q.Needed != 3 || !slices.Equal(q.Granted, []string{"a", "b"}) || !slices.Equal(q.Voters, []string{"a", "b", "c", "d", "e"}) {
			t.Errorf("%s without a quorum tells %+v, want that a and b of a to e granted, of three needed", r.Name, q)
		}
		if r.TakeLostRound() != nil {
			t.Errorf("%s tells of a lost round twice", r.Name)
		}
	}
}
