package raft_test

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRandomSchedules checks after each step that no term has two leaders, that
// no two leases overlap, that logs match, that no disk votes twice, and that what
// one replica applied every replica applies. At the end the fleet must heal.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "size")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), size)
		for range 6000 {
			f.act()
			if f.problem != nil {
				t.Fatal(f.problem)
			}
		}
		if f.reckless {
			return
		}
		f.heal()
		if f.problem != nil {
			t.Fatal(f.problem)
		}
		for _, n := range f.nodes {
			if !slices.Equal(n.state, f.nodes["a"].state) {
				t.Fatalf("%s has %v, %s has %v", n.Identity, n.state, f.nodes["a"].Identity, f.nodes["a"].state)
			}
		}
	})
}

func words(b []byte) []string { return strings.Fields(string(b)) }

func bytesOf(list []string) []byte { return []byte(strings.Join(list, " ")) }
