package route_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/request/route"
)

// discardFleet is a fakeFleet that does not record the cells tried.
type discardFleet struct {
	fakeFleet
}

var response = &snipefront.Response{}

// Serve implements route.Cells.
func (*discardFleet) Serve(context.Context, snipefront.Cell, *snipefront.Request, snipefront.Service, bool) (*snipefront.Response, error) {
	return response, nil
}

// BenchmarkChoice measures the choice of a cell and the call to its owner, by the number
// of cells of the service.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{1, 4, 15} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			v := &member.View{Self: "0", Config: &snipefront.Config{
				Services: map[string]snipefront.Service{"s": {Name: "s"}},
			}}
			for i := range n {
				name := strconv.Itoa(i)
				v.Epoch.Instances = append(v.Epoch.Instances, snipefront.Instance{Name: name, DataCentre: name})
			}
			f := &discardFleet{}
			f.counts = cell.Counts{Free: 9}
			rt := &route.Router{Self: "0", View: func() *member.View { return v }, Lease: f, Cells: f, Forwarder: f, Counter: f}
			r := &snipefront.Request{Service: "s", Deadline: time.Now().Add(time.Hour)}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := rt.Serve(b.Context(), r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
