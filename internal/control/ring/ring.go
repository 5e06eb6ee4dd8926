// Package ring maps keys to nodes by consistent hashing.
//
// Each node has points on a ring of 64-bit positions, and a key uses the nodes whose
// points follow its own position. A node that leaves moves only the keys that used it,
// and a node that returns gets the same keys back. Positions depend on nothing but the
// names, so all processes agree without a message.
package ring

import (
	"cmp"
	"iter"
	"slices"
	"sort"
)

// defaultPoints is the number of points of each node where a ring names none.
const defaultPoints = 32

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Ring is a set of nodes. It is immutable; its zero value has no node.
type Ring struct {
	// Points is the number of points of each node, or zero for the default. The more there
	// are, the more equal are the shares of the nodes, and the more memory the ring takes.
	Points int
	// nodes are sorted and unique.
	nodes []string
	// points are sorted by position.
	points []point
}

// point is one of the points of a node. Its name is a pointer, so that rings share it and
// a point is small.
type point struct {
	position uint64
	name     *string
}

// Position returns the position of a key that consists of parts.
func Position(parts ...string) uint64 {
	h := uint64(fnvOffset)
	for i, p := range parts {
		if i > 0 {
			h *= fnvPrime // a zero byte between two parts
		}
		for j := range len(p) {
			h = (h ^ uint64(p[j])) * fnvPrime
		}
	}
	return mix(h)
}

// mix spreads the bits of x, since FNV alone gives similar names similar positions.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Size returns the number of nodes.
func (r Ring) Size() int { return len(r.nodes) }

// With returns a ring of the nodes, in any order and each once. It reuses the points of r.
func (r Ring) With(nodes []string) Ring {
	nodes = slices.Sorted(slices.Values(nodes))
	if slices.Equal(nodes, r.nodes) {
		return r
	}
	var added []point
	for _, n := range nodes {
		if !contains(r.nodes, n) {
			added = append(added, r.pointsOf(n)...)
		}
	}
	slices.SortFunc(added, comparePoints)
	removed := map[string]bool{}
	for _, n := range r.nodes {
		if !contains(nodes, n) {
			removed[n] = true
		}
	}
	return Ring{Points: r.Points, nodes: nodes, points: r.merge(added, removed, len(nodes)*r.pointsPerNode())}
}

// merge returns the points of r, without those of the nodes removed, and the points added,
// which must be sorted: size points altogether.
func (r Ring) merge(added []point, removed map[string]bool, size int) []point {
	merged := make([]point, 0, size)
	for _, p := range r.points {
		if len(removed) > 0 && removed[*p.name] {
			continue
		}
		for len(added) > 0 && comparePoints(added[0], p) < 0 {
			merged, added = append(merged, added[0]), added[1:]
		}
		merged = append(merged, p)
	}
	return append(merged, added...)
}

func contains(sorted []string, n string) bool {
	_, ok := slices.BinarySearch(sorted, n)
	return ok
}

func (r Ring) pointsPerNode() int { return cmp.Or(r.Points, defaultPoints) }

// pointsOf returns the points of a node, in no particular order.
func (r Ring) pointsOf(node string) []point {
	list := make([]point, r.pointsPerNode())
	x := Position(node)
	for i := range list {
		x = mix(x + 1)
		list[i] = point{position: x, name: &node}
	}
	return list
}

func comparePoints(a, b point) int {
	if c := cmp.Compare(a.position, b.position); c != 0 {
		return c
	}
	return cmp.Compare(*a.name, *b.name)
}

// From returns the nodes in the order in which they follow position, each once.
func (r Ring) From(position uint64) iter.Seq[string] {
	return func(yield func(string) bool) {
		seen := map[string]bool{}
		first := sort.Search(len(r.points), func(i int) bool { return r.points[i].position >= position })
		for i := range r.points {
			if len(seen) == len(r.nodes) {
				return
			}
			name := *r.points[(first+i)%len(r.points)].name
			if seen[name] {
				continue
			}
			seen[name] = true
			if !yield(name) {
				return
			}
		}
	}
}

// Append appends to list the nodes that follow position, without those that list has
// already, until it has size entries or all nodes. It returns the result.
func (r Ring) Append(list []string, position uint64, size int) []string {
	if len(list) >= size {
		return list
	}
	had := list
	for name := range r.From(position) {
		if slices.Contains(had, name) {
			continue
		}
		list = append(list, name)
		if len(list) >= size {
			break
		}
	}
	return list
}
