package ring_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront/internal/control/ring"
)

// TestChangesMoveFewKeys guards against keys that move though their nodes stay: whatever
// the nodes and the order in which they come and go, a ring depends on its nodes alone,
// and a key that loses no node keeps all.
func TestChangesMoveFewKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`10\.1\.[0-9]{1,3}\.[0-9]{1,3}:80`), 2, 40, rapid.ID)
		nodes := names.Draw(t, "nodes")
		gone := nodes[:rapid.IntRange(1, len(nodes)-1).Draw(t, "gone")]
		left := nodes[len(gone):]
		whole := ring.Ring{}.With(nodes)
		reduced := whole.With(left)
		size := rapid.IntRange(1, len(left)).Draw(t, "size")
		for i := range 20 {
			position := ring.Position(fmt.Sprint("caller", i))
			before, after := whole.Append(nil, position, size), reduced.Append(nil, position, size)
			if len(before) != size || len(after) != size {
				t.Fatalf("got %d and %d nodes, want %d", len(before), len(after), size)
			}
			for _, n := range before {
				if slices.Contains(left, n) && !slices.Contains(after, n) {
					t.Fatalf("the key loses %s, which stays", n)
				}
			}
			if back := reduced.With(nodes).Append(nil, position, size); !slices.Equal(back, before) {
				t.Fatalf("with all nodes back the key gets %v, want %v as before", back, before)
			}
		}
	})
}

// TestAppendKeepsList checks that Append completes a list without repeating its entries.
func TestAppendKeepsList(t *testing.T) {
	r := ring.Ring{}.With([]string{"c", "a", "b"})
	if r.Size() != 3 {
		t.Fatalf("the ring has %d nodes, want 3", r.Size())
	}
	for _, c := range []struct {
		list []string
		size int
		want int
	}{
		{nil, 0, 0}, {nil, 2, 2}, {nil, 9, 3}, {[]string{"b"}, 1, 1}, {[]string{"b"}, 9, 3}, {[]string{"x"}, 9, 4},
	} {
		got := r.Append(slices.Clone(c.list), 1, c.size)
		unique := slices.Compact(slices.Sorted(slices.Values(got)))
		if len(got) != c.want || len(unique) != c.want || !slices.Equal(got[:len(c.list)], c.list) {
			t.Errorf("%v becomes %v, want %d entries, each once, those of the list first", c.list, got, c.want)
		}
	}
	if got := (ring.Ring{}).Append(nil, 1, 3); len(got) != 0 {
		t.Errorf("a ring without nodes returns %v", got)
	}
}

// TestPositionsStay guards against positions that differ from those of earlier builds, with
// which instances agree on the owner of a cell.
func TestPositionsStay(t *testing.T) {
	for want, parts := range map[uint64][]string{
		7630737896463178563:  {"s", "dc1", "10.1.0.31:8548"},
		17280346270528514342: {""},
	} {
		if got := ring.Position(parts...); got != want {
			t.Errorf("the position of %q is %d, want %d", parts, got, want)
		}
	}
}

// TestPositionDependsOnPartsAndBounds guards against parts that run together.
func TestPositionDependsOnPartsAndBounds(t *testing.T) {
	if ring.Position("ab", "c") == ring.Position("a", "bc") {
		t.Error("different parts have the same position")
	}
}

// TestKeysAreSpread guards against nodes with similar names that get a far larger share
// of the keys than others.
func TestKeysAreSpread(t *testing.T) {
	const keys, size = 20_000, 4
	var nodes []string
	for i := range 50 {
		nodes = append(nodes, fmt.Sprintf("10.1.0.%d:8548", i))
	}
	r := ring.Ring{}.With(nodes)
	counts := map[string]int{}
	for i := range keys {
		for _, n := range r.Append(nil, ring.Position(fmt.Sprintf("100.64.0.%d", i)), size) {
			counts[n]++
		}
	}
	mean := float64(keys*size) / float64(len(nodes))
	for _, n := range nodes {
		if math.Abs(float64(counts[n])/mean-1) > 0.5 {
			t.Errorf("%s has %d keys, want %.0f within a half", n, counts[n], mean)
		}
	}
}
