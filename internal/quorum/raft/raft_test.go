package raft_test

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRandomSchedules runs replicas through lost, repeated and reordered messages,
// crashes, replaced disks and clocks of different rates. It checks after each step
// that no term has two leaders, that no two leases overlap, that logs match, that no
// disk votes twice in a term, and that all replicas apply the same entries. At the
// end the fleet must converge without faults, unless a quorum may have been lost.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "size")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), size)
		for range 6000 {
			f.randomStep()
			if f.failure != nil {
				t.Fatal(f.failure)
			}
		}
		if f.mayLoseQuorum {
			return
		}
		f.heal()
		if f.failure != nil {
			t.Fatal(f.failure)
		}
		for _, n := range f.nodes {
			if !slices.Equal(n.state, f.nodes["a"].state) {
				t.Fatalf("after the faults ended, %s has state %v and %s has %v, want the same", n.Identity, n.state, f.nodes["a"].Identity, f.nodes["a"].state)
			}
		}
	})
}

func splitState(b []byte) []string { return strings.Fields(string(b)) }

func joinState(list []string) []byte { return []byte(strings.Join(list, " ")) }
