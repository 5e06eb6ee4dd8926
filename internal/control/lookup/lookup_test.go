package lookup_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/lookup"
)

// view returns a view with the named number of instances in each data centre of region r.
// Their addresses begin with the name of the data centre.
func view(instances map[string]int) fleet.View {
	v := fleet.View{Instances: map[string]fleet.Instance{}, Out: map[string]bool{}}
	add(v, "r", instances)
	return v
}

func add(v fleet.View, region string, instances map[string]int) {
	for dataCentre, count := range instances {
		for i := range count {
			n := fleet.Instance{Region: region, Ready: true}
			n.Name, n.DataCentre = fmt.Sprintf("%s-%d:80", dataCentre, i), dataCentre
			n.CallerAddress = n.Name
			v.Instances[n.Name] = n
		}
	}
}

// inDC1 returns how many of the addresses are in data centre dc1.
func inDC1(addresses []string) int {
	n := 0
	for _, a := range addresses {
		if strings.HasPrefix(a, "dc1-") {
			n++
		}
	}
	return n
}

// TestSmallDataCentres checks the addresses of callers where each data centre has few
// instances.
func TestSmallDataCentres(t *testing.T) {
	four := map[string]int{"dc1": 4, "dc2": 4, "dc3": 3, "dc4": 3}
	for _, c := range []struct {
		name      string
		instances map[string]int
		out       []string
		local     int
		remote    int
	}{
		{name: "calm", instances: four, local: 4},
		{name: "lost", instances: map[string]int{"dc2": 4, "dc3": 3, "dc4": 3}, remote: 4},
		{name: "one is left", instances: map[string]int{"dc1": 1, "dc2": 4, "dc3": 3, "dc4": 3}, local: 1, remote: 3},
		{name: "half is left", instances: map[string]int{"dc1": 2, "dc2": 4, "dc3": 3, "dc4": 3}, local: 2},
		{name: "half is left everywhere", instances: map[string]int{"dc1": 2, "dc2": 2, "dc3": 1, "dc4": 1}, local: 2},
		{name: "one is left everywhere", instances: map[string]int{"dc1": 1, "dc2": 1, "dc3": 1, "dc4": 1}, local: 1, remote: 1},
		{name: "out of service", instances: four, out: []string{"dc1"}, remote: 4},
		{name: "all out of service", instances: four, out: []string{"dc1", "dc2", "dc3", "dc4"}, local: 4},
		{name: "all others lost", instances: map[string]int{"dc1": 4}, local: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, now := lookup.Table{Max: maxAddresses}, time.Now()
			table.Update(now, view(four))
			v := view(c.instances)
			for _, n := range c.out {
				v.Out[n] = true
			}
			table.Update(now.Add(time.Second), v)
			list := table.Addresses(lookup.Caller{Name: "caller", Region: "r", DataCentre: "dc1"})
			if local := inDC1(list); local != c.local || len(list) != c.local+c.remote {
				t.Errorf("the caller is given %v, want %d instances of its data centre and %d others", list, c.local, c.remote)
			}
		})
	}
}

// TestSmallDataCentreBesideLargeOnes guards against callers of a data centre that always
// has few instances who are sent to others.
func TestSmallDataCentreBesideLargeOnes(t *testing.T) {
	table, now := lookup.Table{Max: maxAddresses}, time.Now()
	v := view(map[string]int{"dc1": 2, "dc2": 10, "dc3": 10})
	c := lookup.Caller{Name: "caller", Region: "r", DataCentre: "dc1"}
	table.Update(now, v)
	if list := table.Addresses(c); inDC1(list) != 2 || len(list) < 8 {
		t.Errorf("at the start the caller is given %v, want as many as callers of other data centres", list)
	}
	now = now.Add(2 * time.Minute)
	table.Update(now, v)
	if list := table.Addresses(c); inDC1(list) != 2 || len(list) != 2 {
		t.Errorf("after two minutes the caller is given %v, want the two instances of its data centre", list)
	}
	table.Update(now, view(map[string]int{"dc2": 10, "dc3": 10}))
	if list := table.Addresses(c); len(list) != 2 {
		t.Errorf("with its data centre lost the caller is given %v, want two others", list)
	}
}

// TestDataCentreGrowsSmaller guards against a data centre that has been made smaller and
// whose callers are sent to others for good.
func TestDataCentreGrowsSmaller(t *testing.T) {
	table, now := lookup.Table{Max: maxAddresses}, time.Now()
	table.Update(now, view(map[string]int{"dc1": 10, "dc2": 10}))
	small := view(map[string]int{"dc1": 3, "dc2": 10})
	c := lookup.Caller{Name: "caller", Region: "r", DataCentre: "dc1"}
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{5 * time.Minute, 10}, {20 * time.Minute, 3}} {
		table.Update(now.Add(step.after), small)
		if list := table.Addresses(c); len(list) != step.want || inDC1(list) != 3 {
			t.Errorf("after %v the caller is given %v, want %d with the 3 of its data centre", step.after, list, step.want)
		}
	}
}

// TestLostRegion guards against callers of a lost region who get no address, or all the
// same ones.
func TestLostRegion(t *testing.T) {
	table := lookup.Table{Max: maxAddresses}
	if list := table.Addresses(lookup.Caller{Name: "caller"}); len(list) != 0 {
		t.Errorf("without any instance the caller is given %v", list)
	}
	v := view(nil)
	add(v, "r2", map[string]int{"dc5": 10, "dc6": 10})
	table.Update(time.Now(), v)
	load := given{}
	for i := range 400 {
		name := fmt.Sprint("caller", i)
		load[name] = table.Addresses(lookup.Caller{Name: name, Region: "r", DataCentre: "dc1"})
	}
	checkSpread(t, "region lost", load, slices.Collect(maps.Keys(v.Instances)))
}

// BenchmarkAddresses measures a look-up in fleets of several sizes, by callers of a data
// centre that serves and of one that is lost.
func BenchmarkAddresses(b *testing.B) {
	for _, inDataCentre := range []int{30, 300, 3_000} {
		table := lookup.Table{Max: maxAddresses}
		table.Update(time.Now(), view(map[string]int{"dc1": inDataCentre, "dc2": inDataCentre, "dc3": inDataCentre}))
		for _, dataCentre := range []string{"dc1", "lost"} {
			b.Run(fmt.Sprintf("%d/%s", 3*inDataCentre, dataCentre), func(b *testing.B) {
				for b.Loop() {
					if len(table.Addresses(lookup.Caller{Name: "caller", Region: "r", DataCentre: dataCentre})) == 0 {
						b.Fatal("no addresses, want some")
					}
				}
			})
		}
	}
}

// BenchmarkUpdate measures the change of one instance in fleets of several sizes.
func BenchmarkUpdate(b *testing.B) {
	for _, inDataCentre := range []int{30, 300, 3_000} {
		b.Run(fmt.Sprint(3*inDataCentre), func(b *testing.B) {
			table, now := lookup.Table{Max: maxAddresses}, time.Now()
			first := view(map[string]int{"dc1": inDataCentre, "dc2": inDataCentre, "dc3": inDataCentre})
			second := view(map[string]int{"dc1": inDataCentre - 1, "dc2": inDataCentre, "dc3": inDataCentre})
			for b.Loop() {
				table.Update(now, first)
				table.Update(now, second)
			}
		})
	}
}
