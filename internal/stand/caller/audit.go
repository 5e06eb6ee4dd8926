package caller

import (
	"slices"

	"github.com/snipefront/snipefront/internal/stand/server"
)

// Audit lists the idempotency keys that ran more than once, and those for which the
// responses to callers contradict what ran at the backend servers. The keys are sorted.
type Audit struct {
	// Double has the keys that ran more than once.
	Double []string
	// Untrue has the keys that ran although Outcome.NotRun is true.
	Untrue []string
	// Unfounded has the keys that did not run although the caller received an answer.
	Unfounded []string
}

// Audit compares r with the runs of all backend servers. A key may occur in runs more
// than once, from several backend servers.
func (r *Result) Audit(runs []server.KeyRuns) Audit {
	total := make(map[string]int, len(runs))
	for _, k := range runs {
		total[k.Key] += k.Runs
	}
	var a Audit
	for key, n := range total {
		if n > 1 {
			a.Double = append(a.Double, key)
		}
	}
	for i := range r.Services {
		for _, o := range r.Services[i].Outcomes {
			if o.NotRun && total[o.Key] > 0 {
				a.Untrue = append(a.Untrue, o.Key)
			}
			if o.Answered && total[o.Key] == 0 {
				a.Unfounded = append(a.Unfounded, o.Key)
			}
		}
	}
	slices.Sort(a.Double)
	slices.Sort(a.Untrue)
	slices.Sort(a.Unfounded)
	return a
}
