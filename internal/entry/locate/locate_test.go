package locate_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/entry/locate"
)

// owners implements locate.Owners.
type owners []snipefront.Instance

// RankedOwners implements locate.Owners.
func (o owners) RankedOwners(time.Time, string) (list []snipefront.Instance, free []int) {
	return o, make([]int, len(o))
}

// view returns a view of the numbered instances in each of the data centres.
func view(instances map[string]int) *member.View {
	v := &member.View{Config: &snipefront.Config{
		Services: map[string]snipefront.Service{"s": {}}, DataCentresOut: map[string]bool{},
	}}
	for dataCentre, count := range instances {
		for i := range count {
			v.Epoch.Instances = append(v.Epoch.Instances, instance(dataCentre, i))
		}
	}
	slices.SortFunc(v.Epoch.Instances, func(a, b snipefront.Instance) int { return len(a.Name) - len(b.Name) })
	return v
}

func instance(dataCentre string, i int) snipefront.Instance {
	name := fmt.Sprintf("%s-%d", dataCentre, i)
	return snipefront.Instance{Name: name, DataCentre: dataCentre, CallerAddress: name + ":80"}
}

// look returns the addresses that a caller at host is given.
func look(t *testing.T, h *locate.Handler, host string) []locate.Address {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, "/?service=s", nil)
	r.RemoteAddr = host + ":4711"
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var body struct{ Addresses []locate.Address }
	if err := json.Unmarshal(w.Body.Bytes(), &body); w.Code != http.StatusOK || err != nil {
		t.Fatalf("got status %d and body %s, want addresses", w.Code, w.Body)
	}
	return body.Addresses
}

const (
	// callers is the number of callers. It is large, so that chance alone makes none of the
	// instances busy.
	callers = 36_000
	// maxBusiest bounds the callers of the busiest instance as a multiple of the mean.
	maxBusiest = 1.5
)

// largeFleet has 451 instances in six data centres.
var largeFleet = map[string]int{"dc1": 83, "dc2": 62, "dc3": 82, "dc4": 83, "dc5": 64, "dc6": 77}

// TestCallersAreSpreadBesideOwner guards against a second address that is the same for all
// callers, in the data centre of the owner or in one out of service.
func TestCallersAreSpreadBesideOwner(t *testing.T) {
	v := view(largeFleet)
	v.Config.DataCentresOut["dc2"] = true
	h := &locate.Handler{View: func() *member.View { return v }, Owners: owners{instance("dc1", 5)}}
	load := map[string]int{}
	for i := range callers {
		list := look(t, h, fmt.Sprintf("10.9.%d.%d", i/250, i%250))
		if len(list) != 2 || list[0].DataCentre != "dc1" || list[1].DataCentre == "dc1" || list[1].DataCentre == "dc2" {
			t.Fatalf("got %v, want the owner and an instance of another data centre in service", list)
		}
		load[list[1].Address]++
	}
	checkSpread(t, load, 82+83+64+77)
}

// TestCallersAreSpreadWithoutOwners guards against all callers of a service without owners
// who are given the same instances.
func TestCallersAreSpreadWithoutOwners(t *testing.T) {
	v := view(largeFleet)
	h := &locate.Handler{View: func() *member.View { return v }, Owners: owners{}}
	load := map[string]int{}
	for i := range callers {
		list := look(t, h, fmt.Sprintf("10.9.%d.%d", i/250, i%250))
		if len(list) != 2 || list[0].DataCentre == list[1].DataCentre {
			t.Fatalf("got %v, want two data centres", list)
		}
		for _, a := range list {
			load[a.Address]++
		}
	}
	checkSpread(t, load, 451)
}

// checkSpread checks that the callers in load use all instances alike.
func checkSpread(t *testing.T, load map[string]int, instances int) {
	t.Helper()
	total, busiest := 0, 0
	for _, n := range load {
		total += n
		busiest = max(busiest, n)
	}
	if mean := float64(total) / float64(instances); float64(busiest) > maxBusiest*mean {
		t.Errorf("the busiest instance is given to %d callers beside a mean of %.1f, want %.1f times as many at most", busiest, mean, maxBusiest)
	}
	if len(load) < instances {
		t.Errorf("%d of %d instances are given to no caller", instances-len(load), instances)
	}
}

// TestCallerKeepsAddress guards against callers who are given other addresses than before
// though those still run.
func TestCallerKeepsAddress(t *testing.T) {
	v := view(largeFleet)
	h := &locate.Handler{View: func() *member.View { return v }, Owners: owners{instance("dc1", 5)}}
	before := look(t, h, "10.9.0.1")
	for i := 0; i < len(v.Epoch.Instances); i += 7 {
		left := *v
		left.Epoch.Instances = slices.Delete(slices.Clone(v.Epoch.Instances), i, i+1)
		h.View = func() *member.View { return &left }
		gone := v.Epoch.Instances[i].CallerAddress
		if after := look(t, h, "10.9.0.1"); after[1].Address != before[1].Address && gone != before[1].Address {
			t.Errorf("without %s the caller is given %v, want %v as before", gone, after, before)
		}
	}
}

// TestOneDataCentre checks the addresses in a fleet of one data centre, and of one instance.
func TestOneDataCentre(t *testing.T) {
	for _, c := range []struct{ instances, want int }{{1, 1}, {2, 2}, {30, 2}} {
		v := view(map[string]int{"dc1": c.instances})
		h := &locate.Handler{View: func() *member.View { return v }, Owners: owners{instance("dc1", 0)}}
		if list := look(t, h, "10.9.0.1"); len(list) != c.want {
			t.Errorf("with %d instances the caller is given %v, want %d", c.instances, list, c.want)
		}
	}
}
