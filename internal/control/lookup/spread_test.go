package lookup_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/lookup"
)

const (
	// maxAddresses bounds the addresses that a caller is given.
	maxAddresses = 64
	// maxBusiest bounds the requests of the busiest instance as a multiple of the mean.
	maxBusiest = 1.5
)

// zone is a data centre of a large fleet: how many instances it has, and how many callers.
type zone struct {
	name      string
	instances int
	callers   int
}

// sixZones has 451 instances and some 3,600 callers.
var sixZones = []zone{
	{"dc1", 83, 701}, {"dc2", 62, 533}, {"dc3", 82, 536}, {"dc4", 83, 662}, {"dc5", 64, 614}, {"dc6", 77, 550},
}

// largeFleet is a fleet of sixZones, with the addresses that each caller is given.
type largeFleet struct {
	state fleet.State
	table lookup.Table
	now   time.Time
	index uint64
	// zoneOf maps each instance to its data centre.
	zoneOf map[string]string
}

// given maps each caller to the addresses that it is given, sorted.
type given map[string][]string

func newLargeFleet(t *testing.T) *largeFleet {
	t.Helper()
	f := &largeFleet{table: lookup.Table{Max: maxAddresses}, now: time.Now(), zoneOf: map[string]string{}}
	for _, z := range sixZones {
		for i := range z.instances {
			f.zoneOf[fmt.Sprintf("10.%s.%d:80", z.name[2:], i)] = z.name
		}
	}
	f.join(t, slices.Sorted(maps.Keys(f.zoneOf)))
	return f
}

func (f *largeFleet) apply(t *testing.T, c fleet.Command) {
	t.Helper()
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.index++
	f.state.Apply(f.index, b)
}

func (f *largeFleet) join(t *testing.T, names []string) {
	t.Helper()
	for _, name := range names {
		n := fleet.Instance{Region: "r", Ready: true}
		n.Name, n.CallerAddress, n.DataCentre = name, name, f.zoneOf[name]
		f.apply(t, fleet.Command{Join: &n})
	}
}

func (f *largeFleet) part(t *testing.T, names []string) {
	t.Helper()
	for _, name := range names {
		n, _ := f.state.Instance(name)
		f.apply(t, fleet.Command{Part: &n})
	}
}

func (f *largeFleet) in(dataCentre string) []string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(f.zoneOf)) {
		if f.zoneOf[name] == dataCentre {
			list = append(list, name)
		}
	}
	return list
}

// look returns what the callers of the data centres are given.
func (f *largeFleet) look(zones ...zone) given {
	f.now = f.now.Add(time.Second)
	f.table.Update(f.now, f.state.View())
	g := given{}
	for _, z := range zones {
		for i := range z.callers {
			name := fmt.Sprintf("10.9%s.%d", z.name[2:], i)
			list := f.table.Addresses(lookup.Caller{Name: name, Region: "r", DataCentre: z.name})
			g[name] = slices.Sorted(slices.Values(list))
		}
	}
	return g
}

// load returns the expected number of callers at each of the instances, if each caller
// uses any of its addresses alike.
func (g given) load() map[string]float64 {
	load := map[string]float64{}
	for _, list := range g {
		for _, a := range list {
			load[a] += 1 / float64(len(list))
		}
	}
	return load
}

// checkSpread checks that the callers in g use all of the instances alike, and no other.
func checkSpread(t *testing.T, what string, g given, instances []string) {
	t.Helper()
	load := g.load()
	busiest, unnamed := 0.0, 0
	for _, name := range instances {
		busiest = max(busiest, load[name])
		if load[name] == 0 {
			unnamed++
		}
		delete(load, name)
	}
	if mean := float64(len(g)) / float64(len(instances)); busiest > maxBusiest*mean {
		t.Errorf("%s: the busiest instance has %.1f callers beside a mean of %.1f, want %.1f times as many at most", what, busiest, mean, maxBusiest)
	}
	if unnamed > 0 || len(load) > 0 {
		t.Errorf("%s: %d of %d instances are given to no caller, and %d others to some; want none", what, unnamed, len(instances), len(load))
	}
}

// checkKept checks that of the addresses that callers had before, at most the share
// allowed is lost.
func checkKept(t *testing.T, what string, before, after given, allowed float64) {
	t.Helper()
	had, lost := 0, 0
	for caller, list := range before {
		had += len(list)
		for _, a := range list {
			if _, ok := slices.BinarySearch(after[caller], a); !ok {
				lost++
			}
		}
	}
	if share := float64(lost) / float64(had); share > allowed+1e-9 {
		t.Errorf("%s: callers lose %.3f of their addresses, want %.3f at most", what, share, allowed)
	}
}

// TestCallersOfLargeZonesAreSpread guards against instances of a large data centre that no
// caller, or most callers, are given.
func TestCallersOfLargeZonesAreSpread(t *testing.T) {
	f := newLargeFleet(t)
	for _, z := range sixZones {
		checkSpread(t, z.name, f.look(z), f.in(z.name))
	}
}

// TestCallersOfLostZoneAreSpread guards against callers of a data centre that is lost or
// out of service who are all sent to one other data centre, or to the first addresses.
func TestCallersOfLostZoneAreSpread(t *testing.T) {
	f := newLargeFleet(t)
	first := f.look(sixZones...)
	out := func(z zone, out bool) { f.apply(t, fleet.Command{Serve: &fleet.Serve{DataCentre: z.name, Out: out}}) }
	for _, z := range sixZones {
		var others []string
		for _, o := range sixZones {
			if o != z {
				others = append(others, f.in(o.name)...)
			}
		}
		f.part(t, f.in(z.name))
		checkSpread(t, z.name+" lost", f.look(z), others)
		checkSpread(t, z.name+" lost, all callers", f.look(sixZones...), others)
		f.join(t, f.in(z.name))
		checkKept(t, z.name+" back", first, f.look(sixZones...), 0)
		out(z, true)
		checkSpread(t, z.name+" out of service", f.look(z), others)
		out(z, false)
		checkKept(t, z.name+" in service again", first, f.look(sixZones...), 0)
	}
}

// TestCallersOfShortZoneAreSpread guards against callers of a data centre who are all sent
// to the few instances that return first.
func TestCallersOfShortZoneAreSpread(t *testing.T) {
	f := newLargeFleet(t)
	z := sixZones[0]
	f.part(t, f.in(z.name)[3:])
	load := f.look(z).load()
	mean := float64(z.callers) / float64(z.instances)
	for _, name := range f.in(z.name)[:3] {
		if load[name] == 0 || load[name] > maxBusiest*mean {
			t.Errorf("%s has %.1f callers with 3 instances in its data centre, want %.1f at most and some", name, load[name], maxBusiest*mean)
		}
	}
}

// TestCallersKeepAddressesInHerdOfRestarts guards against callers who are given other
// addresses than before, and so close connections, when instances come and go that they
// don't use.
func TestCallersKeepAddressesInHerdOfRestarts(t *testing.T) {
	const killed = 0.6
	f := newLargeFleet(t)
	first := f.look(sixZones...)
	all := slices.Sorted(maps.Keys(f.zoneOf))
	rnd := rand.New(rand.NewPCG(1, 1))
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	herd := all[:int(killed*float64(len(all)))]
	f.part(t, herd)
	after := f.look(sixZones...)
	checkKept(t, "herd killed", first, after, shareNamed(first, herd))
	for _, z := range sixZones {
		left := slices.DeleteFunc(f.in(z.name), func(name string) bool { return slices.Contains(herd, name) })
		checkSpread(t, z.name+" after the herd was killed", f.look(z), left)
	}
	f.join(t, herd)
	back := f.look(sixZones...)
	checkKept(t, "herd back", first, back, 0)
}

// TestCallersKeepAddressesInRollingRestart restarts one instance after the other.
func TestCallersKeepAddressesInRollingRestart(t *testing.T) {
	f := newLargeFleet(t)
	z := sixZones[0]
	z.callers = 100
	first := f.look(z)
	for _, name := range f.in(z.name) {
		f.part(t, []string{name})
		checkKept(t, name+" stopped", first, f.look(z), shareNamed(first, []string{name}))
		f.join(t, []string{name})
		checkKept(t, name+" started", first, f.look(z), 0)
	}
}

// shareNamed returns the share of the addresses in g that are those of the instances.
func shareNamed(g given, instances []string) float64 {
	had, named := 0, 0
	for _, list := range g {
		had += len(list)
		for _, a := range list {
			if slices.Contains(instances, a) {
				named++
			}
		}
	}
	return float64(named) / float64(had)
}
