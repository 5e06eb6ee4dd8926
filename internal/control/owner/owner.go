// Package owner maps cells to the instances that own them.
//
// The mapping is a rendezvous hash over the instances of the cell's data centre,
// or over all instances if that data centre has none. It depends only on the cell
// and the epoch, so instances that have applied the same epoch agree without a
// message, and a change of one instance moves only its cells.
package owner

import (
	"hash/fnv"
	"slices"
	"sort"

	"github.com/snipefront/snipefront"
)

// Rank returns the instances that may own c, the owner first. The second one
// takes over when the owner is removed from the epoch.
func Rank(e snipefront.Epoch, c snipefront.Cell) []snipefront.Instance {
	list := inDataCentre(e.Instances, c.DataCentre)
	if len(list) == 0 {
		list = append(list, e.Instances...)
	}
	scores := make(map[string]uint64, len(list))
	for _, n := range list {
		scores[n.Name] = score(c, n.Name)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := scores[list[i].Name], scores[list[j].Name]
		return a > b || a == b && list[i].Name < list[j].Name
	})
	return list
}

// Of returns the owner of c, and false if the epoch has no instance.
func Of(e snipefront.Epoch, c snipefront.Cell) (snipefront.Instance, bool) {
	list := Rank(e, c)
	if len(list) == 0 {
		return snipefront.Instance{}, false
	}
	return list[0], true
}

// DataCentres returns the data centres that have or had instances, sorted.
func DataCentres(e snipefront.Epoch) []string {
	names := slices.Clone(e.DataCentres)
	for _, n := range e.Instances {
		names = append(names, n.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func inDataCentre(list []snipefront.Instance, dataCentre string) []snipefront.Instance {
	var in []snipefront.Instance
	for _, n := range list {
		if n.DataCentre == dataCentre {
			in = append(in, n)
		}
	}
	return in
}

func score(c snipefront.Cell, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Service + "\x00" + c.DataCentre + "\x00" + name))
	return mix(h.Sum64())
}

// mix spreads the bits of x, since FNV alone ranks similar names alike.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
