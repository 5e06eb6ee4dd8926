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
		scores[n.Name] = ring.Position(c.Service, c.DataCentre, n.Name)
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
