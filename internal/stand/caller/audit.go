package caller

import (
	"slices"

	"github.com/snipefront/snipefront/internal/stand/server"
)

// Audit compares what callers were told with what ran. Its keys are sorted.
type Audit struct {
	// Double are the keys that ran more than once.
	Double []string
	// Untrue are the keys whose callers were told that they were not run, but
	// that ran.
	Untrue []string
	// Unfounded are the keys whose callers got an answer, but that did not run.
	Unfounded []string
}

// Audit checks r against the runs of all backend servers. A key may stand in
// runs more than once, from several backend servers.
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
