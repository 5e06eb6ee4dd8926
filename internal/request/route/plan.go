package route

import (
	"sync"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/control/owner"
)

// plan caches the owners of the cells in one view. They are computed once per service.
type plan struct {
	view     *member.View
	services sync.Map
}

// plannedCell is a cell of a plan and its owner.
type plannedCell struct {
	cell  snipefront.Cell
	owner snipefront.Instance
	// owned is true if this instance owns the cell.
	owned bool
	hint  *hint
}

// plan returns the plan of v. A new view replaces the previous plan.
func (rt *Router) plan(v *member.View) *plan {
	p := rt.plans.Load()
	if p == nil || p.view != v {
		p = &plan{view: v}
		rt.plans.Store(p)
	}
	return p
}

// plannedCells returns the cells of service in the data centres that are not out of
// service. The list is never changed. It is cached only if service is configured, so
// that the names of services in requests can't grow the cache.
func (rt *Router) plannedCells(v *member.View, service string) []plannedCell {
	p := rt.plan(v)
	if l, ok := p.services.Load(service); ok {
		return l.([]plannedCell)
	}
	var list []plannedCell
	for _, n := range owner.DataCentres(v.Epoch) {
		if v.Config.DataCentresOut[n] {
			continue
		}
		c := snipefront.Cell{Service: service, DataCentre: n}
		o, _ := owner.Of(v.Epoch, c)
		list = append(list, plannedCell{cell: c, owner: o, owned: o.Name == rt.Self, hint: rt.hints.get(c)})
	}
	if _, ok := v.Config.Services[service]; ok {
		p.services.Store(service, list)
	}
	return list
}
