package direct_test

import (
	"fmt"
	"testing"
	"time"
)

// TestHotWorkspace overloads a small service by one workspace beside others, also with callers
// that repeat at once or leave early. It guards against a workspace that takes the places of all
// others among the requests that wait, and against waiting requests that use up the load probes.
func TestHotWorkspace(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*kind)
		// least is the share of the requests of other workspaces that meet their goal.
		least float64
	}{
		"patient callers":           {func(*kind) {}, 0.91},
		"callers repeat at once":    {func(k *kind) { k.tries = 4 }, 0.89},
		"callers leave after 300ms": {func(k *kind) { k.leaves = 300 * time.Millisecond }, 0.82},
	} {
		t.Run(name, func(t *testing.T) {
			hot := kind{route: "hot", service: "small", rate: 150, goal: 600 * time.Millisecond, idempotent: true, workspace: "hot"}
			c.change(&hot)
			kinds := []kind{hot}
			for i := range 8 {
				name := fmt.Sprint("w", i)
				kinds = append(kinds, kind{route: name, service: "small", rate: 10, goal: 600 * time.Millisecond, idempotent: true, workspace: name})
			}
			b := mixedBehaviour
			b.Continuous = true
			outcomes := runMixed(t, 1, 4, map[string]int{"small": 14}, b, cost{probe: 1500 * time.Microsecond}, kinds)
			requests, inGoal := 0, 0
			for route, o := range outcomes {
				if route != "hot" {
					requests += o.requests
					inGoal += o.inGoal
				}
			}
			others := float64(inGoal) / float64(requests)
			t.Logf("others: %.3f; hot: %.3f", others, outcomes["hot"].share())
			if others < c.least || outcomes["hot"].share() < 0.2 {
				t.Errorf("%.3f of the others and %.3f of the hot ones are within their goals, want %.2f and 0.20 at least", others, outcomes["hot"].share(), c.least)
			}
		})
	}
}
