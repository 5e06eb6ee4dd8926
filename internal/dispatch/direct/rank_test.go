package direct_test

import (
	"fmt"
	"testing"
	"time"
)

// TestRanksOnSmallService has requests of two ranks use one small service, at several shares
// of the load that keeps all its servers just below busy. It guards against important requests
// with short goals that find all servers taken by less important ones with much time, and
// against less important ones that get nothing.
func TestRanksOnSmallService(t *testing.T) {
	for _, c := range []struct{ load, searches, exports float64 }{{0.7, 0.88, 0.93}, {0.9, 0.75, 0.68}, {1.3, 0.6, 0.42}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			kinds := []kind{
				{route: "searches", service: "small", rate: 96 * c.load, goal: 250 * time.Millisecond, idempotent: true},
				{route: "exports", service: "small", rate: 51 * c.load, goal: 2500 * time.Millisecond, rank: 2, idempotent: true},
			}
			b := mixedBehaviour
			b.Continuous = true
			o := runMixed(t, 1, 24, map[string]int{"small": 14, "large": 87}, b, cost{probe: 1500 * time.Microsecond}, kinds)
			if s, e := o["searches"].share(), o["exports"].share(); s < c.searches || e < c.exports {
				t.Errorf("%.3f and %.3f within their goals, want %.2f and %.2f at least", s, e, c.searches, c.exports)
			}
		})
	}
}
