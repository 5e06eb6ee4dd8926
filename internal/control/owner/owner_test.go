package owner_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/owner"
)

// epoch returns an epoch with the given number of instances in each of the data centres.
func epoch(instances, dataCentres int) snipefront.Epoch {
	e := snipefront.Epoch{Number: 1}
	for d := range dataCentres {
		for i := range instances {
			e.Instances = append(e.Instances, snipefront.Instance{Name: fmt.Sprintf("10.%d.0.%d:80", d, i), DataCentre: fmt.Sprint("dc", d)})
		}
	}
	return e
}

// TestOwnerIsFirstOfRank guards against an owner that isn't the first of those that may own
// a cell, also of a data centre without instances, and in an epoch without any.
func TestOwnerIsFirstOfRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := epoch(rapid.IntRange(0, 9).Draw(t, "instances"), rapid.IntRange(0, 4).Draw(t, "dataCentres"))
		c := snipefront.Cell{Service: rapid.String().Draw(t, "service"), DataCentre: fmt.Sprint("dc", rapid.IntRange(0, 6).Draw(t, "dataCentre"))}
		ranked := owner.Rank(e, c)
		o, ok := owner.Of(e, c)
		if ok != (len(ranked) > 0) || ok && o != ranked[0] {
			t.Fatalf("the owner is %v (%v), want the first of %v", o, ok, ranked)
		}
	})
}

// BenchmarkOf measures the choice of the instance that warms up a backend server in a large
// fleet.
func BenchmarkOf(b *testing.B) {
	e := epoch(75, 6)
	for b.Loop() {
		if _, ok := owner.Of(e, snipefront.Cell{Service: "i-1", DataCentre: "dc3"}); !ok {
			b.Fatal("no owner")
		}
	}
}
