package submit

import (
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// Receiver takes over what each new view of the fleet says of suspects, and of backend
// servers that have ended. Set the exported field before use. Its method must be called
// from one goroutine at a time.
type Receiver struct {
	Register *poison.Register

	// last is the last view that was applied.
	last fleet.View
}

// Apply merges the suspects that other instances have shared since the last view, and
// records which backend servers have ended. The delta d led to v.
func (r *Receiver) Apply(now time.Time, v fleet.View, d fleet.Delta) {
	for name, old := range r.last.Servers {
		if n, ok := v.Servers[name]; !ok || n.Incarnation != old.Incarnation {
			// A whole state doesn't tell why a backend server is missing.
			planned := old.Draining || d.Deregistered(old) || !ok && d.Whole
			r.Register.Ended(now, old.CrashKey(), planned)
		}
	}
	r.Register.Merge(now, Records(v, r.last.Index))
	r.last = v
}

// Records returns the records of v that changed after index. Each is valid for its full
// lifetime from now on.
func Records(v fleet.View, index uint64) []poison.Record {
	var list []poison.Record
	for _, s := range v.Suspects {
		if s.Index > index {
			r := poison.Record{
				Fingerprint: s.Fingerprint, Released: s.ReleasedIndex > index, Crashed: s.Crashed, Trials: s.Trials, Left: poison.RecordLifetime(len(s.Crashed)),
			}
			for _, a := range s.Answered {
				if a.Index > index {
					r.Answered = append(r.Answered, a.Software)
				}
			}
			list = append(list, r)
		}
	}
	return list
}
