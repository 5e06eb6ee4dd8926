// Package owner maps cells to the instances that own them.
//
// The mapping is a rendezvous hash over the instances of the cell's data centre,
// or over all instances if that data centre has none. It depends only on the cell
// and the epoch, so instances that have applied the same epoch agree without a
// message, and a change of one instance moves only its cells.
package owner

import (
	"slices"
	"sort"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/ring"
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
		scores[n.Name] = score(c, n)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := scores[list[i].Name], scores[list[j].Name]
		return a > b || a == b && list[i].Name < list[j].Name
	})
	return list
}

// Of returns the owner of c, and false if the epoch has no instance. It is the first of
// Rank, without the order of the others.
func Of(e snipefront.Epoch, c snipefront.Cell) (snipefront.Instance, bool) {
	best, found := first(e.Instances, c, func(n snipefront.Instance) bool { return n.DataCentre == c.DataCentre })
	if found {
		return best, true
	}
	return first(e.Instances, c, func(snipefront.Instance) bool { return true })
}

// first returns the instance with the highest score for c of those that may own it.
func first(list []snipefront.Instance, c snipefront.Cell, mayOwn func(snipefront.Instance) bool) (best snipefront.Instance, found bool) {
	highest := uint64(0)
	for _, n := range list {
		if !mayOwn(n) {
			continue
		}
		if s := score(c, n); !found || s > highest || s == highest && n.Name < best.Name {
			best, highest, found = n, s, true
		}
	}
	return best, found
}

func score(c snipefront.Cell, n snipefront.Instance) uint64 {
	return ring.Position(c.Service, c.DataCentre, n.Name)
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
