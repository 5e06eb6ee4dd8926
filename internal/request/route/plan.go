package route

import (
	"sync"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/control/owner"
)

// plan holds the owners of the cells in one view, worked out once a service.
type plan struct {
	view     *member.View
	services sync.Map
}

// place is a cell of a plan.
type place struct {
	cell  snipefront.Cell
	owner snipefront.Instance
	// own is true where this instance owns the cell.
	own  bool
	hint *hint
}

// plan returns the plan of v. A new view begins a new plan.
func (t *Router) plan(v *member.View) *plan {
	p := t.plans.Load()
	if p == nil || p.view != v {
		p = &plan{view: v}
		t.plans.Store(p)
	}
	return p
}

// places returns the cells of service that are in service. The list is never
// changed.
func (t *Router) places(v *member.View, service string) []place {
	p := t.plan(v)
	if l, ok := p.services.Load(service); ok {
		return l.([]place)
	}
	var list []place
	for _, n := range owner.DataCentres(v.Epoch) {
		if v.Config.DataCentresOut[n] {
			continue
		}
		c := snipefront.Cell{Service: service, DataCentre: n}
		o, _ := owner.Of(v.Epoch, c)
		list = append(list, place{cell: c, owner: o, own: o.Name == t.Self, hint: t.hints.of(c)})
	}
	if _, ok := v.Config.Services[service]; ok {
		p.services.Store(service, list)
	}
	return list
}
