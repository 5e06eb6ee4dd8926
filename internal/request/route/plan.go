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
func (p *plan) places(service string) []choice {
	if l, ok := p.services.Load(service); ok {
		return l.([]choice)
	}
	var list []choice
	for _, n := range owner.DataCentres(p.view.Epoch) {
		if p.view.Config.DataCentresOut[n] {
			continue
		}
		c := choice{cell: snipefront.Cell{Service: service, DataCentre: n}}
		c.owner, _ = owner.Of(p.view.Epoch, c.cell)
		list = append(list, c)
	}
	if _, ok := p.view.Config.Services[service]; ok {
		p.services.Store(service, list)
	}
	return list
}
