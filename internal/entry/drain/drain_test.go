package drain_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/entry/drain"
)

// TestStopTakesNothingLateThatMayOutlastIt guards against requests that are taken late in a planned
// stop and cut off at its end, and against one that may run only once and is cut off there. Each
// workload has answered in 10 ms so far.
func TestStopTakesNothingLateThatMayOutlastIt(t *testing.T) {
	for _, c := range []struct {
		name string
		// stop is how long the whole stop lasts, and since how long it has lasted.
		stop, since time.Duration
		// deadline is how long after the begin of the stop the request is over at the latest.
		deadline   time.Duration
		idempotent bool
		taken      bool
	}{
		{name: "over in time", stop: 6 * time.Second, since: 5 * time.Second, deadline: 6 * time.Second, taken: true},
		{name: "idempotent, at the begin", stop: 6 * time.Second, deadline: 9 * time.Second, idempotent: true, taken: true},
		{name: "may run only once, at the begin", stop: 6 * time.Second, deadline: 9 * time.Second},
		{name: "idempotent, in the second half", stop: 4 * time.Second, since: 2 * time.Second, deadline: 9 * time.Second, idempotent: true},
		{name: "idempotent, just before callers have newer addresses", stop: 9 * time.Second, since: 2900 * time.Millisecond, deadline: 12 * time.Second, idempotent: true, taken: true},
		{name: "idempotent, in the first half of a long stop", stop: 9 * time.Second, since: 3 * time.Second, deadline: 12 * time.Second, idempotent: true},
		{name: "over in time, late in a long stop", stop: 9 * time.Second, since: 8 * time.Second, deadline: 9 * time.Second, taken: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Now()
			var g drain.Gate
			g.Observe(begin, "r", 10*time.Millisecond)
			g.Stop(begin, begin.Add(c.stop), 3*time.Second)
			w := drain.Work{Workload: "r", Deadline: begin.Add(c.deadline), Idempotent: c.idempotent}
			if taken := g.Admits(begin.Add(c.since), w); taken != c.taken {
				t.Errorf("taken: %v, want %v", taken, c.taken)
			}
		})
	}
}
