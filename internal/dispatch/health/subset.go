package health

import (
	"cmp"
	"slices"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/owner"
	"github.com/snipefront/snipefront/internal/control/ring"
)

// subsetSize is the number of local targets of a service that an instance prefers. It is three
// times the number that is compared for a choice, so that successive choices compare different
// targets. Each preferred target costs an open connection and load probes.
const subsetSize = 18

// prefer sets Preferred at the local targets of list that this instance sends to before the
// others: those with the highest rendezvous hash of the instance and the target, so that a
// change of the fleet changes few of them and all targets are preferred by about the same number
// of instances. It also prefers the cold ones that this instance warms up, since no other
// instance sends to these.
func (s *Set) prefer(edges snipefront.Epoch, list []*Target) {
	var near []*Target
	for _, t := range list {
		if t.Near {
			near = append(near, t)
		}
	}
	if len(near) > subsetSize {
		slices.SortFunc(near, func(a, b *Target) int { return cmp.Compare(s.score(b), s.score(a)) })
		for _, t := range near[subsetSize:] {
			t.Preferred = t.Server.ColdMillis > 0 && s.warmsUp(edges, t)
		}
		near = near[:subsetSize]
	}
	for _, t := range near {
		t.Preferred = true
	}
}

// score returns the rendezvous hash of this instance and t.
func (s *Set) score(t *Target) uint64 { return ring.Position(s.Self.Name, t.Server.Name) }

// warmsUp reports whether this instance is the one of edges that sends requests to t while it is
// cold.
func (s *Set) warmsUp(edges snipefront.Epoch, t *Target) bool {
	n, ok := owner.Of(edges, snipefront.Cell{Service: t.Server.Name, DataCentre: t.Server.DataCentre})
	return ok && n.Name == s.Self.Name
}
