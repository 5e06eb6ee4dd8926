// Package lookup chooses the addresses that a caller is given.
//
// A caller gets instances of its own data centre, or a part of them in a large one. If
// that data centre is lost, out of service or short of instances, the caller gets others
// of its region, in place of those that are missing. A consistent hash of the caller
// decides which, so that all instances are given to a like number of callers, and a
// caller gets others only as instances come and go.
package lookup

import (
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/ring"
)

const (
	// minAddresses is the number of addresses below which a caller gets those of other
	// data centres or regions, too, so that it has another if one fails.
	minAddresses = 2
	// shortShare is the share of the expected number of instances below which a data
	// centre is short of them.
	shortShare = 0.5
)

// Caller is a caller that asks for addresses.
type Caller struct {
	// Name tells callers apart. It must stay the same while addresses are to.
	Name       string
	Region     string
	DataCentre string
}

// CallerName returns the name of a caller by the address (host:port) that it calls from: the
// host, which it keeps while the port changes with each connection.
func CallerName(remoteAddress string) string {
	host, _, err := net.SplitHostPort(remoteAddress)
	if err != nil {
		return remoteAddress
	}
	return host
}

// Table holds the instances that accept requests. Set the exported field before use. All
// methods are safe for concurrent use, but for Update, which must not be called twice at
// the same time.
type Table struct {
	// Max bounds the addresses that a caller is given.
	Max int

	current atomic.Pointer[index]
	// history is used by Update only.
	history history
}

// index holds the caller addresses of the instances in one view. It is immutable.
type index struct {
	// dataCentres holds those in service; regions and all hold what they add up to.
	dataCentres map[string]ring.Ring
	regions     map[string]group
	all         group
	// expected is the number of instances that a data centre should have in service. One
	// that is not in the map has no other beside it, or is unknown.
	expected map[string]float64
}

// group holds the caller addresses of several data centres.
type group struct {
	ring        ring.Ring
	dataCentres int
}

// Update applies the view v at the instant now.
func (t *Table) Update(now time.Time, v fleet.View) {
	old := t.load()
	serving := addressesInService(v)
	t.history.record(now, serving)
	next := &index{
		dataCentres: map[string]ring.Ring{}, regions: map[string]group{},
		expected: t.history.expected(now, serving),
	}
	inRegion := map[string][]string{}
	var all []string
	for p, addresses := range serving {
		next.dataCentres[p.dataCentre] = old.dataCentres[p.dataCentre].With(addresses)
		inRegion[p.region] = append(inRegion[p.region], addresses...)
		all = append(all, addresses...)
		next.regions[p.region] = group{dataCentres: next.regions[p.region].dataCentres + 1}
	}
	for name, addresses := range inRegion {
		next.regions[name] = group{ring: old.regions[name].ring.With(addresses), dataCentres: next.regions[name].dataCentres}
	}
	next.all = group{ring: old.all.ring.With(all), dataCentres: len(serving)}
	t.current.Store(next)
}

func (t *Table) load() *index {
	if x := t.current.Load(); x != nil {
		return x
	}
	return &index{}
}

// place is where an instance runs.
type place struct{ region, dataCentre string }

// addressesInService returns the caller addresses of the instances in v that accept
// requests, without those in data centres out of service. If all data centres are out of
// service, it returns all of them.
func addressesInService(v fleet.View) map[place][]string {
	all, serving := map[place][]string{}, map[place][]string{}
	for _, n := range v.Instances {
		if n.Control || !n.Ready {
			continue
		}
		p := place{region: n.Region, dataCentre: n.DataCentre}
		all[p] = append(all[p], n.CallerAddress)
		if !v.Out[n.DataCentre] {
			serving[p] = append(serving[p], n.CallerAddress)
		}
	}
	if len(serving) == 0 {
		return all
	}
	return serving
}

// Addresses returns the addresses for c, Max at most. The list is empty if no instance
// accepts requests. It is made in time that doesn't grow with the number of instances.
func (t *Table) Addresses(c Caller) []string {
	x := t.load()
	position := ring.Position(c.Name)
	local, region := x.dataCentres[c.DataCentre], x.regions[c.Region]
	list := local.Append(nil, position, min(local.Size(), t.Max))
	if expected, ok := x.expected[c.DataCentre]; ok && float64(local.Size()) < shortShare*expected {
		list = region.ring.Append(list, position, t.substitutes(expected))
	}
	for _, g := range []group{region, x.all} {
		if len(list) == 0 {
			list = g.ring.Append(nil, position, t.substitutes(g.mean()))
		}
		list = g.ring.Append(list, position, max(len(list), minAddresses))
	}
	return list
}

// substitutes returns the number of addresses for a caller whose data centre is lost or
// short of instances, where there should be that many. Each instance that is left there
// then gets as many of these callers as with all of them.
func (t *Table) substitutes(expected float64) int {
	return min(t.Max, max(minAddresses, int(math.Round(expected))))
}

// mean returns the mean number of instances in a data centre of g.
func (g group) mean() float64 {
	return float64(g.ring.Size()) / float64(max(1, g.dataCentres))
}
