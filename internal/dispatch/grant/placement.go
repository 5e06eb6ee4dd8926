package grant

import (
	"slices"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/owner"
)

// Placement names the owners of workspaces in one view of the fleet. The zero value knows none.
type Placement struct {
	instances snipefront.Epoch
	// owners and deputies cache those that were looked up.
	owners, deputies map[string]snipefront.Instance
}

// SetInstances replaces the ready edge instances, which are sorted by name. It reports
// whether they have changed.
func (p *Placement) SetInstances(list []snipefront.Instance) bool {
	if slices.Equal(p.instances.Instances, list) {
		return false
	}
	p.instances.Instances = list
	p.owners, p.deputies = map[string]snipefront.Instance{}, map[string]snipefront.Instance{}
	return true
}

// Owner returns the owner of a workspace, and false if there is none.
func (p *Placement) Owner(workspace string) (snipefront.Instance, bool) {
	n, ok := p.owners[workspace]
	if ok || len(p.instances.Instances) == 0 {
		return n, ok
	}
	n, ok = owner.Of(p.instances, snipefront.Cell{Service: workspace})
	p.owners[workspace] = n
	return n, ok
}

// Deputy returns the instance that takes over if the owner leaves, and false if there is
// none.
func (p *Placement) Deputy(workspace string) (snipefront.Instance, bool) {
	n, ok := p.deputies[workspace]
	if ok || len(p.instances.Instances) < 2 {
		return n, ok
	}
	n = owner.Rank(p.instances, snipefront.Cell{Service: workspace})[1]
	p.deputies[workspace] = n
	return n, true
}

// at returns the owner or the deputy of a workspace.
func (p *Placement) at(workspace string, deputy bool) (snipefront.Instance, bool) {
	if deputy {
		return p.Deputy(workspace)
	}
	return p.Owner(workspace)
}
